package sched

import (
	"cmp"
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

// maxLimitedRetryAfter is the longest time after which a caller that was refused under a
// rate limit is told to retry: the limit may end long before it would allow the request.
const maxLimitedRetryAfter = 2 * time.Second

// latestEnd returns the latest expected end of a run for which work stays queued.
// Nested work may use its whole deadline, because the work that waits for it fails
// with it. Under a rate limit, no burst ends sooner than the limit allows.
func (s State) latestEnd(now time.Time, w Work) time.Time {
	if w.Nested || !w.SoftDeadline.Before(w.Deadline) {
		return w.Deadline
	}
	if s.rate.limited() {
		return w.SoftDeadline
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

// sortQueue puts the queue into the order in which its work starts: work of silent senders
// last, nested work first, then by priority, then work that can still meet its soft deadline, then by soft
// deadline. Under a rate limit, work of an urgency that is starved by the others goes first,
// and what is equal up to the soft deadline is divided among the senders.
func (s State) sortQueue(now time.Time) {
	slices.SortStableFunc(s.queue, func(a, b Work) int {
		return cmp.Or(s.compareUrgency(now, a, b), a.SoftDeadline.Compare(b.SoftDeadline))
	})
	if !s.rate.limited() {
		return
	}
	ranks, starved := s.rate.shares.ranks(s.queue), s.rate.shares.starved()
	slices.SortStableFunc(s.queue, func(a, b Work) int {
		starvedA, starvedB := starved[a.urgency()], starved[b.urgency()]
		if starvedA != starvedB {
			return trueFirst(starvedA)
		}
		return cmp.Or(s.compareUrgency(now, a, b), cmp.Compare(ranks[a.Attempt], ranks[b.Attempt]))
	})
}

func (s State) compareUrgency(now time.Time, a, b Work) int {
	onTimeA, onTimeB := s.onTime(now, a), s.onTime(now, b)
	silentA, silentB := a.Word.Silent(now), b.Word.Silent(now)
	switch {
	case silentA != silentB:
		return trueFirst(silentB)
	case a.Nested != b.Nested:
		return trueFirst(a.Nested)
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case onTimeA != onTimeB:
		return trueFirst(onTimeA)
	default:
		return 0
	}
}

// onTime reports whether work that starts now is expected to meet its soft
// deadline.
func (s State) onTime(now time.Time, w Work) bool {
	serviceTime := time.Duration(serviceTimeMargin * float64(s.expectedServiceTime(now, w.Route)))
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
	s.sortQueue(now)
	var decisions []Decision
	kept := s.queue[:0]
	silent := 0
	// held is set once work that must run alone is next: what runs has to end first.
	held := false
	for _, w := range s.queue {
		if !w.Deadline.After(now) {
			decisions = append(decisions, refuse(w.Attempt, cyclam.ReasonDeadlineExceeded, 0))
			continue
		}
		if w.Word.Allows(now) && !held {
			next, ok := s.start(now, w)
			s = next
			if ok {
				decisions = append(decisions, started(w))
				continue
			}
			held = w.Alone
		}
		ahead := len(kept)
		end := now.Add(s.expectedWait(now, ahead) + s.expectedServiceTime(now, w.Route))
		if end.After(s.latestEnd(now, w)) || s.queuedTooLong(now, w) {
			decisions = append(decisions, refuse(w.Attempt, s.shortage(now, w), s.retryAfter(now, ahead)))
			continue
		}
		// Silent senders are asked as well, but not in the place of others.
		rank := ahead
		if w.Word.Silent(now) {
			rank = silent
			silent++
		}
		if rank < s.limit(now) && w.Word.AskDue(now) {
			w.Word = w.Word.WithQuestion(now)
			decisions = append(decisions, ask(w.Attempt))
		}
		kept = append(kept, w)
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

// start returns the state after the start of work; false means that there is no free
// slot or that the rate limit does not allow it yet.
func (s State) start(now time.Time, w Work) (State, bool) {
	if s.running >= s.limit(now) || s.alone || w.Alone && s.running > 0 {
		return s, false
	}
	next, ok := s.rate.take(now, w)
	if !ok {
		s.heldBackAt = now
		return s, false
	}
	s.rate = next
	s.running++
	s.alone = w.Alone
	return s, true
}

// shortage returns the reason for refusing work that can't start in time.
func (s State) shortage(now time.Time, w Work) cyclam.Reason {
	switch {
	case s.running >= s.limit(now), s.alone, w.Alone:
		return cyclam.ReasonOverloaded
	case !w.Word.Allows(now):
		return cyclam.ReasonUnconfirmed
	default:
		return cyclam.ReasonRateLimited
	}
}

// expectedWait returns the expected time until work with ahead others before it in the
// queue may start.
func (s State) expectedWait(now time.Time, ahead int) time.Duration {
	wait := s.rate.wait(now, ahead+1)
	limit := s.limit(now)
	if excess := s.running + ahead + 1 - limit; excess > 0 {
		run := time.Duration(s.slowdown.factor(now) * float64(s.serviceTime))
		wait = max(wait, run*time.Duration(excess)/time.Duration(limit))
	}
	return wait
}

// retryAfter estimates the time until one more caller's work may start.
func (s State) retryAfter(now time.Time, ahead int) time.Duration {
	after := max(minRetryAfter, s.expectedWait(now, ahead))
	if s.rate.limited() {
		return min(maxLimitedRetryAfter, after)
	}
	return after
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
