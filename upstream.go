package cyclam

import "time"

// UpstreamNews is what an upstream announces of itself to the node beside it.
type UpstreamNews struct {
	// ID names the upstream's process; a restart may keep it.
	ID string
	// Born is when the process started, by its own clock; news of another Born
	// are of another process. The zero time means that it does not tell.
	Born time.Time
	// Sequence orders the news of one process.
	Sequence uint64
	Service  ServiceName
	Address  string
	Slots    int
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
	// Leaving is set once the upstream is about to stop.
	Leaving bool
}

// Load is what a node says of the upstream beside it.
type Load struct {
	// Running and Waiting count attempts; Limit is how many may run at once.
	Running int
	Waiting int
	Limit   int
	// ServiceTime is the recent mean time of a run.
	ServiceTime time.Duration
	// Failing is the share of recent answers that failed, from 0 to 1.
	Failing float64
	Leaving bool
	// Sending is how long the node's link needs for what waits to be sent, LinkRate
	// that link's bytes a second; zero if it is not known.
	Sending  time.Duration
	LinkRate float64
	// Version is the configuration in force at the node.
	Version Version
}
