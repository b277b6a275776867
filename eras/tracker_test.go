package eras

import "testing"

// A call that waits must be woken by a higher era, and only by that.
func TestTracker(t *testing.T) {
	tracker := &Tracker{}
	steps := []struct {
		era   uint64
		raise bool
		want  uint64
	}{
		{era: 0, raise: false, want: 0},
		{era: 3, raise: true, want: 3},
		{era: 2, raise: false, want: 3},
		{era: 3, raise: false, want: 3},
		{era: 9, raise: true, want: 9},
	}
	for _, step := range steps {
		_, risen := tracker.Current()
		if got := tracker.Raise(step.era); got != step.raise {
			t.Errorf("raise to %d: got %t, want %t", step.era, got, step.raise)
		}
		woken := false
		select {
		case <-risen:
			woken = true
		default:
		}
		if woken != step.raise {
			t.Errorf("raise to %d: woken: got %t, want %t", step.era, woken, step.raise)
		}
		if got, _ := tracker.Current(); got != step.want {
			t.Errorf("after %d: got %d, want %d", step.era, got, step.want)
		}
	}
}
