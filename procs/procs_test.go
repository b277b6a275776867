package procs_test

import (
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/procs"
)

func process(id string, start int) procs.Process {
	return procs.Process{
		ID:    id,
		Start: modelStart.Add(time.Duration(start) * time.Second),
	}
}

// in returns a time of the tests, in seconds.
func in(seconds int) time.Time { return modelStart.Add(time.Duration(seconds) * time.Second) }

// ready returns the state of a node that has run for a minute beside a process.
func ready(p procs.Process) procs.State {
	return procs.New(in(-60)).WithStored(procs.Process{}).WithReport(in(0), p, 1, false)
}

// healthy returns the state after a health check that finds a process at the address.
func healthy(s procs.State, now time.Time, id string) procs.State {
	round, _ := s.Asks()
	return s.WithHealth(now, round, id, true)
}

// What each kind of evidence does to the process that is taken to be at the address.
func TestEvidence(t *testing.T) {
	first, second, other := process("a", -30), process("a", 1), process("b", 1)
	for name, c := range map[string]struct {
		got     procs.State
		target  string
		leaving bool
		asks    bool
	}{
		"a report": {
			got:    ready(first),
			target: "a",
		},
		"a report to a node that has just started": {
			got:  procs.New(in(-1)).WithStored(procs.Process{}).WithReport(in(0), first, 1, false),
			asks: true,
		},
		"and a health check": {
			got:    healthy(procs.New(in(-1)).WithStored(procs.Process{}).WithReport(in(0), first, 1, false), in(0), "a"),
			target: "a",
		},
		"and a health check of another service": {
			got: healthy(procs.New(in(-1)).WithStored(procs.Process{}).WithReport(in(0), first, 1, false), in(0), "foreign"),
		},
		"and that there is no health check": {
			got:    procs.New(in(-1)).WithStored(procs.Process{}).WithReport(in(0), first, 1, false).WithoutHealthCheck(in(0)),
			target: "a",
		},
		"that there is no health check before the entry was read": {
			got:  procs.New(in(0)).WithReport(in(0), first, 1, false).WithoutHealthCheck(in(0)),
			asks: true,
		},
		"and that there was none before": {
			got:    procs.New(in(0)).WithReport(in(0), first, 1, false).WithoutStored().WithoutHealthCheck(in(0)),
			target: "a",
		},
		"an entry without a health check": {
			got:  procs.New(in(-1)).WithStored(first).WithoutHealthCheck(in(0)),
			asks: true,
		},
		"a misdirected request without a health check": {
			got:  ready(first).WithMisdirected(in(1), "a").WithoutHealthCheck(in(1)),
			asks: true,
		},
		"and a report after it": {
			got:    ready(first).WithMisdirected(in(1), "a").WithReport(in(2), first, 2, false).WithoutHealthCheck(in(2)),
			target: "a",
		},
		"a leave without a health check": {
			got:     procs.New(in(0)).WithReport(in(0), first, 1, false).WithLeave(in(0), first).WithoutStored().WithoutHealthCheck(in(0)),
			leaving: true,
		},
		"a health check before the entry was read": {
			got:  healthy(procs.New(in(0)).WithReport(in(0), first, 1, false), in(0), "a"),
			asks: true,
		},
		"an entry and a health check": {
			got:    healthy(procs.New(in(-1)).WithStored(first), in(0), "a"),
			target: "a",
		},
		"a leave": {
			got:     ready(first).WithLeave(in(2), first),
			target:  "a",
			leaving: true,
		},
		"a late report after a leave": {
			got:     ready(first).WithLeave(in(2), first).WithReport(in(3), first, 2, false),
			target:  "a",
			leaving: true,
		},
		"a later process under the id after a leave": {
			got:     ready(first).WithLeave(in(2), first).WithReport(in(3), second, 1, false),
			target:  "a",
			leaving: true,
			asks:    true,
		},
		"and its health check": {
			got:    healthy(ready(first).WithLeave(in(2), first).WithReport(in(3), second, 1, false), in(3), "a"),
			target: "a",
		},
		"a misdirected request": {
			got:  ready(first).WithMisdirected(in(2), "a"),
			asks: true,
		},
		"a late report after a misdirected request": {
			got:  ready(first).WithMisdirected(in(2), "a").WithReport(in(3), first, 2, false),
			asks: true,
		},
		"a new process after a misdirected request": {
			got:    ready(first).WithMisdirected(in(2), "a").WithReport(in(3), other, 1, false),
			target: "b",
		},
		"a notice of the process": {
			got:     ready(first).WithNotice(in(2), first, in(1)),
			target:  "a",
			leaving: true,
		},
		"a notice of a former process": {
			got:    ready(second).WithNotice(in(2), first, in(1)),
			target: "a",
		},
	} {
		if got := c.got.Target(); got != c.target {
			t.Errorf("%s: requests go to %q, want %q", name, got, c.target)
		}
		if got := !c.got.LeavingSince().IsZero(); got != c.leaving {
			t.Errorf("%s: leaving: got %v, want %v", name, got, c.leaving)
		}
		if _, got := c.got.Asks(); got != c.asks {
			t.Errorf("%s: asks for a health check: got %v, want %v", name, got, c.asks)
		}
	}
}
