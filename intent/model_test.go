package intent_test

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/sched"
	"pgregory.net/rapid"
)

const (
	// goneLimit is how long after its caller has left an attempt may start.
	goneLimit = 500 * time.Millisecond
	modelTick = 25 * time.Millisecond
	modelSpan = 8 * time.Second
	// receiverAge is how long the receiving process has run when the model begins.
	receiverAge = time.Hour
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model plays the senders of attempts and the node that receives them, which uses the real
// decisions, joined by a way that delays, reorders and loses messages.
type model struct {
	*rapid.T

	now time.Time
	// slow is the longest delay of a message, lossy the share of lost ones in percent.
	slow     time.Duration
	lossy    int
	receiver sched.State
	attempts map[cyclam.AttemptID]*modelAttempt
	messages []message
	clock    intent.Clock
}

// message is on the way until a time.
type message struct {
	at      time.Time
	deliver func()
}

// modelAttempt is one attempt: what its sender knows, and what its receiver does.
type modelAttempt struct {
	id       cyclam.AttemptID
	sentAt   time.Time
	deadline time.Time
	// leavesAt is when its caller leaves; after the deadline if it stays.
	leavesAt time.Time
	// refused is set once the sender has learned that the attempt does not run.
	refused bool
	// revoked is set at the receiver; startedAt and endsAt are the times of its run.
	revoked   bool
	startedAt time.Time
	endsAt    time.Time
}

// wanted reports whether the sender waits for the attempt.
func (a *modelAttempt) wanted(now time.Time) bool {
	return now.Before(a.deadline) && now.Before(a.leavesAt)
}

// milliseconds draws a duration.
func (m *model) milliseconds(least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(m.T, label)) * time.Millisecond
}

// send puts a message on the way.
func (m *model) send(deliver func()) {
	if rapid.IntRange(0, 99).Draw(m.T, "lost") < m.lossy {
		return
	}
	m.messages = append(m.messages, message{
		at:      m.now.Add(m.milliseconds(1, int(m.slow.Milliseconds()), "delay")),
		deliver: deliver,
	})
}

// reply sends a message of the receiver, which carries its clock.
func (m *model) reply(deliver func()) {
	stamp := m.now.Sub(modelStart) + receiverAge
	m.send(func() {
		m.clock = m.clock.WithStamp(m.now, stamp)
		deliver()
	})
}

// stamp returns what the senders know to be the receiver's time.
func (m *model) stamp() time.Time {
	earliest, ok := m.clock.Earliest(m.now)
	if !ok {
		return time.Time{}
	}
	return modelStart.Add(earliest - receiverAge)
}

// offer sends an attempt.
func (m *model) offer(a *modelAttempt) {
	a.sentAt = m.now
	sentAt, remaining := m.stamp(), a.deadline.Sub(m.now)
	m.send(func() {
		if a.revoked {
			return
		}
		sentAt := intent.SentAt(m.now, sentAt, remaining)
		deadline := intent.Deadline(m.now, sentAt, remaining)
		m.decide(func(s sched.State) (sched.State, []sched.Decision) {
			return s.Arrive(m.now, sched.Work{
				Attempt:      a.id,
				Nested:       true,
				Arrived:      m.now,
				SoftDeadline: deadline,
				Deadline:     deadline,
				Word:         intent.Received(m.now, sentAt),
			})
		})
	})
}

// answer lets a sender answer a question that was asked at a time.
func (m *model) answer(a *modelAttempt, askedAt time.Time) {
	if !a.wanted(m.now) {
		return
	}
	wantedAt, remaining := askedAt, a.deadline.Sub(m.now)
	if sentAt := m.stamp(); sentAt.After(wantedAt) {
		wantedAt = sentAt
	}
	m.send(func() {
		m.decide(func(s sched.State) (sched.State, []sched.Decision) {
			return s.Confirm(m.now, a.id, wantedAt, intent.Deadline(m.now, wantedAt, remaining))
		})
	})
}

// revoke sends a revocation once the caller has left.
func (m *model) revoke(a *modelAttempt) {
	m.send(func() {
		a.revoked = true
		m.receiver, _ = m.receiver.Withdraw(a.id)
	})
}

