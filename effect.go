package cyclam

import "time"

// OpenLink opens a link to the node at a control address.
type OpenLink struct {
	Link    LinkID
	Address string
}

// CloseLink closes a link after what was sent on it.
type CloseLink struct {
	Link   LinkID
	Reason string
}

// SendLink sends messages on a link, in order.
type SendLink struct {
	Link     LinkID
	Messages []Message
}

// ReadClaim reads a role's claim.
type ReadClaim struct {
	Role Role
	Name string
}

// WriteClaim writes a role's claim, conditionally.
type WriteClaim struct {
	Role   Role
	Object Object
}

// ReleaseClaim gives a claim back.
type ReleaseClaim struct {
	Name     string
	Revision uint64
}

// ReadVersion reads which version is the accepted one, without its content.
type ReadVersion struct{}

// ReadHead reads the accepted version, and its content if newer than Held.
type ReadHead struct {
	Held Version
}

// WriteVersion writes the content of a version and then, conditionally on
// Revision, the head that makes it the accepted one.
type WriteVersion struct {
	// Token comes back with the result.
	Token uint64
	// Delta is what the version changes in the one before it.
	Delta    Delta
	Snapshot Snapshot
	Writer   Identity
	Revision uint64
}

// ListObjects lists the operators' objects and their statuses.
type ListObjects struct{}

// WatchObjects waits for changes of the operators' objects.
type WatchObjects struct {
	From uint64
}

// WriteStatus writes the value of a status object.
type WriteStatus struct {
	Name  string
	Value any
}

// SendAttempt sends a call to an endpoint's node.
type SendAttempt struct {
	Call     CallID
	Attempt  AttemptID
	Endpoint Endpoint
	Deadline time.Time
}

// ConfirmCancel asks an endpoint's node to cancel an attempt and to say whether
// it had started.
type ConfirmCancel struct {
	Call     CallID
	Attempt  AttemptID
	Endpoint Endpoint
}

// FinishCall gives a caller the final answer.
type FinishCall struct {
	Call       CallID
	Completion Completion
}

// StartWork passes an attempt to the own upstream.
type StartWork struct {
	Attempt  AttemptID
	Deadline time.Time
}

// FinishWork answers an attempt.
type FinishWork struct {
	Attempt    AttemptID
	Completion Completion
}

// AbortWork tells the own upstream that nobody waits for an attempt any more.
type AbortWork struct {
	Attempt AttemptID
}

// AnswerCancel answers a cancel.
type AnswerCancel struct {
	Attempt   AttemptID
	Confirmed bool
}

// WriteLog records a decision in the log.
type WriteLog struct {
	Event string
	// Fields alternates keys and values.
	Fields []any
}

// Converged tells that a version is in force on every node.
type Converged struct {
	Version Version
	Took    time.Duration
	Nodes   int
}

// Exit ends the process; nothing is in flight any more.
type Exit struct {
	Reason string
}

func (OpenLink) effect()      {}
func (CloseLink) effect()     {}
func (SendLink) effect()      {}
func (ReadClaim) effect()     {}
func (WriteClaim) effect()    {}
func (ReleaseClaim) effect()  {}
func (ReadVersion) effect()   {}
func (ReadHead) effect()      {}
func (WriteVersion) effect()  {}
func (ListObjects) effect()   {}
func (WatchObjects) effect()  {}
func (WriteStatus) effect()   {}
func (SendAttempt) effect()   {}
func (ConfirmCancel) effect() {}
func (FinishCall) effect()    {}
func (StartWork) effect()     {}
func (FinishWork) effect()    {}
func (AbortWork) effect()     {}
func (AnswerCancel) effect()  {}
func (WriteLog) effect()      {}
func (Converged) effect()     {}
func (Exit) effect()          {}
