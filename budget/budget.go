// Package budget bounds how often requests are sent to a second upstream.
//
// The bound holds over all nodes in every sliding window. A node knows only its
// own requests, so each spends a share of what its own requests pay for and of
// the fixed allowance, which the nodes divide among them.
package budget

import "time"

// buckets is the number of parts into which a window is cut; one more is kept,
// so that what is counted never covers less than a window.
const buckets = 20

// Tuning holds the bound that all nodes keep together.
type Tuning struct {
	// Ratio is how many repeats one request pays for.
	Ratio float64
	// Window is the time over which the bound holds.
	Window time.Duration
	// Floor is how many repeats are free in each window, over all nodes.
	Floor float64
}

// ratioShare is the part of the ratio that is spent: requests that were counted
// here may have left the window at the nodes that judge it.
const ratioShare = 0.95

// floorShare is the part of the allowance that is spent, as nodes may be
// replaced and begin with a window of their own.
const floorShare = 0.7

type bucket struct {
	requests int
	repeats  int
}

// State counts the requests and repeats for one service; it is immutable.
type State struct {
	Tuning Tuning

	counts [buckets + 1]bucket
	slot   int64
}

// New returns a state that has counted nothing.
func New(tuning Tuning) State {
	return State{
		Tuning: tuning,
	}
}

// WithRequest counts a first sending.
func (s State) WithRequest(now time.Time) State {
	s = s.turned(now)
	s.counts[s.slot%(buckets+1)].requests++
	return s
}

// WithRetry counts a further sending.
func (s State) WithRetry(now time.Time) State {
	s = s.turned(now)
	s.counts[s.slot%(buckets+1)].repeats++
	return s
}

// Allows reports whether one more repeat is within this node's share of the
// bound where nodes nodes divide the allowance.
func (s State) Allows(now time.Time, nodes int) bool {
	repeats, limit := s.spent(now, nodes)
	return float64(repeats+1) <= limit
}

// Remaining returns how many more repeats are within this node's share.
func (s State) Remaining(now time.Time, nodes int) int {
	repeats, limit := s.spent(now, nodes)
	return max(0, int(limit)-repeats)
}

// hedgeBudget is the part of the bound that requests may spend which have not
// failed.
const hedgeBudget = 0.9

// AllowsHedge reports whether one more repeat leaves enough for failures.
func (s State) AllowsHedge(now time.Time, nodes int) bool {
	repeats, limit := s.spent(now, nodes)
	return float64(repeats+1) <= hedgeBudget*limit
}

// spent returns the repeats in the window and this node's share of the bound.
func (s State) spent(now time.Time, nodes int) (int, float64) {
	s = s.turned(now)
	var sum bucket
	for _, b := range s.counts {
		sum.requests += b.requests
		sum.repeats += b.repeats
	}
	limit := s.Tuning.Ratio*ratioShare*float64(sum.requests) + s.Tuning.Floor*floorShare/float64(max(1, nodes))
	return sum.repeats, limit
}

// turned empties the buckets that have left the window.
func (s State) turned(now time.Time) State {
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
