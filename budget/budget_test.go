package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var tuning = Tuning{
	Ratio:  0.2,
	Window: 10 * time.Second,
	Floor:  60,
}

func TestFloorIsShared(t *testing.T) {
	s := New(tuning)
	spent := 0
	for s.Allows(origin, 10) && spent < 100 {
		s = s.WithRetry(origin)
		spent++
	}
	if got, most := spent, 60/10; got == 0 || got > most {
		t.Errorf("repeats of one of ten nodes without requests: got %d, want 1 to %d", got, most)
	}
}

func TestWindowSlides(t *testing.T) {
	s := New(tuning)
	for range 1000 {
		s = s.WithRequest(origin)
	}
	if !s.Allows(origin.Add(9*time.Second), 1000) {
		t.Error("within the window: got false, want true")
	}
	if s.Allows(origin.Add(30*time.Second), 1000) {
		t.Error("long after the window: got true, want false")
	}
}

// In every window, whenever it begins, the repeats of all nodes stay within the
// ratio of the requests around it and the allowance, also when the requests move
// from one node to another.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		states := make([]State, nodes)
		for i := range states {
			states[i] = New(tuning)
		}
		var requests, repeats []time.Time
		now := origin
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			states[i] = states[i].WithRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if states[i].Allows(now, nodes) {
					states[i] = states[i].WithRetry(now)
					repeats = append(repeats, now)
				}
			}
		}
		for _, from := range repeats {
			to := from.Add(tuning.Window)
			got := count(repeats, from, to)
			most := max(
				count(requests, from, to),
				count(requests, from.Add(-tuning.Window), from),
				count(requests, from.Add(-tuning.Window/2), to.Add(-tuning.Window/2)),
			)
			if limit := tuning.Ratio*float64(most) + tuning.Floor; float64(got) > limit {
				t.Fatalf("repeats in the window from %v: got %d, want at most %v", from, got, limit)
			}
		}
	})
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
