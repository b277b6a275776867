// Package admit decides which attempts the upstream beside a node works on.
//
// It is the only place that starts work. It bounds what runs and what waits,
// remembers every attempt that it has seen, and so can say for certain that an
// attempt was not run.
package admit

import (
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Tuning holds the limits of admission.
type Tuning struct {
	// Slots is how many attempts the upstream works on at once.
	Slots int
	// Queue is how many attempts may wait for a slot.
	Queue int
	// QueueWait is how long an attempt waits before it is refused.
	QueueWait time.Duration
	// ColdStart is how long the slots take to open up after the upstream comes up.
	ColdStart time.Duration
	// AttemptTTL is how long an attempt is remembered at least.
	AttemptTTL time.Duration
	// KeyTTL is how long an idempotency key is remembered at least.
	KeyTTL time.Duration
}

// coldShare is the share of the slots that a cold upstream opens with.
const coldShare = 0.25

// retryFloor is the shortest time after which a refused caller may come back.
const retryFloor = 100 * time.Millisecond

type phase uint8

const (
	phaseQueued phase = iota + 1
	phaseRunning
	phaseEnded
	phaseRefused
)

type record struct {
	phase phase
	key   string
}

type keyRecord struct {
	running bool
	verdict cyclam.Completion
}

type waiting struct {
	attempt  cyclam.AttemptID
	deadline time.Time
	until    time.Time
}

// State is what a node knows of the work for its upstream.
type State struct {
	Tuning Tuning
	Self   cyclam.Identity

	running  int
	queue    []waiting
	draining bool
	down     bool
	upSince  time.Time
	mean     time.Duration

	attempts generations[cyclam.AttemptID, record]
	keys     generations[string, keyRecord]
	// marks holds, for each sender, the highest attempt number forgotten.
	marks *immutable.Map[cyclam.Identity, uint64]
}

// New returns a state in which nothing runs.
func New(self cyclam.Identity, tuning Tuning, now time.Time) State {
	return State{
		Tuning:   tuning,
		Self:     self,
		upSince:  now,
		attempts: newGenerations[cyclam.AttemptID, record](attemptHash{}, now),
		keys:     newGenerations[string, keyRecord](nil, now),
		marks:    immutable.NewMap[cyclam.Identity, uint64](identityHash{}),
	}
}

// Busy reports whether any attempt runs or waits.
func (s State) Busy() bool { return s.running > 0 || len(s.queue) > 0 }

// Running returns how many attempts the upstream works on.
func (s State) Running() int { return s.running }

// Waiting returns how many attempts wait for a slot.
func (s State) Waiting() int { return len(s.queue) }

// WithDraining returns a copy of the state that refuses new attempts.
func (s State) WithDraining() State {
	s.draining = true
	return s
}

// WithHealth returns a state for an upstream that is up or down.
func (s State) WithHealth(now time.Time, up bool) State {
	if up && s.down {
		s.upSince = now
	}
	s.down = !up
	return s
}

// limit returns how many attempts may run now.
func (s State) limit(now time.Time) int {
	age := now.Sub(s.upSince)
	if s.Tuning.ColdStart <= 0 || age >= s.Tuning.ColdStart {
		return s.Tuning.Slots
	}
	share := coldShare + (1-coldShare)*float64(age)/float64(s.Tuning.ColdStart)
	return max(1, int(share*float64(s.Tuning.Slots)))
}

// Arrived decides on an attempt; barrier is why the node as a whole must not
// start it, or empty.
func (s State) Arrived(e cyclam.WorkArrived, barrier cyclam.Reason) (State, []cyclam.Effect) {
	if verdict, seen := s.seen(e.Attempt); seen {
		return s, finish(e.Attempt, verdict)
	}
	if verdict, refused := s.refusal(e, barrier); refused {
		s = s.remember(e.Attempt, record{
			phase: phaseRefused,
		})
		return s, finish(e.Attempt, verdict)
	}
	if verdict, repeated := s.repeat(e.Key); repeated {
		s = s.remember(e.Attempt, record{
			phase: phaseRefused,
		})
		return s, finish(e.Attempt, verdict)
	}
	if e.Key != "" {
		s.keys = s.keys.with(e.Key, keyRecord{
			running: true,
		})
	}
	if s.running < s.limit(e.Now) {
		return s.start(e.Attempt, e.Key, e.Deadline)
	}
	s = s.remember(e.Attempt, record{
		phase: phaseQueued,
		key:   e.Key,
	})
	s.queue = append(s.queue[:len(s.queue):len(s.queue)], waiting{
		attempt:  e.Attempt,
		deadline: e.Deadline,
		until:    e.Now.Add(s.Tuning.QueueWait),
	})
	return s, nil
}

// seen answers an attempt that arrived before, or may have.
func (s State) seen(attempt cyclam.AttemptID) (cyclam.Completion, bool) {
	if r, ok := s.attempts.get(attempt); ok {
		if r.phase == phaseRefused {
			return cyclam.Refused(cyclam.ReasonCancelled, 0), true
		}
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonDuplicate,
		}, true
	}
	if mark, ok := s.marks.Get(attempt.Sender); ok && attempt.Number <= mark {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAttemptTooOld,
		}, true
	}
	return cyclam.Completion{}, false
}

