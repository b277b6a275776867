package admit

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var self = cyclam.Identity{
	Instance:    "cutorder-1",
	Incarnation: 7,
}

var sender = cyclam.Identity{
	Instance:    "stockview-1",
	Incarnation: 3,
}

func fresh() State {
	return New(self, Tuning{
		Slots:      1,
		Queue:      1,
		QueueWait:  200 * time.Millisecond,
		AttemptTTL: time.Second,
		KeyTTL:     time.Minute,
	}, start)
}

func attempt(number uint64) cyclam.AttemptID {
	return cyclam.AttemptID{
		Sender: sender,
		Number: number,
	}
}

func arrival(number uint64, key string) cyclam.WorkArrived {
	return cyclam.WorkArrived{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt:  attempt(number),
		Target:   self,
		Key:      key,
		Deadline: start.Add(time.Second),
	}
}

// verdictOf returns how an attempt was finished by some effects.
func verdictOf(effects []cyclam.Effect, id cyclam.AttemptID) (cyclam.Completion, bool) {
	for _, effect := range effects {
		if e, ok := effect.(cyclam.FinishWork); ok && e.Attempt == id {
			return e.Completion, true
		}
	}
	return cyclam.Completion{}, false
}

func started(effects []cyclam.Effect, id cyclam.AttemptID) bool {
	for _, effect := range effects {
		if e, ok := effect.(cyclam.StartWork); ok && e.Attempt == id {
			return true
		}
	}
	return false
}

// TestEvictedWorkNeverStarts covers a rule that comes into force while work
// waits for a slot.
func TestEvictedWorkNeverStarts(t *testing.T) {
	s := fresh()
	s, _ = s.Arrived(arrival(1, ""), "")
	s, _ = s.Arrived(arrival(2, ""), "")
	s, effects := s.Evicted(cyclam.ReasonPlacement)
	verdict, _ := verdictOf(effects, attempt(2))
	if got, want := verdict.Outcome, cyclam.OutcomeNotRun; got != want {
		t.Errorf("got outcome %v, want %v", got, want)
	}
	_, effects = s.Ended(cyclam.WorkEnded{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt: attempt(1),
		Completion: cyclam.Completion{
			Outcome: cyclam.OutcomeDone,
		},
	})
	if started(effects, attempt(2)) {
		t.Error("got evicted work started, want it refused for good")
	}
}

// TestArrivalAfterCancel covers a cancel that overtakes its attempt.
func TestArrivalAfterCancel(t *testing.T) {
	s := fresh()
	s, effects := s.Cancelled(cyclam.CancelArrived{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt: attempt(1),
		Target:  self,
	})
	if got, want := effects[0].(cyclam.AnswerCancel).Confirmed, true; got != want {
		t.Fatalf("got confirmed %v, want %v", got, want)
	}
	_, effects = s.Arrived(arrival(1, ""), "")
	if started(effects, attempt(1)) {
		t.Error("got a cancelled attempt started, want it refused")
	}
}

// TestForgottenAttemptNeverStarts covers an attempt that arrives once more, or
// late, after the node has forgotten its number.
func TestForgottenAttemptNeverStarts(t *testing.T) {
	s := fresh()
	s, _ = s.Arrived(arrival(5, ""), "")
	s, _ = s.Ended(cyclam.WorkEnded{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt: attempt(5),
		Completion: cyclam.Completion{
			Outcome: cyclam.OutcomeDone,
		},
	})
	for i := 1; i <= 3; i++ {
		s, _ = s.Tick(start.Add(time.Duration(i) * time.Second))
	}
	for _, number := range []uint64{5, 4} {
		_, effects := s.Arrived(arrival(number, ""), "")
		verdict, _ := verdictOf(effects, attempt(number))
		if got, want := verdict.Outcome, cyclam.OutcomeUnknown; got != want {
			t.Errorf("attempt %d: got outcome %v, want %v", number, got, want)
		}
	}
}

// TestRepeatOfAKey covers what a caller gets who sends the same key again.
func TestRepeatOfAKey(t *testing.T) {
	s := fresh()
	done := cyclam.Completion{
		Outcome: cyclam.OutcomeDone,
		Answer: cyclam.Answer{
			Status: 201,
			Body:   []byte("booked"),
		},
	}
	s, _ = s.Arrived(arrival(1, "k"), "")
	_, effects := s.Arrived(arrival(2, "k"), "")
	verdict, _ := verdictOf(effects, attempt(2))
	if got, want := verdict.Reason, cyclam.ReasonDuplicate; got != want {
		t.Errorf("while running: got %v, want %v", got, want)
	}
	s, _ = s.Ended(cyclam.WorkEnded{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt:    attempt(1),
		Completion: done,
	})
	_, effects = s.Arrived(arrival(3, "k"), "")
	verdict, _ = verdictOf(effects, attempt(3))
	if got, want := string(verdict.Answer.Body), "booked"; got != want {
		t.Errorf("after its end: got body %q, want %q", got, want)
	}
}

// TestQueueIsBounded covers a full queue and a wait that is too long.
func TestQueueIsBounded(t *testing.T) {
	s := fresh()
	s, _ = s.Arrived(arrival(1, ""), "")
	s, _ = s.Arrived(arrival(2, ""), "")
	s, effects := s.Arrived(arrival(3, ""), "")
	verdict, _ := verdictOf(effects, attempt(3))
	if verdict.Reason != cyclam.ReasonOverloaded || verdict.RetryAfter <= 0 {
		t.Errorf("got %+v, want it shed with a time to come back", verdict)
	}
	_, effects = s.Tick(start.Add(200 * time.Millisecond))
	if verdict, _ = verdictOf(effects, attempt(2)); verdict.Reason != cyclam.ReasonOverloaded {
		t.Errorf("after the queue's wait: got %+v, want it shed", verdict)
	}
}
