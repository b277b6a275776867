package cyclam

import "time"

// OpenLink opens a link to the node at a control address.
type OpenLink struct {
	Link    LinkID
	Address string
}

// CloseLink closes a link after the messages that were sent on it.
type CloseLink struct {
	Link   LinkID
	Reason string
}

// SendLink sends messages on a link, in order.
type SendLink struct {
	Link     LinkID
	Messages []Message
}

// ReadClaim reads the claim object of a role.
type ReadClaim struct {
	Role Role
	Name string
}

// WriteClaim writes the claim object of a role, conditionally on its revision.
type WriteClaim struct {
	Role   Role
	Object Object
}

// ReleaseClaim deletes a claim object, conditionally on its revision.
type ReleaseClaim struct {
	Name     string
	Revision uint64
}

// ReadVersion reads the number of the accepted version, without its content.
type ReadVersion struct{}

// ReadHead reads the head and, if its version is newer than Held, the content
// of that version.
type ReadHead struct {
	Held Version
}

// WriteVersion writes the content of a version and then the head that makes it
// the accepted one. The write of the head is conditional on Revision.
type WriteVersion struct {
	// Token is returned with the result.
	Token uint64
	// Delta is the difference from the previous version.
	Delta    Delta
	Snapshot Snapshot
	Writer   Identity
	Revision uint64
}

// ListObjects lists the operators' objects and their status objects.
type ListObjects struct{}

// WatchObjects waits for changes of the operators' objects after revision From.
type WatchObjects struct {
	From uint64
}

// WriteStatus writes the value of a status object.
type WriteStatus struct {
	Name  string
	Value any
}

// SendAttempt sends a call to the node of an endpoint.
type SendAttempt struct {
	Call     CallID
	Attempt  AttemptID
	Endpoint Endpoint
	Deadline time.Time
}

// ConfirmCancel asks the node of an endpoint to cancel an attempt and to report
// whether it had started.
type ConfirmCancel struct {
	Call     CallID
	Attempt  AttemptID
	Endpoint Endpoint
}

// FinishCall returns the result of a call to the caller.
type FinishCall struct {
	Call       CallID
	Completion Completion
}

// StartWork passes an attempt to the local upstream.
type StartWork struct {
	Attempt  AttemptID
	Deadline time.Time
}

// FinishWork returns the result of an attempt to the node that sent it.
type FinishWork struct {
	Attempt    AttemptID
	Completion Completion
}

// AbortWork tells the local upstream that no caller waits for an attempt any
// more.
type AbortWork struct {
	Attempt AttemptID
}

// AnswerCancel replies to a cancel. Confirmed is set if the attempt has not
// started and never will.
type AnswerCancel struct {
	Attempt   AttemptID
	Confirmed bool
}

// WriteLog writes a decision to the log.
type WriteLog struct {
	Event string
	// Fields alternates keys and values.
	Fields []any
}

// Converged reports that a version is in force on every node.
type Converged struct {
	Version Version
	// Took is the time from the acceptance of the version.
	Took  time.Duration
	Nodes int
}

// Exit ends the process. It is issued once no call and no attempt is in flight.
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
