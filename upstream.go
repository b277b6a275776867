package cyclam

import "time"

// UpstreamStatus is what an upstream announces of itself to the node beside it.
type UpstreamStatus struct {
	// ID names the upstream's process; a restart may keep it.
	ID string
	// StartedAt is when the process started, by its own clock; news of another StartedAt
	// are of another process. The zero time means that it does not tell.
	StartedAt time.Time
	// Sequence orders the news of one process.
	Sequence uint64
	Service  ServiceName
	Address  string
	Slots    int
	// WarmUp is how much longer the upstream is slow after its start.
	WarmUp time.Duration
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
	// SendBacklog is how long the node's link needs for what waits to be sent, LinkRate
	// that link's bytes a second; zero if it is not known.
	SendBacklog time.Duration
	LinkRate    float64
	// Version is the configuration in force at the node.
	Version Version
}