// refusal says why an attempt must not start.
func (s State) refusal(e cyclam.WorkArrived, barrier cyclam.Reason) (cyclam.Completion, bool) {
	switch {
	case e.Target != s.Self:
		return cyclam.Refused(cyclam.ReasonWrongTarget, 0), true
	case !e.Deadline.After(e.Now):
		return cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0), true
	case s.draining:
		return cyclam.Refused(cyclam.ReasonDraining, retryFloor), true
	case barrier != "":
		return cyclam.Refused(barrier, 0), true
	case s.down:
		return cyclam.Refused(cyclam.ReasonUpstreamDown, time.Second), true
	case s.running >= s.limit(e.Now) && len(s.queue) >= s.Tuning.Queue:
		return cyclam.Refused(cyclam.ReasonOverloaded, s.backoff()), true
	default:
		return cyclam.Completion{}, false
	}
}

// repeat answers an idempotency key that was seen before.
func (s State) repeat(key string) (cyclam.Completion, bool) {
	if key == "" {
		return cyclam.Completion{}, false
	}
	r, ok := s.keys.get(key)
	if !ok {
		return cyclam.Completion{}, false
	}
	if r.running {
		return cyclam.Completion{
			Outcome:    cyclam.OutcomeUnknown,
			Reason:     cyclam.ReasonDuplicate,
			RetryAfter: s.backoff(),
		}, true
	}
	return r.verdict, true
}

// backoff estimates when a slot will be free.
func (s State) backoff() time.Duration {
	wait := s.mean * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.Tuning.Slots))
	return max(retryFloor, wait)
}

func (s State) start(attempt cyclam.AttemptID, key string, deadline time.Time) (State, []cyclam.Effect) {
	s.running++
	s = s.remember(attempt, record{
		phase: phaseRunning,
		key:   key,
	})
	return s, []cyclam.Effect{cyclam.StartWork{
		Attempt:  attempt,
		Deadline: deadline,
	}}
}

// Ended frees the slot of an attempt and starts the next one.
func (s State) Ended(e cyclam.WorkEnded) (State, []cyclam.Effect) {
	r, ok := s.attempts.get(e.Attempt)
	if !ok || r.phase != phaseRunning {
		return s, nil
	}
	s.running--
	ended := record{
		phase: phaseEnded,
		key:   r.key,
	}
	if e.Completion.Outcome == cyclam.OutcomeNotRun {
		ended.phase = phaseRefused
	}
	s = s.remember(e.Attempt, ended)
	s = s.settle(r.key, e.Completion)
	s, effects := s.advance(e.Now)
	return s, append(finish(e.Attempt, e.Completion), effects...)
}

// settle records how the work for a key ended; work that was not run leaves no
// trace, so that the caller may come back with the same key.
func (s State) settle(key string, verdict cyclam.Completion) State {
	switch {
	case key == "":
	case verdict.Outcome == cyclam.OutcomeNotRun:
		s.keys = s.keys.without(key)
	case len(verdict.Answer.Body) > keyBodyLimit:
		verdict = cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerNotRetained,
		}
		s.keys = s.keys.with(key, keyRecord{
			verdict: verdict,
		})
	default:
		s.keys = s.keys.with(key, keyRecord{
			verdict: verdict,
		})
	}
	return s
}

// keyBodyLimit is the largest answer in bytes that is kept for a repeat.
const keyBodyLimit = 16 << 10

// Cancelled answers a cancel: it confirms only what can no longer start here.
func (s State) Cancelled(e cyclam.CancelArrived) (State, []cyclam.Effect) {
	answer := cyclam.AnswerCancel{
		Attempt: e.Attempt,
	}
	if e.Target != s.Self {
		return s, []cyclam.Effect{answer}
	}
	r, known := s.attempts.get(e.Attempt)
	if !known {
		if mark, ok := s.marks.Get(e.Attempt.Sender); ok && e.Attempt.Number <= mark {
			return s, []cyclam.Effect{answer}
		}
		s = s.remember(e.Attempt, record{
			phase: phaseRefused,
		})
		answer.Confirmed = true
		return s, []cyclam.Effect{answer}
	}
	var effects []cyclam.Effect
	switch r.phase {
	case phaseQueued:
		s = s.dequeue(e.Attempt)
		s, effects = s.refuse(e.Attempt, cyclam.Refused(cyclam.ReasonCancelled, 0))
		answer.Confirmed = true
	case phaseRefused:
		answer.Confirmed = true
	case phaseRunning:
		effects = []cyclam.Effect{cyclam.AbortWork{
			Attempt: e.Attempt,
		}}
	}
	return s, append(effects, answer)
}

func (s State) remember(attempt cyclam.AttemptID, r record) State {
	s.attempts = s.attempts.with(attempt, r)
	return s
}

func finish(attempt cyclam.AttemptID, verdict cyclam.Completion) []cyclam.Effect {
	return []cyclam.Effect{cyclam.FinishWork{
		Attempt:    attempt,
		Completion: verdict,
	}}
}
