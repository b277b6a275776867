package sched

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// lateFraction is the fraction of the time between soft deadline and deadline by
// which work may be expected to end late and still stay queued, so that short
// bursts are absorbed.
const lateFraction = 0.5

// maxBurst is how long the queue may stay non-empty before the load counts as
// sustained overload. From then on only work that can meet its soft deadline is
// queued, because a slot spent on a late answer is taken from a request that could
// have been answered on time.
const maxBurst = 1500 * time.Millisecond

// Margins on the estimate of whether a run ends on time: service times vary, and
// the answer still has to be transferred to the caller.
const (
	serviceTimeMargin = 1.25
	transitMargin     = 20 * time.Millisecond
)

// minRetryAfter is the shortest time after which a refused caller may retry.
const minRetryAfter = 50 * time.Millisecond

// latestEnd returns the latest expected end of a run for which work stays queued.
// Nested work may use its whole deadline, because the work that waits for it fails
// with it.
func (s State) latestEnd(now time.Time, w Work) time.Time {
	if w.Nested || !w.SoftDeadline.Before(w.Deadline) {
		return w.Deadline
	}
	if !s.queuedSince.IsZero() && now.Sub(s.queuedSince) > maxBurst {
		return w.SoftDeadline
	}
	return w.SoftDeadline.Add(time.Duration(lateFraction * float64(w.Deadline.Sub(w.SoftDeadline))))
}

// maxQueuedFraction is the fraction of the time between arrival and deadline for
// which work stays queued once it can no longer meet its soft deadline. Work that
// still can overtakes it, and a refusal lets the caller try another upstream.
const maxQueuedFraction = 0.4

// queuedTooLong reports whether work that can no longer meet its soft deadline has
// been queued for longer than maxQueuedFraction allows.
func (s State) queuedTooLong(now time.Time, w Work) bool {
	limit := time.Duration(maxQueuedFraction * float64(w.Deadline.Sub(w.Arrived)))
	return !w.Nested && !s.onTime(now, w) && now.Sub(w.Arrived) > limit
}

// compare returns the order of the queue: nested work first, then by priority,
// then work that can still meet its soft deadline, then by soft deadline.
func (s State) compare(now time.Time) func(a, b Work) int {
	return func(a, b Work) int {
		onTimeA, onTimeB := s.onTime(now, a), s.onTime(now, b)
		switch {
		case a.Nested != b.Nested:
			return trueFirst(a.Nested)
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case onTimeA != onTimeB:
			return trueFirst(onTimeA)
		default:
			return a.SoftDeadline.Compare(b.SoftDeadline)
		}
	}
}

// onTime reports whether work that starts now is expected to meet its soft
// deadline.
func (s State) onTime(now time.Time, w Work) bool {
	serviceTime := time.Duration(serviceTimeMargin * float64(s.expectedServiceTime(w.Route)))
	return !now.Add(serviceTime + transitMargin).After(w.SoftDeadline)
}

// trueFirst returns the comparison result that sorts an element for which cond
// holds before one for which it does not.
func trueFirst(cond bool) int {
	if cond {
		return -1
	}
	return 1
}

// dispatch sorts the queue, starts work in free slots and refuses work that is not
// expected to end in time from its position in the queue. It reuses the backing
// array of the queue, so the caller must own it.
func (s State) dispatch(now time.Time) (State, []Decision) {
	if len(s.queue) == 0 {
		return s, nil
	}
	if reason := s.refusalReason(now); reason != "" {
		return s.refuseAll(now, reason)
	}
	slices.SortStableFunc(s.queue, s.compare(now))
	limit := s.limit(now)
	var decisions []Decision
	kept := s.queue[:0]
	for _, w := range s.queue {
		ahead := len(kept)
		end := now.Add(s.expectedWait(ahead, limit) + s.expectedServiceTime(w.Route))
		switch {
		case !w.Deadline.After(now):
			decisions = append(decisions, refuse(w.Attempt, cyclam.ReasonDeadlineExceeded, 0))
		case s.running < limit:
			s.running++
			decisions = append(decisions, start(w.Attempt))
		case end.After(s.latestEnd(now, w)), s.queuedTooLong(now, w):
			decisions = append(decisions, refuse(w.Attempt, cyclam.ReasonOverloaded, s.retryAfter(now, ahead)))
		default:
			kept = append(kept, w)
		}
	}
	s.queue = kept
	switch {
	case len(kept) == 0:
		s.queuedSince = time.Time{}
	case s.queuedSince.IsZero():
		s.queuedSince = now
	}
	return s, decisions
}

// expectedWait returns the expected time until a slot is free for work with ahead
// others before it in the queue.
func (s State) expectedWait(ahead, limit int) time.Duration {
	return s.serviceTime * time.Duration(ahead+1) / time.Duration(max(1, limit))
}

// retryAfter estimates the time until a slot is free for one more caller.
func (s State) retryAfter(now time.Time, ahead int) time.Duration {
	return max(minRetryAfter, s.expectedWait(ahead, s.limit(now)))
}

// refuseAll refuses all queued work.
func (s State) refuseAll(now time.Time, reason cyclam.Reason) (State, []Decision) {
	var decisions []Decision
	for _, w := range s.queue {
		decisions = append(decisions, refuse(w.Attempt, reason, s.retryAfter(now, 0)))
	}
	s.queue = nil
	return s, decisions
}