// decide applies a change at the receiver and carries out the decisions.
func (m *model) decide(change func(sched.State) (sched.State, []sched.Decision)) {
	state, decisions := change(m.receiver)
	m.receiver = state
	for _, d := range decisions {
		a, askedAt := m.attempts[d.Attempt], m.now
		switch {
		case d.Ask:
			m.reply(func() { m.answer(a, askedAt) })
		case d.Start:
			m.checkStart(a)
			a.startedAt = m.now
			a.endsAt = m.now.Add(m.milliseconds(10, 600, "run"))
		default:
			a.revoked = true
			m.reply(func() { a.refused = true })
		}
	}
}

// checkStart checks that an attempt may start now.
func (m *model) checkStart(a *modelAttempt) {
	if !a.startedAt.IsZero() || a.refused || a.revoked {
		m.Fatalf("attempt %d starts: got started before %t, refused %t, revoked %t, want none", a.id.Number, !a.startedAt.IsZero(), a.refused, a.revoked)
	}
	if late := m.now.Sub(a.leavesAt); late > goneLimit {
		m.Fatalf("attempt %d starts %v after its caller has left, want at most %v", a.id.Number, late, goneLimit)
	}
	if late := m.now.Sub(a.deadline); late > 0 {
		m.Fatalf("attempt %d starts %v after its sender's deadline, want no later", a.id.Number, late)
	}
}

// advance lets a tick pass.
func (m *model) advance() {
	m.now = m.now.Add(modelTick)
	var rest, due []message
	for _, msg := range m.messages {
		if msg.at.After(m.now) {
			rest = append(rest, msg)
			continue
		}
		due = append(due, msg)
	}
	m.messages = rest
	for _, msg := range due {
		msg.deliver()
	}
	for i := range len(m.attempts) {
		a := m.attempts[numbered(i)]
		if !a.endsAt.IsZero() && !a.endsAt.After(m.now) {
			a.endsAt = time.Time{}
			m.decide(func(s sched.State) (sched.State, []sched.Decision) {
				return s.End(m.now, sched.RunResult{
					Ran:  true,
					Took: m.now.Sub(a.startedAt),
				})
			})
		}
		if leaves := m.now.Sub(a.leavesAt); leaves >= 0 && leaves < modelTick {
			m.revoke(a)
		}
	}
	m.decide(func(s sched.State) (sched.State, []sched.Decision) { return s.Tick(m.now) })
}

// newModel returns a model whose messages take up to slow and are lost with a probability in
// percent.
func newModel(t *rapid.T, slow time.Duration, lossy int) *model {
	return &model{
		T:     t,
		now:   modelStart,
		slow:  slow,
		lossy: lossy,
		receiver: sched.New(sched.Tuning{
			Slots: 2,
		}).WithUpstream(2),
		attempts: map[cyclam.AttemptID]*modelAttempt{},
	}
}

func numbered(i int) cyclam.AttemptID {
	return cyclam.AttemptID{
		Number: uint64(i),
	}
}

// add sends a new attempt.
func (m *model) add(leaves bool) {
	a := &modelAttempt{
		id:       numbered(len(m.attempts)),
		deadline: m.now.Add(m.milliseconds(300, 4000, "deadline")),
	}
	a.leavesAt = a.deadline
	if leaves {
		a.leavesAt = m.now.Add(m.milliseconds(0, 4000, "leaves"))
	}
	m.attempts[a.id] = a
	m.offer(a)
}

// However long messages take and whichever are lost, no attempt may start long after its
// caller has left, nor after its sender has stopped waiting.
func TestNoLateStartModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, time.Duration(rapid.IntRange(1, 3000).Draw(t, "slow"))*time.Millisecond, rapid.IntRange(0, 50).Draw(t, "lossy"))
		for m.now.Before(modelStart.Add(modelSpan)) {
			if rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				m.add(rapid.Bool().Draw(t, "leaves"))
			}
			m.advance()
		}
	})
}

// With free slots and messages that arrive soon, each wanted attempt must start within a
// round trip, whether or not the clocks are known to each other.
func TestPromptStartModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slow = 40 * time.Millisecond
		m := newModel(t, slow, 0)
		m.receiver = m.receiver.WithSlots(1000)
		for m.now.Before(modelStart.Add(modelSpan)) {
			if rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				m.add(false)
			}
			m.advance()
			for _, a := range m.attempts {
				if waits := m.now.Sub(a.sentAt); a.startedAt.IsZero() && waits > 3*slow+4*modelTick {
					t.Fatalf("attempt %d: got no start within %v, want one", a.id.Number, waits)
				}
			}
		}
	})
}
