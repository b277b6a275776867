package simnet

import (
	"fmt"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// callBook follows calls and attempts on their way.
type callBook struct {
	next     cyclam.CallID
	calls    map[callKey]*callFate
	attempts map[cyclam.AttemptID]*attemptFate
	// order lists the attempts as they were sent, so that histories repeat.
	order   []cyclam.AttemptID
	cancels map[cyclam.AttemptID][]func(bool)
}

// callKey names a call across the fleet.
type callKey struct {
	entry cyclam.Identity
	call  cyclam.CallID
}

// callFate is what became of a call.
type callFate struct {
	name       string
	key        string
	idempotent bool
	runs       int
	finished   bool
	verdict    cyclam.Completion
	entry      *proc
	began      time.Time
	deadline   time.Time
}

// attemptFate is what became of one sending.
type attemptFate struct {
	call    *callFate
	key     callKey
	sender  *proc
	target  *proc
	ended   bool
	running bool
	arrived time.Time
}

func newCallBook() callBook {
	return callBook{
		calls:    map[callKey]*callFate{},
		attempts: map[cyclam.AttemptID]*attemptFate{},
		cancels:  map[cyclam.AttemptID][]func(bool){},
	}
}

// arrive lets a caller's request enter at a node.
func (b *callBook) arrive(w *world, p *proc, idempotent bool, key string, timeout time.Duration) {
	if !p.alive {
		return
	}
	b.next++
	id := b.next
	fate := &callFate{
		name:       fmt.Sprint("job-", id),
		key:        key,
		idempotent: idempotent,
		entry:      p,
		began:      time.Now(),
		deadline:   time.Now().Add(timeout),
	}
	b.calls[callKey{
		entry: p.id(),
		call:  id,
	}] = fate
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
			Deadline: fate.deadline,
		}
	})
}

// send carries an attempt to whatever process has the address.
func (b *callBook) send(w *world, p *proc, e cyclam.SendAttempt) {
	key := callKey{
		entry: p.id(),
		call:  e.Call,
	}
	a := &attemptFate{
		call:   b.calls[key],
		key:    key,
		sender: p,
		target: w.at(e.Endpoint.Data),
	}
	b.attempts[e.Attempt] = a
	b.order = append(b.order, e.Attempt)
	w.oracle.sent(p, e)
	here := p.state.Tree.Self.Locality
	if a.target == nil || !a.target.alive {
		w.after(time.Millisecond, func() {
			b.ended(w, e.Attempt, cyclam.Completion{
				Outcome: cyclam.OutcomeNotRun,
				Reason:  cyclam.ReasonUpstreamDown,
			}, false)
		})
		return
	}
	arrive := func() { b.work(w, e) }
	if w.severed(here, a.target.state.Tree.Self.Locality) {
		w.held = append(w.held, arrive)
	} else {
		w.after(w.between(here, a.target.state.Tree.Self.Locality), arrive)
	}
	gaveUp := time.Until(e.Deadline)
	if w.chance(0.05) {
		gaveUp = w.delay(20 * time.Millisecond)
	}
	w.after(gaveUp, func() {
		b.ended(w, e.Attempt, cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}, false)
	})
}

// work lets an attempt arrive at its target.
func (b *callBook) work(w *world, e cyclam.SendAttempt) {
	a := b.attempts[e.Attempt]
	remaining := max(time.Until(e.Deadline), 50*time.Millisecond)
	a.arrived = time.Now()
	fate := a.call
	w.deliver(a.target, func() cyclam.Event {
		return cyclam.WorkArrived{
			Stamp:    stamp(),
			Attempt:  e.Attempt,
			Target:   e.Endpoint.Identity,
			Service:  e.Endpoint.Service,
			Key:      fate.key,
			Deadline: time.Now().Add(remaining),
		}
	})
}

