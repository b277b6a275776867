package cyclam

import "time"

// UpstreamStatus is what an upstream reports about itself to the node beside
// it.
type UpstreamStatus struct {
	// ID identifies the upstream's process; a restarted process may keep it.
	ID string
	// StartedAt is when the process started, by its own clock. Reports with
	// different values come from different processes. The zero time means that
	// it is not reported.
	StartedAt time.Time
	// Sequence orders the reports of one process.
	Sequence uint64
	Service  ServiceName
	Address  string
	// Release names the build of the software that the process runs; empty if it is not
	// reported.
	Release string
	Slots   int
	// WarmUp is the remaining time for which the upstream is slow after its
	// start.
	WarmUp time.Duration
	// Leaving is set if the upstream is about to stop.
	Leaving bool
}

// Load is what a node reports about the upstream beside it.
type Load struct {
	// Running and Waiting are numbers of attempts; Limit is how many may run at
	// once.
	Running int
	Waiting int
	Limit   int
	// ServiceTime is the recent mean time of a run; zero if too few have ended to tell.
	ServiceTime time.Duration
	// Slowdown is how long work takes on the upstream's machine at the moment, as a multiple
	// of the usual time; zero if the upstream does not report it.
	Slowdown float64
	// Failing is the share of recent answers that failed, from 0 to 1.
	Failing float64
	// Leaving is set if the node should get no new attempts: it or the upstream is about
	// to stop, or the upstream is not known.
	Leaving bool
	// SendBacklog is how long the node's link needs for the data that is
	// waiting to be sent, and LinkRate is the rate of that link in bytes per
	// second. Both are zero if not known.
	SendBacklog time.Duration
	LinkRate    float64
	// ReceiveBacklog is how long a large body that is announced to the node would wait until
	// it is sent, because the node's link has others to receive.
	ReceiveBacklog time.Duration
	// RateLimit is the limit that the upstream names. StartDelay is how long a new
	// attempt would wait for it.
	RateLimit  RateLimit
	StartDelay time.Duration
	// Version is the configuration in force at the node.
	Version Version
}
