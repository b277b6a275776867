package intent

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Whatever messages are delayed by, the bound on another clock must never be above what it
// shows, and must be within the shortest delay of the last minute.
func TestClockBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now, shortest := Clock{}, epoch, time.Hour
		if _, ok := c.Earliest(now); ok {
			t.Fatal("without a stamp: got a bound, want none")
		}
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
			shortest = min(shortest, delay)
			started := epoch.Add(-time.Hour)
			c = c.WithStamp(now, now.Add(-delay).Sub(started))
			got, ok := c.Earliest(now)
			shown := now.Sub(started)
			if !ok || got > shown || got < shown-shortest {
				t.Fatalf("got %v, %t; the clock shows %v, the shortest delay was %v", got, ok, shown, shortest)
			}
		}
	})
}

// A clock that stood still, because its machine was suspended, must be known again from
// later messages alone.
func TestClockForgets(t *testing.T) {
	c := Clock{}.WithStamp(epoch, time.Hour)
	const still = 5 * time.Second
	at := epoch.Add(10 * time.Second)
	for range 300 {
		at = at.Add(time.Second)
		c = c.WithStamp(at, time.Hour+at.Sub(epoch)-still)
	}
	got, ok := c.Earliest(at)
	if want := time.Hour + at.Sub(epoch) - still; !ok || got != want {
		t.Errorf("got %v, %t, want %v", got, ok, want)
	}
	if got, ok := c.Earliest(at.Add(3 * clockMemory)); ok {
		t.Errorf("without a stamp for three periods: got %v, want no bound", got)
	}
}
