package simnet

import (
	"fmt"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// callTracker simulates callers, upstreams and the data connections between nodes, and
// records what happens to each call and attempt.
type callTracker struct {
	lastCall cyclam.CallID
	calls    map[callKey]*callRecord
	attempts map[cyclam.AttemptID]*attemptRecord
	// order lists the attempts in the order sent. Iteration over the map would make
	// scenarios unrepeatable.
	order []cyclam.AttemptID
	// pendingCancels holds the replies to send once the target answers a cancel.
	pendingCancels map[cyclam.AttemptID][]func(bool)
}

// callKey identifies a call in the fleet by its entry process and call ID.
type callKey struct {
	entry cyclam.Identity
	call  cyclam.CallID
}

// callRecord is the state of a call; runs counts how often an upstream started it.
type callRecord struct {
	name       string
	key        string
	idempotent bool
	runs       int
	finished   bool
	completion cyclam.Completion
	entry      *proc
	arrivedAt  time.Time
	deadline   time.Time
}

// attemptRecord is the state of one attempt of a call.
type attemptRecord struct {
	call      *callRecord
	key       callKey
	sender    *proc
	target    *proc
	ended     bool
	running   bool
	arrivedAt time.Time
}

func newCallTracker() callTracker {
	return callTracker{
		calls:          map[callKey]*callRecord{},
		attempts:       map[cyclam.AttemptID]*attemptRecord{},
		pendingCancels: map[cyclam.AttemptID][]func(bool){},
	}
}

// callArrived delivers a caller's request to a node.
func (t *callTracker) callArrived(w *world, p *proc, idempotent bool, key string, timeout time.Duration) {
	if !p.alive {
		return
	}
	t.lastCall++
	id := t.lastCall
	record := &callRecord{
		name:       fmt.Sprint("job-", id),
		key:        key,
		idempotent: idempotent,
		entry:      p,
		arrivedAt:  time.Now(),
		deadline:   time.Now().Add(timeout),
	}
	t.calls[callKey{
		entry: p.id(),
		call:  id,
	}] = record
	method := "POST"
	if idempotent {
		method = "GET"
	}
	path := []string{"/stock/1", "/cuts/1"}[w.rng.Intn(2)]
	w.deliver(p, func() cyclam.Event {
		return cyclam.CallArrived{
			Stamp:    stamp(),
			Call:     id,
			Method:   method,
			Path:     path,
			Key:      key,
			Deadline: record.deadline,
		}
	})
}

// sendAttempt transmits an attempt to the process that holds the address at present, which
// may be another than the one meant. The sender may give up before the deadline.
func (t *callTracker) sendAttempt(w *world, p *proc, e cyclam.SendAttempt) {
	key := callKey{
		entry: p.id(),
		call:  e.Call,
	}
	a := &attemptRecord{
		call:   t.calls[key],
		key:    key,
		sender: p,
		target: w.procAt(e.Endpoint.Data),
	}
	t.attempts[e.Attempt] = a
	t.order = append(t.order, e.Attempt)
	w.oracle.attemptSent(p, e)
	here := p.state.Tree.Self.Locality
	if a.target == nil || !a.target.alive {
		w.after(time.Millisecond, func() {
			t.attemptEnded(w, e.Attempt, cyclam.Completion{
				Outcome: cyclam.OutcomeNotRun,
				Reason:  cyclam.ReasonUpstreamDown,
			}, false)
		})
		return
	}
	arrive := func() { t.attemptArrived(w, e) }
	if w.partitioned(here, a.target.state.Tree.Self.Locality) {
		w.heldMessages = append(w.heldMessages, arrive)
	} else {
		w.after(w.latency(here, a.target.state.Tree.Self.Locality), arrive)
	}
	giveUpAfter := time.Until(e.Deadline)
	if w.chance(0.05) {
		giveUpAfter = w.delay(20 * time.Millisecond)
	}
	w.after(giveUpAfter, func() {
		t.attemptEnded(w, e.Attempt, cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}, false)
	})
}

// attemptArrived delivers an attempt to its target.
func (t *callTracker) attemptArrived(w *world, e cyclam.SendAttempt) {
	a := t.attempts[e.Attempt]
	remaining := max(time.Until(e.Deadline), 50*time.Millisecond)
	a.arrivedAt = time.Now()
	record := a.call
	w.deliver(a.target, func() cyclam.Event {
		return cyclam.WorkArrived{
			Stamp:    stamp(),
			Attempt:  e.Attempt,
			Target:   e.Endpoint.Identity,
			Service:  e.Endpoint.Service,
			Key:      record.key,
			Deadline: time.Now().Add(remaining),
		}
	})
}

