package admit

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// advance fills free slots from the queue.
func (s State) advance(now time.Time) (State, []cyclam.Effect) {
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
			s, more = s.refuse(next.attempt, cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0))
		} else {
			r, _ := s.attempts.get(next.attempt)
			s, more = s.start(next.attempt, r.key, next.deadline)
		}
		effects = append(effects, more...)
	}
	return s, effects
}

// refuse ends an attempt that waited.
func (s State) refuse(attempt cyclam.AttemptID, verdict cyclam.Completion) (State, []cyclam.Effect) {
	r, _ := s.attempts.get(attempt)
	s = s.settle(r.key, verdict)
	s = s.remember(attempt, record{
		phase: phaseRefused,
	})
	return s, finish(attempt, verdict)
}

func (s State) dequeue(attempt cyclam.AttemptID) State {
	left := make([]waiting, 0, len(s.queue))
	for _, w := range s.queue {
		if w.attempt != attempt {
			left = append(left, w)
		}
	}
	s.queue = left
	return s
}

// Evicted refuses everything that waits, as the node must not start it any more.
func (s State) Evicted(reason cyclam.Reason) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for len(s.queue) > 0 {
		first := s.queue[0]
		s.queue = s.queue[1:]
		var more []cyclam.Effect
		s, more = s.refuse(first.attempt, cyclam.Refused(reason, 0))
		effects = append(effects, more...)
	}
	return s, effects
}

// Tick refuses what has waited too long, opens slots, and forgets old attempts.
func (s State) Tick(now time.Time) (State, []cyclam.Effect) {
	s, effects := s.advance(now)
	for len(s.queue) > 0 && !s.queue[0].until.After(now) {
		first := s.queue[0]
		s.queue = s.queue[1:]
		var more []cyclam.Effect
		s, more = s.refuse(first.attempt, cyclam.Refused(cyclam.ReasonOverloaded, s.backoff()))
		effects = append(effects, more...)
	}
	return s.forget(now), effects
}
