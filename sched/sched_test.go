package sched

import (
	"slices"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func attemptID(n int) cyclam.AttemptID {
	return cyclam.AttemptID{
		Sender: cyclam.Identity{
			Instance:    "sender",
			Incarnation: 1,
		},
		Number: uint64(n),
	}
}

func newKnown(slots int) State {
	return New(Tuning{
		Slots: slots,
		Drain: time.Second,
	}).WithUpstream(slots)
}

func newWork(n, arrivedMs, softDeadlineMs, deadlineMs int) Work {
	return Work{
		Attempt:      attemptID(n),
		Route:        "r",
		Arrived:      at(arrivedMs),
		SoftDeadline: at(arrivedMs + softDeadlineMs),
		Deadline:     at(arrivedMs + deadlineMs),
	}
}

func TestRunningNeverExceedsSlots(t *testing.T) {
	s := newKnown(3)
	started := 0
	for i := range 20 {
		var decisions []Decision
		s, decisions = s.Arrive(at(i), newWork(i, i, 5000, 9000))
		for _, d := range decisions {
			if d.Start {
				started++
			}
		}
	}
	if got, want := started, 3; got != want {
		t.Errorf("started: got %d, want %d", got, want)
	}
	if got, want := s.Load(at(20)).Waiting, 17; got != want {
		t.Errorf("waiting: got %d, want %d", got, want)
	}
}

func TestExternalLoadLowersLimit(t *testing.T) {
	s := newKnown(4)
	s, _ = s.Arrive(at(0), newWork(1, 0, 500, 900))
	s, _ = s.End(at(100), RunResult{
		Route:     "r",
		Took:      100 * time.Millisecond,
		Ran:       true,
		LoadKnown: true,
		Load: cyclam.UpstreamLoad{
			Running: 3,
			Slots:   4,
		},
	})
	if got, want := s.Load(at(101)).Limit, 2; got != want {
		t.Errorf("limit while the upstream reports external load: got %d, want %d", got, want)
	}
	if got, want := s.Load(at(101)).Limit, 2; got != want {
		t.Errorf("limit: got %d, want %d", got, want)
	}
	if got, want := s.Load(at(100+2*int(externalLoadTTL.Milliseconds()))).Limit, 4; got != want {
		t.Errorf("limit after the reported load expired: got %d, want %d", got, want)
	}
}

func TestLateWorkIsRefusedOnArrival(t *testing.T) {
	s := newKnown(1)
	s, _ = s.Arrive(at(0), newWork(0, 0, 500, 1000))
	refused := 0
	var after time.Duration
	for i := 1; i <= 30; i++ {
		var decisions []Decision
		s, decisions = s.Arrive(at(1), newWork(i, 1, 500, 1000))
		for _, d := range decisions {
			if !d.Start {
				refused++
				after = d.RetryAfter
			}
		}
	}
	if refused == 0 {
		t.Fatal("got no refusal, want work that is not expected to end in time refused on arrival")
	}
	if after < s.serviceTime {
		t.Errorf("retry after: got %v, want at least the time of one run, %v", after, s.serviceTime)
	}
	for _, w := range s.queue {
		if end := at(1).Add(s.expectedWait(at(1), 0) + s.serviceTime); end.After(s.latestEnd(at(1), w)) {
			t.Errorf("queued work that is not expected to end in time")
		}
	}
}

func TestQueueOrder(t *testing.T) {
	s := newKnown(1)
	s, _ = s.Arrive(at(0), newWork(0, 0, 9000, 9000))
	late := newWork(1, 0, 10, 9000)
	urgent := newWork(2, 0, 9000, 9000)
	plain := newWork(3, 0, 9000, 9000)
	nested := newWork(4, 0, 9000, 9000)
	late.Priority, plain.Priority, nested.Priority = 2, 2, 2
	urgent.Priority = 1
	nested.Nested = true
	for _, w := range []Work{late, plain, urgent, nested} {
		s, _ = s.Arrive(at(0), w)
	}
	var got []uint64
	for range 4 {
		var decisions []Decision
		s, decisions = s.End(at(1), RunResult{})
		for _, d := range decisions {
			if d.Start {
				got = append(got, d.Attempt.Number)
			}
		}
	}
	if want := []uint64{4, 2, 3, 1}; !slices.Equal(got, want) {
		t.Errorf("order: got %v, want %v (nested, urgent, on time, late)", got, want)
	}
}

func TestNoStartAfterDrain(t *testing.T) {
	s := newKnown(1).WithLeaving(at(0))
	s, decisions := s.Arrive(at(900), newWork(1, 900, 500, 900))
	if !decisions[0].Start {
		t.Errorf("before the drain time: got %v, want a start", decisions[0])
	}
	s, _ = s.Arrive(at(950), newWork(2, 950, 500, 900))
	s, decisions = s.End(at(1001), RunResult{})
	if len(decisions) != 1 || decisions[0].Start || decisions[0].Reason != cyclam.ReasonDraining {
		t.Errorf("queued at the end of the drain time: got %v, want it refused as draining", decisions)
	}
	_, decisions = s.Arrive(at(1002), newWork(3, 1002, 500, 900))
	if decisions[0].Start {
		t.Error("after the drain time: got a start, want a refusal")
	}
}

func TestWithdraw(t *testing.T) {
	s := newKnown(1)
	s, _ = s.Arrive(at(0), newWork(1, 0, 500, 900))
	s, _ = s.Arrive(at(0), newWork(2, 0, 500, 900))
	s, waited := s.Withdraw(attemptID(2))
	if !waited {
		t.Error("queued work: got false, want true")
	}
	if _, waited := s.Withdraw(attemptID(1)); waited {
		t.Error("running work: got true, want false")
	}
	_, decisions := s.End(at(10), RunResult{})
	if len(decisions) != 0 {
		t.Errorf("end of a run after the queued work was withdrawn: got %v, want no decision", decisions)
	}
}
