package sched

import (
	"slices"
	"testing"
)

// Work that may end the upstream's process must start once nothing else runs, and nothing
// may start beside it: what ran beside it would be lost with it.
func TestAloneWork(t *testing.T) {
	s := newKnown(4)
	arrive := func(number int, alone bool) func() (State, []Decision) {
		w := newWork(number, 0, 1000, 2000)
		w.Alone = alone
		return func() (State, []Decision) { return s.Arrive(at(0), w) }
	}
	end := func() (State, []Decision) { return s.End(at(0), RunResult{}) }
	for _, step := range []struct {
		name string
		next func() (State, []Decision)
		want []uint64
	}{
		{name: "ordinary work", next: arrive(1, false), want: []uint64{1}},
		{name: "work to run alone waits", next: arrive(2, true), want: nil},
		{name: "what comes after it waits too", next: arrive(3, false), want: nil},
		{name: "it starts once nothing runs", next: end, want: []uint64{2}},
		{name: "nothing starts beside it", next: arrive(4, false), want: nil},
		{name: "the others start after it", next: end, want: []uint64{3, 4}},
	} {
		next, decisions := step.next()
		s = next
		var got []uint64
		for _, d := range decisions {
			if d.Start {
				got = append(got, d.Attempt.Number)
			}
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: got starts %v, want %v", step.name, got, step.want)
		}
	}
	if got, want := s.Load(at(0)).Running, 2; got != want {
		t.Errorf("running: got %d, want %d", got, want)
	}
}
