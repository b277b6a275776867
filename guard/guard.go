// Package guard decides which clients a node gives up when descriptors or memory run short,
// and how much of both each use may take. It does no input or output and does not read the
// clock.
//
// It answers crowds of clients that hold connections or memory without making progress:
// connections on which nothing is sent, requests that stop half-way, and answers that are not
// read.
package guard

import (
	"slices"
	"time"
)

// Phase is what a client's connection is used for.
type Phase uint8

// The phases of a connection.
const (
	// PhaseServing is a request under way, which keeps its connection.
	PhaseServing Phase = iota
	// PhaseUnused is a new connection on which nothing has been received.
	PhaseUnused
	// PhaseIdle is a connection between two requests.
	PhaseIdle
	// PhaseSending is a client that sends the head or the body of a request.
	PhaseSending
	// PhaseReading is a client that an answer is being written to.
	PhaseReading
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case PhaseUnused:
		return "unused"
	case PhaseIdle:
		return "idle"
	case PhaseSending:
		return "sending"
	case PhaseReading:
		return "reading"
	default:
		return "serving"
	}
}

const (
	// FirstBytes is how long a new connection may stay unused before it can be given up.
	FirstBytes = 100 * time.Millisecond
	// Patience is how long a client may make no progress before it can be given up. It is
	// longer than the retransmission of a lost packet takes.
	Patience = time.Second
)

// Client is a client's connection.
type Client struct {
	Phase Phase
	// Since is when the client made progress last, or when the phase began.
	Since time.Time
}

// Order returns the indexes of the clients that may be given up, in the order in which they
// go: unused connections, idle ones, then requests without progress. Within each group, the
// one that has waited longest goes first.
func Order(clients []Client, now time.Time) []int {
	var found []int
	for i, c := range clients {
		if c.mayGo(now) {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(i, j int) int {
		a, b := clients[i], clients[j]
		if a.rank() != b.rank() {
			return a.rank() - b.rank()
		}
		return a.Since.Compare(b.Since)
	})
	return found
}

func (c Client) rank() int {
	if c.Phase == PhaseReading {
		return int(PhaseSending)
	}
	return int(c.Phase)
}

func (c Client) mayGo(now time.Time) bool {
	switch c.Phase {
	case PhaseUnused:
		return now.Sub(c.Since) >= FirstBytes
	case PhaseIdle:
		return true
	case PhaseSending, PhaseReading:
		return now.Sub(c.Since) >= Patience
	default:
		return false
	}
}

// Stalled reports whether a client holds memory for a request without making progress.
func (c Client) Stalled(now time.Time) bool {
	return (c.Phase == PhaseSending || c.Phase == PhaseReading) && c.mayGo(now)
}