// start is the upstream starting work: from here on the call has run.
func (b *callBook) start(w *world, p *proc, e cyclam.StartWork) {
	a := b.attempts[e.Attempt]
	if w.chance(0.05) {
		w.after(w.delay(netDelay), func() {
			b.workEnded(w, p, e.Attempt, cyclam.Completion{
				Outcome:    cyclam.OutcomeNotRun,
				Reason:     cyclam.ReasonOverloaded,
				RetryAfter: time.Second,
			})
		})
		return
	}
	a.running = true
	a.call.runs++
	w.oracle.started(p, a)
	verdict := cyclam.Completion{
		Outcome: cyclam.OutcomeDone,
		Answer: cyclam.Answer{
			Status: 200,
			Body:   []byte(a.call.name),
		},
	}
	if w.chance(0.03) {
		verdict = cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}
	}
	w.after(w.delay(50*time.Millisecond), func() {
		a.running = false
		b.workEnded(w, p, e.Attempt, verdict)
	})
}

func (b *callBook) workEnded(w *world, p *proc, attempt cyclam.AttemptID, verdict cyclam.Completion) {
	w.deliver(p, func() cyclam.Event {
		return cyclam.WorkEnded{
			Stamp:      stamp(),
			Attempt:    attempt,
			Completion: verdict,
		}
	})
}

// reply carries an attempt's answer back, at times twice or not at all.
func (b *callBook) reply(w *world, p *proc, e cyclam.FinishWork) {
	a := b.attempts[e.Attempt]
	there := a.sender.state.Tree.Self.Locality
	if w.chance(0.02) || w.severed(p.state.Tree.Self.Locality, there) {
		return
	}
	w.after(w.between(p.state.Tree.Self.Locality, there), func() { b.ended(w, e.Attempt, e.Completion, true) })
}

func (b *callBook) ended(w *world, attempt cyclam.AttemptID, verdict cyclam.Completion, explicit bool) {
	a := b.attempts[attempt]
	if a.ended && !w.chance(0.5) {
		return
	}
	a.ended = true
	w.deliver(a.sender, func() cyclam.Event {
		return cyclam.AttemptEnded{
			Stamp:      stamp(),
			Call:       a.key.call,
			Attempt:    attempt,
			Completion: verdict,
			Explicit:   explicit,
		}
	})
}

// cancel asks the target's address; whoever has it now answers.
func (b *callBook) cancel(w *world, p *proc, e cyclam.ConfirmCancel) {
	target := w.at(e.Endpoint.Control)
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
	w.after(cancelLimit, func() { answer(false) })
	here := p.state.Tree.Self.Locality
	if target == nil || w.chance(0.05) || w.severed(here, target.state.Tree.Self.Locality) {
		return
	}
	w.after(w.between(here, target.state.Tree.Self.Locality), func() {
		if !target.alive {
			return
		}
		b.cancels[e.Attempt] = append(b.cancels[e.Attempt], answer)
		w.deliver(target, func() cyclam.Event {
			return cyclam.CancelArrived{
				Stamp:   stamp(),
				Attempt: e.Attempt,
				Target:  e.Endpoint.Identity,
			}
		})
	})
}

func (b *callBook) answerCancel(w *world, _ *proc, e cyclam.AnswerCancel) {
	waiting := b.cancels[e.Attempt]
	delete(b.cancels, e.Attempt)
	for _, answer := range waiting {
		w.after(w.delay(netDelay), func() { answer(e.Confirmed) })
	}
}

func (b *callBook) finish(w *world, p *proc, e cyclam.FinishCall) {
	fate := b.calls[callKey{
		entry: p.id(),
		call:  e.Call,
	}]
	w.oracle.finished(fate, e.Completion)
	fate.finished = true
	fate.verdict = e.Completion
}

// died tells senders that the connection to a dead process broke, and forgets
// the calls that had entered there.
func (b *callBook) died(w *world, p *proc) {
	for _, attempt := range b.order {
		a := b.attempts[attempt]
		if a.target == p && !a.ended && !a.arrived.IsZero() {
			w.after(time.Millisecond, func() {
				b.ended(w, attempt, cyclam.Completion{
					Outcome: cyclam.OutcomeUnknown,
					Reason:  cyclam.ReasonAnswerLost,
				}, false)
			})
		}
	}
}
