// Package sched decides which attempts run at the upstream beside a node: how they
// wait for a slot, in which order they start and which are refused. It runs when
// an attempt arrives or is withdrawn, when a run ends and on a periodic tick.
// Package proxy uses it under "cyclamensaddle sidecar"; its counterpart under
// "cyclamensaddle node" is package admit.
//
// It is designed for these load patterns: a burst (the queue is bounded by what
// can still be answered in time, not by a constant), sustained overload (work that
// can no longer end in time is refused at once, work that can meet its soft
// deadline goes first), an upstream that hangs or slows down when it is full (it
// never gets more than its slots), an upstream that names a rate limit (attempts start at
// that rate, divided among senders and urgencies, and what it leaves no room for is
// refused at once), requests made by running work (they go first, because the work that waits
// for them holds a slot at another upstream), and callers that leave while their work waits
// (work whose sender has not been heard for too long is passed over until it has been asked),
// and requests that may end the upstream's process (they run alone, so that nothing is lost
// with them).
package sched

import (
	"maps"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
)

// Tuning holds the limits of one upstream.
type Tuning struct {
	// Slots is how many attempts may run at once.
	Slots int
	// Drain is how long work may still start after the upstream announced that it
	// is leaving.
	Drain time.Duration
}

// Work is one attempt that requests a slot.
type Work struct {
	Attempt cyclam.AttemptID
	// Route is the key by which service times are averaged.
	Route string
	// Nested marks a request made by running work.
	Nested bool
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// SoftDeadline is when the answer is wanted; after Deadline it is of no use.
	SoftDeadline time.Time
	Deadline     time.Time
	// Word is what is known of the sender's wish.
	Word intent.Word
	// Alone marks work that runs while nothing else does, because it may end the
	// upstream's process.
	Alone bool
}

// Decision is the result of scheduling for one attempt.
type Decision struct {
	Attempt cyclam.AttemptID
	// Ask is set if the attempt stays queued and its sender is to be asked whether it is
	// still wanted. Otherwise Start is set if the attempt is to run; if not, it is refused
	// for Reason, and the caller may retry after RetryAfter.
	Ask        bool
	Start      bool
	Reason     cyclam.Reason
	RetryAfter time.Duration
	// Word is that on which a start rests.
	Word intent.Word
}

// State holds the queue and the running count of one upstream; it is immutable.
type State struct {
	Tuning Tuning

	running int
	// alone is set while work runs that must run alone.
	alone bool
	queue []Work
	// queuedSince is when the queue became non-empty; zero while it is empty.
	queuedSince time.Time
	// known is set once an upstream has registered or has been detected.
	known    bool
	leaving  bool
	drainEnd time.Time
	// routes holds the service time of each route. serviceTime is the mean of those
	// that have settled; an average over all runs, which it is until then, would
	// depend on which routes ran last.
	serviceTime time.Duration
	routes      map[string]routeTime
	// failureRate is the moving average of the fraction of failed runs.
	failureRate float64
	// externalLoad is the number of requests that the upstream reports as running
	// or waiting beyond those that this node sent.
	externalLoad   int
	externalLoadAt time.Time
	// slowdown is that of the upstream's machine. Service times are kept as they are at the
	// usual one.
	slowdown slowdown
	// rate bounds how often attempts start, by the limit that the upstream names.
	// heldBackAt is when it last kept work from starting.
	rate       rate
	heldBackAt time.Time
}

// Weights of a new sample in the exponential moving averages.
const (
	serviceTimeWeight = 0.1
	failureRateWeight = 0.08
)

// initialServiceTime is assumed until a run has ended.
const initialServiceTime = 150 * time.Millisecond

// New returns the state before an upstream is known.
func New(tuning Tuning) State {
	return State{
		Tuning:      tuning,
		serviceTime: initialServiceTime,
	}
}

// WithUpstream returns the state for a new process of the upstream. The slot count
// is kept if slots is not positive.
func (s State) WithUpstream(slots int) State {
	if slots > 0 {
		s.Tuning.Slots = slots
	}
	s.known = true
	s.leaving = false
	s.failureRate = 0
	s.externalLoad = 0
	s.slowdown = slowdown{}
	s.rate = rate{}
	return s
}

// WithSlots returns the state after the upstream reported its slot count. The
// count is kept if slots is not positive.
func (s State) WithSlots(slots int) State {
	if slots > 0 {
		s.Tuning.Slots = slots
	}
	return s
}

