package cyclam

import "time"

// Tick lets time pass; the shell sends it at a steady interval.
type Tick struct{ Stamp }

// StopRequested begins a planned stop.
type StopRequested struct{ Stamp }

// UpstreamProbed tells how the upstream beside the node answered a probe.
type UpstreamProbed struct {
	Stamp
	Healthy bool
}

// LinkAccepted tells that another node opened a link to this one.
type LinkAccepted struct {
	Stamp
	Link LinkID
}

// LinkOpened tells that a link this node asked for is up.
type LinkOpened struct {
	Stamp
	Link LinkID
}

// LinkClosed tells that a link is gone, or could not be opened.
type LinkClosed struct {
	Stamp
	Link LinkID
	Err  error
}

// LinkReceived delivers messages in the order in which they were sent.
type LinkReceived struct {
	Stamp
	Link     LinkID
	Messages []Message
}

// ClaimRead is the result of ReadClaim.
type ClaimRead struct {
	Stamp
	Role   Role
	Object Object
	Err    error
}

// ClaimWritten is the result of WriteClaim.
type ClaimWritten struct {
	Stamp
	Role   Role
	Object Object
	Err    error
}

// VersionRead is the result of ReadVersion.
type VersionRead struct {
	Stamp
	Version Version
	Err     error
}

// HeadRead is the result of ReadHead. Snapshot is set when the head's version
// is newer than the one asked with.
type HeadRead struct {
	Stamp
	Head     Head
	Revision uint64
	Snapshot Snapshot
	Err      error
}

// VersionWritten is the result of WriteVersion.
type VersionWritten struct {
	Stamp
	Token    uint64
	Version  Version
	Revision uint64
	Err      error
}

// ObjectsListed is the result of ListObjects.
type ObjectsListed struct {
	Stamp
	List ObjectList
	Err  error
}

// ObjectsChanged is the result of WatchObjects.
type ObjectsChanged struct {
	Stamp
	From    uint64
	Changes ObjectChanges
	Err     error
}

// CallArrived tells that a caller's request entered at this node.
type CallArrived struct {
	Stamp
	Call   CallID
	Method string
	Path   string
	// Key is the caller's idempotency key; empty if it sent none.
	Key string
	// Deadline is zero if the caller set none.
	Deadline time.Time
}

// AttemptEnded tells how one sending of a call ended. Explicit is set when the
// verdict was stated by the upstream's node, and not inferred from a failure.
type AttemptEnded struct {
	Stamp
	Call       CallID
	Attempt    AttemptID
	Completion Completion
	Explicit   bool
}

// CancelAnswered tells whether the upstream's node confirmed that the attempt
// has not started and never will.
type CancelAnswered struct {
	Stamp
	Call      CallID
	Attempt   AttemptID
	Confirmed bool
}

// WorkArrived tells that another node sent an attempt for the own upstream.
type WorkArrived struct {
	Stamp
	Attempt  AttemptID
	Target   Identity
	Service  ServiceName
	Key      string
	Deadline time.Time
}

// WorkEnded tells how the upstream ended an attempt.
type WorkEnded struct {
	Stamp
	Attempt    AttemptID
	Completion Completion
}

// CancelArrived asks that an attempt be not started any more.
type CancelArrived struct {
	Stamp
	Attempt AttemptID
	Target  Identity
}
