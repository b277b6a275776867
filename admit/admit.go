// Package admit is the admission control in front of a node's own upstream: it
// bounds the running and the queued attempts and is the only place that starts
// work. It runs for every attempt that arrives at the node, and it records each
// attempt so that it can state with certainty that an attempt was not run.
//
// It is part of the reducer behind "cyclamensaddle node". Its counterpart under
// "cyclamensaddle sidecar" is package sched.
package admit

import (
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Tuning holds the limits of admission control.
type Tuning struct {
	// Slots is the maximum number of attempts that the upstream runs at once.
	Slots int
	// Queue is the maximum number of attempts that wait for a slot.
	Queue int
	// QueueWait is the maximum time in the queue; after it the attempt is refused.
	QueueWait time.Duration
	// ColdStart is the slow-start period after the upstream comes up, during which
	// the concurrency limit grows linearly to Slots.
	ColdStart time.Duration
	// AttemptTTL is the minimum retention of an attempt's record.
	AttemptTTL time.Duration
	// KeyTTL is the minimum retention of an idempotency key's record.
	KeyTTL time.Duration
}

// coldStartShare is the fraction of the slots available at the beginning of the
// slow-start period.
const coldStartShare = 0.25

// minRetryAfter is the lower bound of the retry-after time of a refusal.
const minRetryAfter = 100 * time.Millisecond

type phase uint8

const (
	phaseQueued phase = iota + 1
	phaseRunning
	phaseEnded
	phaseRefused
)

type attemptRecord struct {
	phase phase
	key   string
}

type keyRecord struct {
	running    bool
	completion cyclam.Completion
}

type queuedAttempt struct {
	attempt       cyclam.AttemptID
	deadline      time.Time
	queueDeadline time.Time
}

// State is the immutable state of admission control for one upstream.
type State struct {
	Tuning Tuning
	Self   cyclam.Identity

	running  int
	queue    []queuedAttempt
	draining bool
	down     bool
	upSince  time.Time
	mean     time.Duration

	attempts generationalMap[cyclam.AttemptID, attemptRecord]
	keys     generationalMap[string, keyRecord]
	// watermarks holds, for each sender, the highest attempt number whose record
	// has expired.
	watermarks *immutable.Map[cyclam.Identity, uint64]
}

// New returns a state without running or queued attempts.
func New(self cyclam.Identity, tuning Tuning, now time.Time) State {
	return State{
		Tuning:     tuning,
		Self:       self,
		upSince:    now,
		attempts:   newGenerationalMap[cyclam.AttemptID, attemptRecord](attemptHasher{}, now),
		keys:       newGenerationalMap[string, keyRecord](nil, now),
		watermarks: immutable.NewMap[cyclam.Identity, uint64](identityHasher{}),
	}
}

// Busy reports whether any attempt is running or queued.
func (s State) Busy() bool { return s.running > 0 || len(s.queue) > 0 }

// Running returns the number of running attempts.
func (s State) Running() int { return s.running }

// Waiting returns the number of queued attempts.
func (s State) Waiting() int { return len(s.queue) }

// WithDraining returns a copy of the state that refuses new attempts.
func (s State) WithDraining() State {
	s.draining = true
	return s
}

// WithHealth returns a copy of the state with the upstream marked as up or down;
// a change from down to up restarts the slow-start period.
func (s State) WithHealth(now time.Time, up bool) State {
	if up && s.down {
		s.upSince = now
	}
	s.down = !up
	return s
}

// limit returns the current concurrency limit: Slots, or less during slow start.
func (s State) limit(now time.Time) int {
	age := now.Sub(s.upSince)
	if s.Tuning.ColdStart <= 0 || age >= s.Tuning.ColdStart {
		return s.Tuning.Slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(age)/float64(s.Tuning.ColdStart)
	return max(1, int(share*float64(s.Tuning.Slots)))
}

// Arrived starts, queues or refuses an attempt. A non-empty barrier is the
// reason for which the node currently starts no attempt at all.
func (s State) Arrived(e cyclam.WorkArrived, barrier cyclam.Reason) (State, []cyclam.Effect) {
	if completion, duplicate := s.duplicate(e.Attempt); duplicate {
		return s, finish(e.Attempt, completion)
	}
	if completion, refused := s.refusal(e, barrier); refused {
		s = s.withAttempt(e.Attempt, attemptRecord{
			phase: phaseRefused,
		})
		return s, finish(e.Attempt, completion)
	}
	if completion, repeated := s.checkKey(e.Key); repeated {
		s = s.withAttempt(e.Attempt, attemptRecord{
			phase: phaseRefused,
		})
		return s, finish(e.Attempt, completion)
	}
	if e.Key != "" {
		s.keys = s.keys.with(e.Key, keyRecord{
			running: true,
		})
	}
	if s.running < s.limit(e.Now) {
		return s.start(e.Attempt, e.Key, e.Deadline)
	}
	s = s.withAttempt(e.Attempt, attemptRecord{
		phase: phaseQueued,
		key:   e.Key,
	})
	s.queue = append(s.queue[:len(s.queue):len(s.queue)], queuedAttempt{
		attempt:       e.Attempt,
		deadline:      e.Deadline,
		queueDeadline: e.Now.Add(s.Tuning.QueueWait),
	})
	return s, nil
}

// duplicate returns the completion of an attempt that has arrived before, or
// that may have: its number is at or below the sender's watermark.
func (s State) duplicate(attempt cyclam.AttemptID) (cyclam.Completion, bool) {
	if r, ok := s.attempts.get(attempt); ok {
		if r.phase == phaseRefused {
			return cyclam.Refused(cyclam.ReasonCancelled, 0), true
		}
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonDuplicate,
		}, true
	}
	if watermark, ok := s.watermarks.Get(attempt.Sender); ok && attempt.Number <= watermark {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAttemptTooOld,
		}, true
	}
	return cyclam.Completion{}, false
}