// startWork simulates the upstream. It may refuse the work as overloaded; otherwise the
// call counts as run from here on, also if its answer is lost.
func (t *callTracker) startWork(w *world, p *proc, e cyclam.StartWork) {
	a := t.attempts[e.Attempt]
	if w.chance(0.05) {
		w.after(w.delay(netDelay), func() {
			t.workEnded(w, p, e.Attempt, cyclam.Completion{
				Outcome:    cyclam.OutcomeNotRun,
				Reason:     cyclam.ReasonOverloaded,
				RetryAfter: time.Second,
			})
		})
		return
	}
	a.running = true
	a.call.runs++
	w.oracle.workStarted(p, a)
	completion := cyclam.Completion{
		Outcome: cyclam.OutcomeDone,
		Answer: cyclam.Answer{
			Status: 200,
			Body:   []byte(a.call.name),
		},
	}
	if w.chance(0.03) {
		completion = cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}
	}
	w.after(w.delay(50*time.Millisecond), func() {
		a.running = false
		t.workEnded(w, p, e.Attempt, completion)
	})
}

// workEnded reports the end of the upstream's work to its node.
func (t *callTracker) workEnded(w *world, p *proc, attempt cyclam.AttemptID, completion cyclam.Completion) {
	w.deliver(p, func() cyclam.Event {
		return cyclam.WorkEnded{
			Stamp:      stamp(),
			Attempt:    attempt,
			Completion: completion,
		}
	})
}

// finishWork transmits the answer of an attempt to the sender. The answer may be lost or
// arrive twice.
func (t *callTracker) finishWork(w *world, p *proc, e cyclam.FinishWork) {
	a := t.attempts[e.Attempt]
	destination := a.sender.state.Tree.Self.Locality
	if w.chance(0.02) || w.partitioned(p.state.Tree.Self.Locality, destination) {
		return
	}
	w.after(w.latency(p.state.Tree.Self.Locality, destination), func() { t.attemptEnded(w, e.Attempt, e.Completion, true) })
}

// attemptEnded delivers the end of an attempt to its sender; with chaos, at times a second
// end of the same attempt too.
func (t *callTracker) attemptEnded(w *world, attempt cyclam.AttemptID, completion cyclam.Completion, explicit bool) {
	a := t.attempts[attempt]
	if a.ended && !w.chance(0.5) {
		return
	}
	a.ended = true
	w.deliver(a.sender, func() cyclam.Event {
		return cyclam.AttemptEnded{
			Stamp:      stamp(),
			Call:       a.key.call,
			Attempt:    attempt,
			Completion: completion,
			Explicit:   explicit,
		}
	})
}

// confirmCancel sends a cancel to the control address of the target. The process that holds
// the address at present answers, which may be another than the one meant.
func (t *callTracker) confirmCancel(w *world, p *proc, e cyclam.ConfirmCancel) {
	target := w.procAt(e.Endpoint.Control)
	answered := false
	answer := func(confirmed bool) {
		if answered {
			return
		}
		answered = true
		w.deliver(p, func() cyclam.Event {
			return cyclam.CancelAnswered{
				Stamp:     stamp(),
				Call:      e.Call,
				Attempt:   e.Attempt,
				Confirmed: confirmed,
			}
		})
	}
	w.after(cancelTimeout, func() { answer(false) })
	here := p.state.Tree.Self.Locality
	if target == nil || w.chance(0.05) || w.partitioned(here, target.state.Tree.Self.Locality) {
		return
	}
	w.after(w.latency(here, target.state.Tree.Self.Locality), func() {
		if !target.alive {
			return
		}
		t.pendingCancels[e.Attempt] = append(t.pendingCancels[e.Attempt], answer)
		w.deliver(target, func() cyclam.Event {
			return cyclam.CancelArrived{
				Stamp:   stamp(),
				Attempt: e.Attempt,
				Target:  e.Endpoint.Identity,
			}
		})
	})
}

// answerCancel transmits the target's answer to all pending cancels of the attempt.
func (t *callTracker) answerCancel(w *world, _ *proc, e cyclam.AnswerCancel) {
	replies := t.pendingCancels[e.Attempt]
	delete(t.pendingCancels, e.Attempt)
	for _, answer := range replies {
		w.after(w.delay(netDelay), func() { answer(e.Confirmed) })
	}
}

// finishCall records the outcome that the caller receives.
func (t *callTracker) finishCall(w *world, p *proc, e cyclam.FinishCall) {
	record := t.calls[callKey{
		entry: p.id(),
		call:  e.Call,
	}]
	w.oracle.callFinished(record, e.Completion)
	record.finished = true
	record.completion = e.Completion
}

// procDied ends the attempts that have arrived at a killed process, as their connections
// break.
func (t *callTracker) procDied(w *world, p *proc) {
	for _, attempt := range t.order {
		a := t.attempts[attempt]
		if a.target == p && !a.ended && !a.arrivedAt.IsZero() {
			w.after(time.Millisecond, func() {
				t.attemptEnded(w, attempt, cyclam.Completion{
					Outcome: cyclam.OutcomeUnknown,
					Reason:  cyclam.ReasonAnswerLost,
				}, false)
			})
		}
	}
}
