package admit

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// dispatchQueue starts queued attempts while slots are free, and refuses those whose
// deadline has passed.
func (s State) dispatchQueue(now time.Time) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for len(s.queue) > 0 {
		next := s.queue[0]
		expired := !next.deadline.After(now)
		if !expired && s.running >= s.limit(now) {
			break
		}
		s.queue = s.queue[1:]
		var more []cyclam.Effect
		if expired {
			s, more = s.refuseQueued(next.attempt, cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0))
		} else {
			r, _ := s.attempts.get(next.attempt)
			s, more = s.start(next.attempt, r.key, next.deadline)
		}
		effects = append(effects, more...)
	}
	return s, effects
}

// refuseQueued finishes an attempt that has left the queue without being started.
func (s State) refuseQueued(attempt cyclam.AttemptID, completion cyclam.Completion) (State, []cyclam.Effect) {
	r, _ := s.attempts.get(attempt)
	s = s.withKeyResult(r.key, completion)
	s = s.withAttempt(attempt, attemptRecord{
		phase: phaseRefused,
	})
	return s, finish(attempt, completion)
}

func (s State) dequeue(attempt cyclam.AttemptID) State {
	remaining := make([]queuedAttempt, 0, len(s.queue))
	for _, w := range s.queue {
		if w.attempt != attempt {
			remaining = append(remaining, w)
		}
	}
	s.queue = remaining
	return s
}

// Evicted refuses all queued attempts for the reason for which the node must not
// start them any more.
func (s State) Evicted(reason cyclam.Reason) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for len(s.queue) > 0 {
		first := s.queue[0]
		s.queue = s.queue[1:]
		var more []cyclam.Effect
		s, more = s.refuseQueued(first.attempt, cyclam.Refused(reason, 0))
		effects = append(effects, more...)
	}
	return s, effects
}

// Tick dispatches the queue as the concurrency limit grows, refuses attempts that
// have exceeded the queue wait, and drops expired records.
func (s State) Tick(now time.Time) (State, []cyclam.Effect) {
	s, effects := s.dispatchQueue(now)
	for len(s.queue) > 0 && !s.queue[0].queueDeadline.After(now) {
		first := s.queue[0]
		s.queue = s.queue[1:]
		var more []cyclam.Effect
		s, more = s.refuseQueued(first.attempt, cyclam.Refused(cyclam.ReasonOverloaded, s.retryAfter()))
		effects = append(effects, more...)
	}
	return s.withExpired(now), effects
}