// refusal returns the refusal of an attempt that must not start, if there is one.
func (s State) refusal(e cyclam.WorkArrived, barrier cyclam.Reason) (cyclam.Completion, bool) {
	switch {
	case e.Target != s.Self:
		return cyclam.Refused(cyclam.ReasonWrongTarget, 0), true
	case !e.Deadline.After(e.Now):
		return cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0), true
	case s.draining:
		return cyclam.Refused(cyclam.ReasonDraining, minRetryAfter), true
	case barrier != "":
		return cyclam.Refused(barrier, 0), true
	case s.down:
		return cyclam.Refused(cyclam.ReasonUpstreamDown, time.Second), true
	case s.running >= s.limit(e.Now) && len(s.queue) >= s.Tuning.Queue:
		return cyclam.Refused(cyclam.ReasonOverloaded, s.retryAfter()), true
	default:
		return cyclam.Completion{}, false
	}
}

// checkKey returns the completion for an idempotency key that is in use or has a
// recorded result.
func (s State) checkKey(key string) (cyclam.Completion, bool) {
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
			RetryAfter: s.retryAfter(),
		}, true
	}
	return r.completion, true
}

// retryAfter estimates the time until a slot is free.
func (s State) retryAfter() time.Duration {
	wait := s.mean * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.Tuning.Slots))
	return max(minRetryAfter, wait)
}

func (s State) start(attempt cyclam.AttemptID, key string, deadline time.Time) (State, []cyclam.Effect) {
	s.running++
	s = s.withAttempt(attempt, attemptRecord{
		phase: phaseRunning,
		key:   key,
	})
	return s, []cyclam.Effect{cyclam.StartWork{
		Attempt:  attempt,
		Deadline: deadline,
	}}
}

// Ended frees the slot of a finished attempt and starts queued ones.
func (s State) Ended(e cyclam.WorkEnded) (State, []cyclam.Effect) {
	r, ok := s.attempts.get(e.Attempt)
	if !ok || r.phase != phaseRunning {
		return s, nil
	}
	s.running--
	ended := attemptRecord{
		phase: phaseEnded,
		key:   r.key,
	}
	if e.Completion.Outcome == cyclam.OutcomeNotRun {
		ended.phase = phaseRefused
	}
	s = s.withAttempt(e.Attempt, ended)
	s = s.withKeyResult(r.key, e.Completion)
	s, effects := s.dispatchQueue(e.Now)
	return s, append(finish(e.Attempt, e.Completion), effects...)
}

// withKeyResult records the result of the work for an idempotency key. Work that
// was not run deletes the record, so that the caller can retry with the same key.
func (s State) withKeyResult(key string, completion cyclam.Completion) State {
	switch {
	case key == "":
	case completion.Outcome == cyclam.OutcomeNotRun:
		s.keys = s.keys.without(key)
	case len(completion.Answer.Body) > keyBodyLimit:
		completion = cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerNotRetained,
		}
		s.keys = s.keys.with(key, keyRecord{
			completion: completion,
		})
	default:
		s.keys = s.keys.with(key, keyRecord{
			completion: completion,
		})
	}
	return s
}

// keyBodyLimit is the largest response body in bytes that is retained for repeats
// of an idempotency key.
const keyBodyLimit = 16 << 10

// Cancelled handles a cancel request. It confirms only attempts that can no longer
// start on this node; a running attempt is aborted without a confirmation.
func (s State) Cancelled(e cyclam.CancelArrived) (State, []cyclam.Effect) {
	answer := cyclam.AnswerCancel{
		Attempt: e.Attempt,
	}
	if e.Target != s.Self {
		return s, []cyclam.Effect{answer}
	}
	r, known := s.attempts.get(e.Attempt)
	if !known {
		if watermark, ok := s.watermarks.Get(e.Attempt.Sender); ok && e.Attempt.Number <= watermark {
			return s, []cyclam.Effect{answer}
		}
		s = s.withAttempt(e.Attempt, attemptRecord{
			phase: phaseRefused,
		})
		answer.Confirmed = true
		return s, []cyclam.Effect{answer}
	}
	var effects []cyclam.Effect
	switch r.phase {
	case phaseQueued:
		s = s.dequeue(e.Attempt)
		s, effects = s.refuseQueued(e.Attempt, cyclam.Refused(cyclam.ReasonCancelled, 0))
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

func (s State) withAttempt(attempt cyclam.AttemptID, r attemptRecord) State {
	s.attempts = s.attempts.with(attempt, r)
	return s
}

func finish(attempt cyclam.AttemptID, completion cyclam.Completion) []cyclam.Effect {
	return []cyclam.Effect{cyclam.FinishWork{
		Attempt:    attempt,
		Completion: completion,
	}}
}
