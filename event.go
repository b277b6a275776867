package cyclam

import "time"

// Tick advances time; the I/O shell sends it at a fixed interval.
type Tick struct{ Stamp }

// StopRequested begins a graceful stop.
type StopRequested struct{ Stamp }

// UpstreamProbed reports the result of a health check of the local upstream.
type UpstreamProbed struct {
	Stamp
	Healthy bool
}

// LinkAccepted reports that another node opened a link to this one.
type LinkAccepted struct {
	Stamp
	Link LinkID
}

// LinkOpened reports that a link that this node requested is established.
type LinkOpened struct {
	Stamp
	Link LinkID
}

// LinkClosed reports that a link was closed or could not be opened.
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

// HeadRead is the result of ReadHead. Snapshot is set if the version of the
// head is newer than ReadHead.Held.
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

// CallArrived reports that a caller's request entered the mesh at this node.
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

// AttemptEnded reports how one attempt of a call ended. Explicit is set if the
// upstream's node stated the result, and not if the result was inferred from a
// failure.
type AttemptEnded struct {
	Stamp
	Call       CallID
	Attempt    AttemptID
	Completion Completion
	Explicit   bool
}

// CancelAnswered is the result of ConfirmCancel. Confirmed is set if the
// upstream's node confirmed that the attempt has not started and never will.
type CancelAnswered struct {
	Stamp
	Call      CallID
	Attempt   AttemptID
	Confirmed bool
}

// WorkArrived reports that another node sent an attempt for the local upstream.
type WorkArrived struct {
	Stamp
	Attempt  AttemptID
	Target   Identity
	Service  ServiceName
	Key      string
	Deadline time.Time
}

// WorkEnded reports how the local upstream ended an attempt.
type WorkEnded struct {
	Stamp
	Attempt    AttemptID
	Completion Completion
}

// CancelArrived reports that another node asked not to start an attempt.
type CancelArrived struct {
	Stamp
	Attempt AttemptID
	Target  Identity
}