// WithLeaving returns the state after the upstream announced, at time since, that it is
// leaving. Work may start for the drain time from the earliest announcement on.
func (s State) WithLeaving(since time.Time) State {
	drainEnd := since.Add(s.Tuning.Drain)
	if !s.leaving || drainEnd.Before(s.drainEnd) {
		s.drainEnd = drainEnd
	}
	s.leaving = true
	return s
}

// WithoutLeaving returns the state after it has become known that the upstream does not
// leave.
func (s State) WithoutLeaving() State {
	s.leaving = false
	return s
}

// Drained reports whether the upstream leaves and its drain time is over.
func (s State) Drained(now time.Time) bool { return s.leaving && !now.Before(s.drainEnd) }

// WithKnown returns the state after it has become known whether a process of the upstream is
// there to run work.
func (s State) WithKnown(known bool) State {
	s.known = known
	return s
}

// WithRateLimit returns the state after the upstream has named a limit on the requests
// that it takes from all instances together, or none. An unknown limit changes nothing.
func (s State) WithRateLimit(now time.Time, limit cyclam.RateLimit) State {
	s.rate = s.rate.withLimit(now, limit)
	return s
}

// WithTrial returns the state after a sign that a rate limit may have ended: one attempt
// may start, whose answer tells.
func (s State) WithTrial(now time.Time) State {
	s.rate = s.rate.withTrial(now)
	return s
}

// HeldBack reports whether a rate limit has kept work from starting within the time.
func (s State) HeldBack(now time.Time, within time.Duration) bool {
	return !s.heldBackAt.IsZero() && now.Sub(s.heldBackAt) <= within
}

// Known reports whether an upstream is known.
func (s State) Known() bool { return s.known }

// Busy reports whether anything runs or waits.
func (s State) Busy() bool { return s.running > 0 || len(s.queue) > 0 }

// Load returns the load that is reported to other nodes.
func (s State) Load(now time.Time) cyclam.Load {
	waiting := 0
	for _, w := range s.queue {
		if !w.Word.Silent(now) {
			waiting++
		}
	}
	running := s.running
	if s.alone || slices.ContainsFunc(s.queue, func(w Work) bool { return w.Alone }) {
		running = max(running, s.limit(now))
	}
	factor := 0.0
	if s.slowdown.known() {
		factor = s.slowdown.factor(now)
	}
	return cyclam.Load{
		Running:     running,
		Waiting:     waiting,
		Limit:       s.limit(now),
		ServiceTime: s.settledServiceTime(),
		Slowdown:    factor,
		Failing:     s.failureRate,
		Leaving:     s.leaving || !s.known,
		RateLimit:   s.rate.limit,
		StartDelay:  s.rate.wait(now, len(s.queue)+1),
	}
}

// ServiceTime returns the expected time of a run.
func (s State) ServiceTime() time.Duration { return s.serviceTime }

// WithServiceTimeHint returns the state after the service time of other upstreams of the
// same service has become known. It counts until a run has ended.
func (s State) WithServiceTimeHint(typical time.Duration) State {
	if len(s.routes) == 0 && typical > 0 {
		s.serviceTime = typical
	}
	return s
}

// externalLoadTTL is how long a load reported by the upstream lowers the limit.
const externalLoadTTL = time.Second

// limit returns how many attempts may run at once: the slots less the external
// load, and at least one.
func (s State) limit(now time.Time) int {
	limit := s.Tuning.Slots
	if now.Sub(s.externalLoadAt) < externalLoadTTL {
		limit -= s.externalLoad
	}
	return max(1, limit)
}

// Arrive starts, queues or refuses new work. Its decisions may also concern queued
// work.
func (s State) Arrive(now time.Time, w Work) (State, []Decision) {
	if reason := s.refusalReason(now); reason != "" {
		return s, []Decision{refuse(w.Attempt, reason, s.retryAfter(now, 0))}
	}
	if !w.Deadline.After(now) {
		return s, []Decision{refuse(w.Attempt, cyclam.ReasonDeadlineExceeded, 0)}
	}
	s.rate = s.rate.withArrival(now, w)
	if len(s.queue) == 0 && w.Word.Allows(now) {
		if next, ok := s.start(now, w); ok {
			return next, []Decision{started(w)}
		}
	}
	s.queue = append(slices.Clone(s.queue), w)
	return s.dispatch(now)
}

