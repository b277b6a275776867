package sched

import (
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
)

// newAskable returns work whose sender answers questions and sent it at a time.
func newAskable(n, arrivedMs, sentMs int) Work {
	w := newWork(n, arrivedMs, 3000, 3000)
	w.Word = intent.Received(at(arrivedMs), at(sentMs))
	return w
}

// decisionOn returns the decision on an attempt; false if there is none.
func decisionOn(decisions []Decision, n int) (Decision, bool) {
	for _, d := range decisions {
		if d.Attempt == attemptID(n) {
			return d, true
		}
	}
	return Decision{}, false
}

// Work whose sender has not been heard of for too long must not start before the sender has
// answered, and must not keep a slot from other work.
func TestOldWordDoesNotStart(t *testing.T) {
	s := newKnown(1)
	s, decisions := s.Arrive(at(1000), newAskable(1, 1000, 0))
	if d, ok := decisionOn(decisions, 1); !ok || !d.Ask || d.Start {
		t.Fatalf("old offer: got %+v, %t, want a question", d, ok)
	}
	s, decisions = s.Arrive(at(1010), newAskable(2, 1010, 1000))
	if d, ok := decisionOn(decisions, 2); !ok || !d.Start {
		t.Fatalf("recent offer behind it: got %+v, %t, want a start", d, ok)
	}
	s, decisions = s.Confirm(at(1030), attemptID(1), at(1000), at(2500))
	if d, ok := decisionOn(decisions, 1); ok {
		t.Fatalf("answer while the slot is taken: got %+v, want no decision", d)
	}
	s, decisions = s.End(at(1100), RunResult{
		Ran: true,
	})
	if d, ok := decisionOn(decisions, 1); !ok || !d.Start {
		t.Fatalf("slot is free: got %+v, %t, want a start", d, ok)
	}
	if s.Queued(attemptID(1)) {
		t.Error("queued after the start: got true, want false")
	}
}

// The sender must be asked again while it does not answer, and work that can't start for
// that is refused for this reason once it is too late, at its new deadline at the latest.
func TestUnansweredQuestions(t *testing.T) {
	s := newKnown(1)
	s, decisions := s.Arrive(at(0), newAskable(1, 0, -1000))
	asked := 0
	var last Decision
	for ms := 25; ms <= 3000; ms += 25 {
		if d, ok := decisionOn(decisions, 1); ok {
			last = d
			if d.Ask {
				asked++
			}
		}
		s, decisions = s.Tick(at(ms))
	}
	if got, least := asked, 10; got < least {
		t.Errorf("questions in 3 s: got %d, want at least %d", got, least)
	}
	if last.Ask || last.Start || last.Reason != cyclam.ReasonUnconfirmed {
		t.Errorf("last decision: got %+v, want a refusal for %q", last, cyclam.ReasonUnconfirmed)
	}
	s, _ = s.Arrive(at(4000), newAskable(2, 4000, 3000))
	_, decisions = s.Confirm(at(4100), attemptID(2), at(4050), at(4090))
	if d, ok := decisionOn(decisions, 2); !ok || d.Start || d.Reason != cyclam.ReasonDeadlineExceeded {
		t.Errorf("answer past the deadline: got %+v, %t, want a refusal", d, ok)
	}
}

// Only senders of work that may start soon are asked.
func TestQuestionsAreLimited(t *testing.T) {
	const slots = 3
	s := newKnown(slots)
	for i := range slots {
		s, _ = s.Arrive(at(0), newAskable(i, 0, 0))
	}
	for i := range 20 {
		s, _ = s.Arrive(at(1), newAskable(100+i, 1, 0))
	}
	_, decisions := s.Tick(at(200))
	asked := 0
	for _, d := range decisions {
		if d.Ask {
			asked++
		}
	}
	if got, want := asked, slots; got != want {
		t.Errorf("senders asked: got %d, want %d", got, want)
	}
}

// Attempts whose senders don't answer must not keep others from being asked: slots are free.
func TestUnansweredQuestionsDontBlockOthers(t *testing.T) {
	const slots = 2
	s := newKnown(slots)
	for i := range slots {
		w := newWork(i, 0, 1000, 1000)
		w.Nested = true
		w.Word = intent.Received(at(0), at(-1000))
		s, _ = s.Arrive(at(0), w)
	}
	w := newWork(100, 0, 1200, 4000)
	w.Word = intent.Received(at(0), at(-1000))
	s, decisions := s.Arrive(at(0), w)
	for ms := 0; ms <= 1200; ms += 25 {
		if d, ok := decisionOn(decisions, 100); ok {
			if !d.Ask || ms > 100 {
				t.Errorf("after %d ms: got %+v, want a question within 100 ms", ms, d)
			}
			return
		}
		s, decisions = s.Tick(at(ms + 25))
	}
	t.Error("got no question")
}

// Work whose sender's answers always come too late can't start. It must be refused once that
// is known, not shortly before its deadline.
func TestAnswersThatAreAlwaysLate(t *testing.T) {
	const way = 450
	s := newKnown(2)
	w := newWork(1, 0, 4000, 4000)
	w.Word = intent.Received(at(0), at(-way))
	s, decisions := s.Arrive(at(0), w)
	var answers []int
	for ms := 0; ms < 4000; ms += 25 {
		if d, ok := decisionOn(decisions, 1); ok {
			if !d.Ask {
				if ms > 2000 || d.Start {
					t.Errorf("after %d ms: got %+v, want a refusal within 2 s", ms, d)
				}
				return
			}
			answers = append(answers, ms+way)
		}
		next := ms + 25
		if len(answers) > 0 && answers[0] <= next {
			s, decisions = s.Confirm(at(next), attemptID(1), at(next-way), at(4000))
			answers = answers[1:]
			continue
		}
		s, decisions = s.Tick(at(next))
	}
	t.Error("got no decision")
}
