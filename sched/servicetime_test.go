package sched

import (
	"fmt"
	"testing"
	"time"
)

// endRuns returns the state after count runs of a route that took took each.
func endRuns(s State, count int, route string, took time.Duration) State {
	for range count {
		s, _ = s.End(at(0), RunResult{
			Route: route,
			Took:  took,
			Ran:   true,
		})
	}
	return s
}

// An upstream that has just run many short requests is no faster than before. If it
// reported a shorter service time, all nodes would send their long requests to it, and
// it would queue them as if it could run them in time.
func TestServiceTimeDoesNotDependOnTheMix(t *testing.T) {
	const (
		long  = 470 * time.Millisecond
		short = 90 * time.Millisecond
	)
	mixed := newKnown(18)
	for range 100 {
		mixed = endRuns(mixed, 1, "long", long)
		mixed = endRuns(mixed, 1, "short", short)
	}
	tests := []struct {
		name  string
		state State
	}{
		{name: "short ones last", state: endRuns(mixed, 100, "short", short)},
		{name: "long ones last", state: endRuns(mixed, 100, "long", long)},
	}
	want := mixed.Load(at(0)).ServiceTime
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.state.Load(at(0)).ServiceTime
			// The picker treats times within a tenth as equal.
			if got < want*9/10 || got > want*11/10 {
				t.Errorf("service time: got %v, want about %v", got, want)
			}
			wait, wantWait := test.state.expectedWait(at(0), 36), mixed.expectedWait(at(0), 36)
			if wait < wantWait*9/10 || wait > wantWait*11/10 {
				t.Errorf("expected wait: got %v, want about %v", wait, wantWait)
			}
		})
	}
}

// An upstream that has become slower reports a longer service time.
func TestServiceTimeFollowsTheUpstream(t *testing.T) {
	s := endRuns(newKnown(18), 100, "r", 100*time.Millisecond)
	s = endRuns(s, 100, "r", 300*time.Millisecond)
	if got, want := s.Load(at(0)).ServiceTime, 290*time.Millisecond; got < want {
		t.Errorf("service time: got %v, want at least %v", got, want)
	}
}

// Requests on routes that are hardly used must not change the service time: an upstream
// that reports less than its usual work takes keeps requests away from one that has just
// joined.
func TestServiceTimeIgnoresRareRoutes(t *testing.T) {
	s := endRuns(newKnown(18), 100, "usual", 360*time.Millisecond)
	want := s.Load(at(0)).ServiceTime
	for i := range 20 {
		s = endRuns(s, 3, fmt.Sprintf("rare-%d", i), 10*time.Millisecond)
	}
	if got := s.Load(at(0)).ServiceTime; got < want*9/10 {
		t.Errorf("service time: got %v, want about %v", got, want)
	}
}

// An upstream that has just started must not seem to be faster than the others: all nodes
// would send their requests to it. It reports no service time until its runs tell, and
// meanwhile expects its runs to take as long as those of the others.
func TestServiceTimeOfNewUpstream(t *testing.T) {
	s := newKnown(18)
	if got := s.Load(at(0)).ServiceTime; got != 0 {
		t.Errorf("service time before the first run: got %v, want none", got)
	}
	const typical = 430 * time.Millisecond
	s = s.WithServiceTimeHint(typical)
	if got, want := s.ServiceTime(), typical; got != want {
		t.Errorf("expected service time: got %v, want %v", got, want)
	}
	if got := s.Load(at(0)).ServiceTime; got != 0 {
		t.Errorf("reported service time: got %v, want none", got)
	}
	s = endRuns(s, settledRuns, "r", 360*time.Millisecond)
	got := s.Load(at(0)).ServiceTime
	if got < 350*time.Millisecond || got > typical {
		t.Errorf("service time after %d runs: got %v, want from 350 ms to %v", settledRuns, got, typical)
	}
	if after := s.WithServiceTimeHint(time.Second).Load(at(0)).ServiceTime; after != got {
		t.Errorf("service time after a late hint: got %v, want %v", after, got)
	}
}
