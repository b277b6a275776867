package sched

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// lateShare is the part of the time between goal and deadline for which work
// may be expected to end late and still wait, as it may in a short burst.
const lateShare = 0.5

// burstLimit is how long work may wait without a break before the load counts as
// more than a burst: then only what can be answered on time waits, as a slot
// spent on a late answer is one that another caller would have had on time.
const burstLimit = 1500 * time.Millisecond

// A run is expected to end on time only with some room: runs differ, and the
// answer has a way to go.
const (
	runMargin = 1.25
	wayMargin = 20 * time.Millisecond
)

// retryFloor is the shortest time after which a refused caller may come back.
const retryFloor = 50 * time.Millisecond

// latest returns by when a run has to be expected to end for work to wait.
// Nested work may use all of its time: the work that waits for it fails with it.
func (s State) latest(now time.Time, w Work) time.Time {
	if w.Nested || !w.SoftDeadline.Before(w.Deadline) {
		return w.Deadline
	}
	if !s.busySince.IsZero() && now.Sub(s.busySince) > burstLimit {
		return w.SoftDeadline
	}
	return w.SoftDeadline.Add(time.Duration(lateShare * float64(w.Deadline.Sub(w.SoftDeadline))))
}

// holdShare is the part of its time for which work waits once it can't be
// answered on time: others keep passing it, and its caller may try elsewhere.
const holdShare = 0.4

// heldOut reports whether late work has waited for long enough.
func (s State) heldOut(now time.Time, w Work) bool {
	limit := time.Duration(holdShare * float64(w.Deadline.Sub(w.Arrived)))
	return !w.Nested && !s.onTime(now, w) && now.Sub(w.Arrived) > limit
}

// before orders the queue: requests of running work, then by rank, then what can
// still be answered on time, then by how soon an answer is wanted.
func (s State) before(now time.Time) func(a, b Work) int {
	return func(a, b Work) int {
		onTimeA, onTimeB := s.onTime(now, a), s.onTime(now, b)
		switch {
		case a.Nested != b.Nested:
			return first(a.Nested)
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case onTimeA != onTimeB:
			return first(onTimeA)
		default:
			return a.SoftDeadline.Compare(b.SoftDeadline)
		}
	}
}

// onTime reports whether work that starts now ends by its goal.
func (s State) onTime(now time.Time, w Work) bool {
	run := time.Duration(runMargin * float64(s.expected(w.Route)))
	return !now.Add(run + wayMargin).After(w.SoftDeadline)
}

func first(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// advance orders the queue, fills free slots and turns away what can't end in
// time from its place in the queue. It owns the queue's slice.
func (s State) advance(now time.Time) (State, []Decision) {
	if len(s.queue) == 0 {
		return s, nil
	}
	if reason := s.barrier(now); reason != "" {
		return s.flush(now, reason)
	}
	slices.SortStableFunc(s.queue, s.before(now))
	limit := s.limit(now)
	var decisions []Decision
	kept := s.queue[:0]
	for _, w := range s.queue {
		ahead := len(kept)
		end := now.Add(s.wait(ahead, limit) + s.expected(w.Route))
		switch {
		case !w.Deadline.After(now):
			decisions = append(decisions, refuse(w.Attempt, cyclam.ReasonDeadlineExceeded, 0))
		case s.running < limit:
			s.running++
			decisions = append(decisions, start(w.Attempt))
		case end.After(s.latest(now, w)), s.heldOut(now, w):
			decisions = append(decisions, refuse(w.Attempt, cyclam.ReasonOverloaded, s.backoff(now, ahead)))
		default:
			kept = append(kept, w)
		}
	}
	s.queue = kept
	switch {
	case len(kept) == 0:
		s.busySince = time.Time{}
	case s.busySince.IsZero():
		s.busySince = now
	}
	return s, decisions
}

// wait is the expected time until a slot is free for work with others ahead.
func (s State) wait(ahead, limit int) time.Duration {
	return s.mean * time.Duration(ahead+1) / time.Duration(max(1, limit))
}

// backoff estimates when a slot will be free for one more caller.
func (s State) backoff(now time.Time, ahead int) time.Duration {
	return max(retryFloor, s.wait(ahead, s.limit(now)))
}

// flush turns away everything that waits.
func (s State) flush(now time.Time, reason cyclam.Reason) (State, []Decision) {
	var decisions []Decision
	for _, w := range s.queue {
		decisions = append(decisions, refuse(w.Attempt, reason, s.backoff(now, 0)))
	}
	s.queue = nil
	return s, decisions
}
