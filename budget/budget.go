// Package budget bounds how often requests are sent to a second upstream, by
// retries and hedges. It is consulted before each further attempt of a request.
// Package proxy uses it under "cyclamensaddle sidecar"; under "cyclamensaddle node",
// package egress holds a retry budget of its own.
//
// The bound holds over all nodes in every sliding window. A node knows only its
// own requests, so each spends the ratio of its own requests and an equal part of
// the floor.
package budget

import "time"

// buckets is the number of parts of a window; one more is kept, so that the counts
// never cover less than a window.
const buckets = 20

// Tuning holds the bound that all nodes keep together. A retry is any attempt
// after the first, hedges included.
type Tuning struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which the bound holds.
	Window time.Duration
	// Floor is the number of retries allowed in each window besides the ratio,
	// over all nodes.
	Floor float64
}

// ratioMargin is the fraction of the ratio that is spent: requests that were
// counted here may have left the window at the nodes that check the bound.
const ratioMargin = 0.95

// floorMargin is the fraction of the floor that is spent, because nodes may be
// replaced and start with an empty window.
const floorMargin = 0.7

type bucket struct {
	requests int
	retries  int
}

// State counts the requests and retries of one service; it is immutable.
type State struct {
	Tuning Tuning
	// StartedAt is when the node's process started: what its former process has spent is
	// still in the window. The zero time means that there was none.
	StartedAt time.Time

	counts [buckets + 1]bucket
	// slot is the number of the current bucket, counted from the Unix epoch.
	slot int64
}

// New returns a state that has counted nothing.
func New(tuning Tuning) State {
	return State{
		Tuning: tuning,
	}
}

// WithRequest counts the first attempt of a request.
func (s State) WithRequest(now time.Time) State {
	s = s.withWindowAt(now)
	s.counts[s.slot%(buckets+1)].requests++
	return s
}

// WithRetry counts a further attempt, a retry or a hedge.
func (s State) WithRetry(now time.Time) State {
	s = s.withWindowAt(now)
	s.counts[s.slot%(buckets+1)].retries++
	return s
}

// Allows reports whether one more retry is within this node's share of the bound
// if the given number of nodes divide the floor.
func (s State) Allows(now time.Time, nodes int) bool {
	retries, limit := s.usage(now, nodes)
	return float64(retries+1) <= limit
}

// Remaining returns how many more retries are within this node's share.
func (s State) Remaining(now time.Time, nodes int) int {
	retries, limit := s.usage(now, nodes)
	return max(0, int(limit)-retries)
}

// hedgeFraction is the fraction of the bound up to which hedges are sent; the rest
// is reserved for attempts that have failed.
const hedgeFraction = 0.9

// AllowsHedge reports whether one more hedge leaves enough of the bound for failed
// attempts.
func (s State) AllowsHedge(now time.Time, nodes int) bool {
	retries, limit := s.usage(now, nodes)
	return float64(retries+1) <= hedgeFraction*limit
}

// usage returns the retries in the window and this node's share of the bound.
func (s State) usage(now time.Time, nodes int) (int, float64) {
	s = s.withWindowAt(now)
	var sum bucket
	for _, b := range s.counts {
		sum.requests += b.requests
		sum.retries += b.retries
	}
	floor := s.Tuning.Floor * floorMargin / float64(max(1, nodes)) * s.floorShare(now)
	return sum.retries, s.Tuning.Ratio*ratioMargin*float64(sum.requests) + floor
}

// startShare is the fraction of its part of the floor that a process may use at its start.
const startShare = 0.5

// floorShare returns the fraction of the node's part of the floor that its process may use: it
// grows over the first window, in which the former process may have spent the rest.
func (s State) floorShare(now time.Time) float64 {
	if s.StartedAt.IsZero() || s.Tuning.Window <= 0 {
		return 1
	}
	age := float64(now.Sub(s.StartedAt)) / float64(s.Tuning.Window)
	return startShare + (1-startShare)*max(0, min(1, age))
}

// withWindowAt returns the state with the buckets emptied that have left the
// window at the given time.
func (s State) withWindowAt(now time.Time) State {
	width := s.Tuning.Window / buckets
	if width <= 0 {
		return s
	}
	slot := now.UnixNano() / int64(width)
	for i := max(s.slot+1, slot-buckets); i <= slot; i++ {
		s.counts[i%(buckets+1)] = bucket{}
	}
	s.slot = max(s.slot, slot)
	return s
}
