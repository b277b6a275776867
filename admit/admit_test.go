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

func newTestState() State {
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

// completionOf returns the completion that the effects contain for an attempt.
func completionOf(effects []cyclam.Effect, id cyclam.AttemptID) (cyclam.Completion, bool) {
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

// TestEvictedWorkNeverStarts guards against starting a queued attempt after a
// placement rule that forbids it has come into force.
func TestEvictedWorkNeverStarts(t *testing.T) {
	s := newTestState()
	s, _ = s.Arrived(arrival(1, ""), "")
	s, _ = s.Arrived(arrival(2, ""), "")
	s, effects := s.Evicted(cyclam.ReasonPlacement)
	completion, _ := completionOf(effects, attempt(2))
	if got, want := completion.Outcome, cyclam.OutcomeNotRun; got != want {
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
		t.Error("got the evicted attempt started, want it refused permanently")
	}
}

// TestArrivalAfterCancel guards against starting an attempt whose cancel request
// arrives first and has been confirmed.
func TestArrivalAfterCancel(t *testing.T) {
	s := newTestState()
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

// TestForgottenAttemptNeverStarts guards against running an attempt twice: a
// duplicate or late attempt arrives after the records of its time have expired.
func TestForgottenAttemptNeverStarts(t *testing.T) {
	s := newTestState()
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
		completion, _ := completionOf(effects, attempt(number))
		if got, want := completion.Outcome, cyclam.OutcomeUnknown; got != want {
			t.Errorf("attempt %d: got outcome %v, want %v", number, got, want)
		}
	}
}

// TestRepeatedIdempotencyKey checks the response to a repeated key while the first
// attempt runs and after it has ended.
func TestRepeatedIdempotencyKey(t *testing.T) {
	s := newTestState()
	done := cyclam.Completion{
		Outcome: cyclam.OutcomeDone,
		Answer: cyclam.Answer{
			Status: 201,
			Body:   []byte("booked"),
		},
	}
	s, _ = s.Arrived(arrival(1, "k"), "")
	_, effects := s.Arrived(arrival(2, "k"), "")
	completion, _ := completionOf(effects, attempt(2))
	if got, want := completion.Reason, cyclam.ReasonDuplicate; got != want {
		t.Errorf("while the first attempt runs: got %v, want %v", got, want)
	}
	s, _ = s.Ended(cyclam.WorkEnded{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Attempt:    attempt(1),
		Completion: done,
	})
	_, effects = s.Arrived(arrival(3, "k"), "")
	completion, _ = completionOf(effects, attempt(3))
	if got, want := string(completion.Answer.Body), "booked"; got != want {
		t.Errorf("after the first attempt ended: got body %q, want %q", got, want)
	}
}

// TestQueueIsBounded checks load shedding by queue length and by queue wait.
func TestQueueIsBounded(t *testing.T) {
	s := newTestState()
	s, _ = s.Arrived(arrival(1, ""), "")
	s, _ = s.Arrived(arrival(2, ""), "")
	s, effects := s.Arrived(arrival(3, ""), "")
	completion, _ := completionOf(effects, attempt(3))
	if completion.Reason != cyclam.ReasonOverloaded || completion.RetryAfter <= 0 {
		t.Errorf("got %+v, want it shed with a retry-after time", completion)
	}
	_, effects = s.Tick(start.Add(200 * time.Millisecond))
	if completion, _ = completionOf(effects, attempt(2)); completion.Reason != cyclam.ReasonOverloaded {
		t.Errorf("after the maximum queue wait: got %+v, want it shed", completion)
	}
}
