package sched

import (
	"slices"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func attempt(n int) cyclam.AttemptID {
	return cyclam.AttemptID{
		Sender: cyclam.Identity{
			Instance:    "sender",
			Incarnation: 1,
		},
		Number: uint64(n),
	}
}

func known(slots int) State {
	return New(Tuning{
		Slots: slots,
		Drain: time.Second,
	}).WithUpstream(slots)
}

func work(n, arrivedMs, goalMs, deadlineMs int) Work {
	return Work{
		Attempt:      attempt(n),
		Route:        "r",
		Arrived:      at(arrivedMs),
		SoftDeadline: at(arrivedMs + goalMs),
		Deadline:     at(arrivedMs + deadlineMs),
	}
}

func TestNeverMoreThanSlotsRun(t *testing.T) {
	s := known(3)
	started := 0
	for i := range 20 {
		var decisions []Decision
		s, decisions = s.Arrive(at(i), work(i, i, 5000, 9000))
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

func TestForeignWorkTakesSlots(t *testing.T) {
	s := known(4)
	s, _ = s.Arrive(at(0), work(1, 0, 500, 900))
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
		t.Errorf("limit while the upstream works on more than was sent: got %d, want %d", got, want)
	}
	if got, want := s.Load(at(101)).Limit, 2; got != want {
		t.Errorf("limit: got %d, want %d", got, want)
	}
	if got, want := s.Load(at(100+2*int(extraMemory.Milliseconds()))).Limit, 4; got != want {
		t.Errorf("limit once that is old: got %d, want %d", got, want)
	}
}

func TestHopelessWorkIsTurnedAwayAtOnce(t *testing.T) {
	s := known(1)
	s, _ = s.Arrive(at(0), work(0, 0, 500, 1000))
	refused := 0
	var after time.Duration
	for i := 1; i <= 30; i++ {
		var decisions []Decision
		s, decisions = s.Arrive(at(1), work(i, 1, 500, 1000))
		for _, d := range decisions {
			if !d.Start {
				refused++
				after = d.RetryAfter
			}
		}
	}
	if refused == 0 {
		t.Fatal("got no refusal, want those that can't end in time refused on arrival")
	}
	if after < s.mean {
		t.Errorf("retry after: got %v, want at least the time of one run, %v", after, s.mean)
	}
	for _, w := range s.queue {
		if end := at(1).Add(s.wait(0, 1) + s.mean); end.After(s.latest(at(1), w)) {
			t.Errorf("kept work that can't end in time")
		}
	}
}

func TestOrder(t *testing.T) {
	s := known(1)
	s, _ = s.Arrive(at(0), work(0, 0, 9000, 9000))
	late := work(1, 0, 10, 9000)
	urgent := work(2, 0, 9000, 9000)
	plain := work(3, 0, 9000, 9000)
	nested := work(4, 0, 9000, 9000)
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

func TestLeavingUpstreamTakesNothingAfterDrain(t *testing.T) {
	s := known(1).WithLeaving(at(0))
	s, decisions := s.Arrive(at(900), work(1, 900, 500, 900))
	if !decisions[0].Start {
		t.Errorf("before the drain time: got %v, want a start", decisions[0])
	}
	s, _ = s.Arrive(at(950), work(2, 950, 500, 900))
	s, decisions = s.End(at(1001), RunResult{})
	if len(decisions) != 1 || decisions[0].Start || decisions[0].Reason != cyclam.ReasonDraining {
		t.Errorf("waiting at the end of the drain time: got %v, want it refused as draining", decisions)
	}
	_, decisions = s.Arrive(at(1002), work(3, 1002, 500, 900))
	if decisions[0].Start {
		t.Error("after the drain time: got a start, want a refusal")
	}
}

func TestWithdraw(t *testing.T) {
	s := known(1)
	s, _ = s.Arrive(at(0), work(1, 0, 500, 900))
	s, _ = s.Arrive(at(0), work(2, 0, 500, 900))
	s, waited := s.Withdraw(attempt(2))
	if !waited {
		t.Error("waiting work: got false, want true")
	}
	if _, waited := s.Withdraw(attempt(1)); waited {
		t.Error("running work: got true, want false")
	}
	_, decisions := s.End(at(10), RunResult{})
	if len(decisions) != 0 {
		t.Errorf("after it was withdrawn: got %v, want nothing started", decisions)
	}
}
