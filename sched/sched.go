// Package sched decides what runs at the upstream beside a node: how work waits
// for a slot, in which order it is taken, and what is turned away.
//
// It answers these load patterns: a burst (the queue is bounded by what can
// still be answered in time, not by a constant), sustained overload (what has
// become hopeless is turned away at once, what can be answered on time goes
// first), an upstream that hangs or slows down when it is full (it never gets
// more than its slots), and requests made by running work (they go first, as
// the work that waits for them holds a slot elsewhere).
package sched

import (
	"maps"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Tuning holds the limits of one upstream's work.
type Tuning struct {
	// Slots is how many attempts may run at once.
	Slots int
	// Drain is how long work may still start after the upstream said that it
	// leaves.
	Drain time.Duration
}

// Work is one attempt that asks for a slot.
type Work struct {
	Attempt cyclam.AttemptID
	// Route names the kind of work; the time of a run is learnt for each.
	Route string
	// Nested marks a request made by running work.
	Nested bool
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// SoftDeadline is when an answer is wanted, Deadline when none is of use any more.
	SoftDeadline time.Time
	Deadline     time.Time
}

// Decision is what becomes of one attempt.
type Decision struct {
	Attempt cyclam.AttemptID
	// Start tells the shell to run the attempt; otherwise it is turned away.
	Start      bool
	Reason     cyclam.Reason
	RetryAfter time.Duration
}

// State is what waits and runs at one upstream; it is immutable.
type State struct {
	Tuning Tuning

	running int
	queue   []Work
	// busySince is when the queue was empty last; zero while it is.
	busySince time.Time
	// known is set once an upstream has told or shown that it is there.
	known   bool
	leaving bool
	closeAt time.Time
	down    bool
	// mean is the moving average of the time of a run, means that for each route.
	mean  time.Duration
	means map[string]time.Duration
	// failing is the moving average of failed answers.
	failing float64
	// extra counts what the upstream works on beyond what was sent to it.
	extra   int
	extraAt time.Time
}

// The weights of a new value in the moving averages.
const (
	meanWeight    = 0.1
	failingWeight = 0.08
)

// firstMean is assumed until a run has ended.
const firstMean = 150 * time.Millisecond

// New returns the state of an upstream that is not known yet.
func New(tuning Tuning) State {
	return State{
		Tuning: tuning,
		mean:   firstMean,
	}
}

// WithUpstream returns the state for a new process of the upstream.
func (s State) WithUpstream(slots int) State {
	if slots > 0 {
		s.Tuning.Slots = slots
	}
	s.known = true
	s.leaving = false
	s.down = false
	s.failing = 0
	s.extra = 0
	return s
}

// WithSlots returns the state for an upstream that tells another slot count.
func (s State) WithSlots(slots int) State {
	if slots > 0 {
		s.Tuning.Slots = slots
	}
	return s
}

// WithLeaving returns the state after the upstream said that it leaves.
func (s State) WithLeaving(now time.Time) State {
	if s.leaving {
		return s
	}
	s.leaving = true
	s.closeAt = now.Add(s.Tuning.Drain)
	return s
}

// WithDown returns the state for an upstream that does or does not accept
// connections.
func (s State) WithDown(down bool) State {
	s.down = down
	return s
}

// Known reports whether there is an upstream.
func (s State) Known() bool { return s.known }

// Busy reports whether anything runs or waits.
func (s State) Busy() bool { return s.running > 0 || len(s.queue) > 0 }

// Load returns what other nodes are told.
func (s State) Load(now time.Time) cyclam.Load {
	return cyclam.Load{
		Running:     s.running,
		Waiting:     len(s.queue),
		Limit:       s.limit(now),
		ServiceTime: s.mean,
		Failing:     s.failing,
		Leaving:     s.leaving || !s.known,
	}
}

// extraMemory is how long a count of foreign work is believed.
const extraMemory = time.Second

func (s State) limit(now time.Time) int {
	limit := s.Tuning.Slots
	if now.Sub(s.extraAt) < extraMemory {
		limit -= s.extra
	}
	return max(1, limit)
}

// Arrive decides on new work.
func (s State) Arrive(now time.Time, w Work) (State, []Decision) {
	if reason := s.barrier(now); reason != "" {
		return s, []Decision{refuse(w.Attempt, reason, s.backoff(now, 0))}
	}
	if !w.Deadline.After(now) {
		return s, []Decision{refuse(w.Attempt, cyclam.ReasonDeadlineExceeded, 0)}
	}
	if s.running < s.limit(now) && len(s.queue) == 0 {
		s.running++
		return s, []Decision{start(w.Attempt)}
	}
	s.queue = append(slices.Clone(s.queue), w)
	return s.advance(now)
}

// barrier says why nothing may start.
func (s State) barrier(now time.Time) cyclam.Reason {
	switch {
	case !s.known, s.down:
		return cyclam.ReasonUpstreamDown
	case s.leaving && !now.Before(s.closeAt):
		return cyclam.ReasonDraining
	default:
		return ""
	}
}

// RunResult tells how one run ended.
type RunResult struct {
	Route  string
	Took   time.Duration
	Failed bool
	// Ran is set where the upstream worked on it; Took counts only then.
	Ran bool
	// Load is the upstream's own count; LoadKnown tells that it was sent.
	Load      cyclam.UpstreamLoad
	LoadKnown bool
}

// End frees the slot of a run and starts what waits.
func (s State) End(now time.Time, run RunResult) (State, []Decision) {
	s.running = max(0, s.running-1)
	if run.Ran && !run.Failed {
		s.mean += time.Duration(meanWeight * float64(run.Took-s.mean))
		before := s.expected(run.Route)
		s.means = maps.Clone(s.means)
		if s.means == nil {
			s.means = map[string]time.Duration{}
		}
		s.means[run.Route] = before + time.Duration(meanWeight*float64(run.Took-before))
	}
	failed := 0.0
	if run.Failed {
		failed = 1
	}
	s.failing += failingWeight * (failed - s.failing)
	if run.LoadKnown {
		s.extra = max(0, run.Load.Running+run.Load.Waiting-s.running-1)
		s.extraAt = now
	}
	return s.advance(now)
}

// expected returns the expected time of a run.
func (s State) expected(route string) time.Duration {
	if mean, ok := s.means[route]; ok {
		return mean
	}
	return s.mean
}

// Withdraw takes work out of the queue; false means that it does not wait.
func (s State) Withdraw(attempt cyclam.AttemptID) (State, bool) {
	at := slices.IndexFunc(s.queue, func(w Work) bool { return w.Attempt == attempt })
	if at < 0 {
		return s, false
	}
	s.queue = slices.Delete(slices.Clone(s.queue), at, at+1)
	return s, true
}

// Tick turns away what has become hopeless and starts what may start.
func (s State) Tick(now time.Time) (State, []Decision) {
	if len(s.queue) == 0 {
		return s, nil
	}
	s.queue = slices.Clone(s.queue)
	return s.advance(now)
}

func start(attempt cyclam.AttemptID) Decision {
	return Decision{
		Attempt: attempt,
		Start:   true,
	}
}

func refuse(attempt cyclam.AttemptID, reason cyclam.Reason, retryAfter time.Duration) Decision {
	return Decision{
		Attempt:    attempt,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