// refusalReason returns why no work may start; empty if it may.
func (s State) refusalReason(now time.Time) cyclam.Reason {
	switch {
	case !s.known:
		return cyclam.ReasonUpstreamDown
	case s.Drained(now):
		return cyclam.ReasonDraining
	default:
		return ""
	}
}

// RunResult describes how one run ended.
type RunResult struct {
	Route  string
	Took   time.Duration
	Failed bool
	// Ran is set if the upstream processed the request; Took counts only then.
	Ran bool
	// Load is the load that the upstream reported; LoadKnown is set if it did.
	Load      cyclam.UpstreamLoad
	LoadKnown bool
}

// End frees the slot of a run, updates the averages and starts queued work.
func (s State) End(now time.Time, run RunResult) (State, []Decision) {
	s.running = max(0, s.running-1)
	s.alone = s.alone && s.running > 0
	if run.LoadKnown {
		s.slowdown = s.slowdown.with(now, run.Load.Slowdown)
	}
	if run.Ran && !run.Failed {
		previous, took := s.usualServiceTime(run.Route), s.slowdown.atUsual(run.Took)
		runs := s.routes[run.Route].runs
		s.routes = maps.Clone(s.routes)
		if s.routes == nil {
			s.routes = map[string]routeTime{}
		}
		s.routes[run.Route] = routeTime{
			average: movingAverage(previous, took),
			runs:    min(runs+1, settledRuns),
		}
		s.serviceTime = s.meanServiceTime(took)
	}
	failed := 0.0
	if run.Failed {
		failed = 1
	}
	s.failureRate += failureRateWeight * (failed - s.failureRate)
	if run.LoadKnown {
		s.externalLoad = max(0, run.Load.Running+run.Load.Waiting-s.running-1)
		s.externalLoadAt = now
	}
	return s.dispatch(now)
}

// Queued reports whether an attempt waits for a slot.
func (s State) Queued(attempt cyclam.AttemptID) bool {
	return slices.ContainsFunc(s.queue, func(w Work) bool { return w.Attempt == attempt })
}

// Withdraw removes an attempt from the queue; false means that it is not queued.
func (s State) Withdraw(attempt cyclam.AttemptID) (State, bool) {
	i := slices.IndexFunc(s.queue, func(w Work) bool { return w.Attempt == attempt })
	if i < 0 {
		return s, false
	}
	s.queue = slices.Delete(slices.Clone(s.queue), i, i+1)
	return s, true
}

// Confirm applies a message by which the sender of an attempt wanted it at a time and waits
// until a deadline. If the message has come too late to allow a start, the next one would as
// well, and the attempt is refused, so that its sender can try another upstream.
func (s State) Confirm(now time.Time, attempt cyclam.AttemptID, wantedAt, deadline time.Time) (State, []Decision) {
	i := slices.IndexFunc(s.queue, func(w Work) bool { return w.Attempt == attempt })
	if i < 0 {
		return s, nil
	}
	s.queue = slices.Clone(s.queue)
	w := &s.queue[i]
	w.Word = w.Word.With(now, wantedAt)
	if deadline.Before(w.Deadline) {
		w.Deadline = deadline
	}
	if !w.Word.Allows(now) && deadline.After(now) {
		s.queue = slices.Delete(s.queue, i, i+1)
		s, decisions := s.dispatch(now)
		return s, append(decisions, refuse(attempt, cyclam.ReasonUnconfirmed, s.retryAfter(now, 0)))
	}
	return s.dispatch(now)
}

// Tick refuses queued work that can no longer end in time and starts work in free
// slots.
func (s State) Tick(now time.Time) (State, []Decision) {
	if len(s.queue) == 0 {
		return s, nil
	}
	s.queue = slices.Clone(s.queue)
	return s.dispatch(now)
}

func started(w Work) Decision {
	return Decision{
		Attempt: w.Attempt,
		Start:   true,
		Word:    w.Word,
	}
}

func ask(attempt cyclam.AttemptID) Decision {
	return Decision{
		Attempt: attempt,
		Ask:     true,
	}
}

func refuse(attempt cyclam.AttemptID, reason cyclam.Reason, retryAfter time.Duration) Decision {
	return Decision{
		Attempt:    attempt,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
