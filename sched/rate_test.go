package sched

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"pgregory.net/rapid"
)

// from returns a copy of work that another instance has sent.
func (w Work) from(sender cyclam.InstanceName) Work {
	w.Attempt.Sender.Instance = sender
	return w
}

// rateReplay offers work to a scheduler with a rate limit and counts what becomes of it.
type rateReplay struct {
	state State
	next  int
	// started holds the times of starts, startedBy and refusedBy the counts by sender.
	started   []time.Time
	startedBy map[cyclam.InstanceName]int
	refusedBy map[cyclam.InstanceName]int
	running   []cyclam.AttemptID
	arrived   map[cyclam.AttemptID]time.Time
	// longest is the longest time between an arrival and its refusal.
	longest time.Duration
}

func newRateReplay(slots int) *rateReplay {
	return &rateReplay{
		state:     newKnown(slots),
		startedBy: map[cyclam.InstanceName]int{},
		refusedBy: map[cyclam.InstanceName]int{},
		arrived:   map[cyclam.AttemptID]time.Time{},
	}
}

func (r *rateReplay) apply(now time.Time, decisions []Decision) {
	for _, d := range decisions {
		sender := d.Attempt.Sender.Instance
		if d.Start {
			r.started = append(r.started, now)
			r.startedBy[sender]++
			r.running = append(r.running, d.Attempt)
			continue
		}
		r.refusedBy[sender]++
		r.longest = max(r.longest, now.Sub(r.arrived[d.Attempt]))
	}
}

func (r *rateReplay) offer(ms int, sender cyclam.InstanceName) {
	r.next++
	w := newWork(r.next, ms, 500, 1200).from(sender)
	r.arrived[w.Attempt] = at(ms)
	var decisions []Decision
	r.state, decisions = r.state.Arrive(at(ms), w)
	r.apply(at(ms), decisions)
}

// endRuns ends what runs, each run after 100 ms of it.
func (r *rateReplay) endRuns(ms int) {
	for range r.running {
		var decisions []Decision
		r.state, decisions = r.state.End(at(ms), RunResult{
			Route: "r",
			Took:  100 * time.Millisecond,
			Ran:   true,
		})
		r.running = r.running[1:]
		r.apply(at(ms), decisions)
	}
}

func (r *rateReplay) tick(ms int) {
	var decisions []Decision
	r.state, decisions = r.state.Tick(at(ms))
	r.apply(at(ms), decisions)
}

// In every span of time, whenever it begins, no more attempts may start than the limit in
// force allows in it and one burst, whatever the load is, also while the limit changes.
func TestRateLimitHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRateReplay(18)
		ms := 0
		highest := 0.0
		limit := func() {
			perSecond := rapid.SampledFrom([]float64{0, 0.3, 2, 6.4, 48.2}).Draw(t, "limit")
			highest = max(highest, perSecond)
			r.state = r.state.WithRateLimit(at(ms), cyclam.RateLimitOf(perSecond))
		}
		limit()
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			ms += rapid.SampledFrom([]int{0, 1, 5, 25, 400, 3000}).Draw(t, "pause")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				limit()
			case 1, 2:
				r.endRuns(ms)
			case 3, 4:
				r.tick(ms)
			case 5:
				r.state = r.state.WithRateLimit(at(ms), cyclam.RateLimit{})
			default:
				r.offer(ms, "sender")
			}
		}
		for first := range r.started {
			for last := first; last < len(r.started); last++ {
				span := r.started[last].Sub(r.started[first])
				if got, most := float64(last-first+1), highest*span.Seconds()+burst(highest)+1e-6; got > most {
					t.Fatalf("starts in %v: got %v, want at most %v for limits of up to %v a second", span, got, most, highest)
				}
			}
		}
	})
}

// replayRate offers a load to an upstream with a limit for some seconds: from each sender a
// request after each pause in milliseconds. Runs take 100 ms.
func replayRate(perSecond float64, seconds int, pauses map[cyclam.InstanceName]int) *rateReplay {
	r := newRateReplay(18)
	r.state = r.state.WithRateLimit(at(0), cyclam.RateLimitOf(perSecond))
	for ms := range 1000 * seconds {
		for _, sender := range []cyclam.InstanceName{"a", "b", "c"} {
			if pause := pauses[sender]; pause > 0 && ms%pause == 0 {
				r.offer(ms, sender)
			}
		}
		if ms%100 == 0 {
			r.endRuns(ms)
		}
		if ms%25 == 0 {
			r.tick(ms)
		}
	}
	return r
}

// An overloaded upstream must get what its limit allows, and work that the limit leaves no
// room for must be refused long before its deadline.
func TestRateLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{2, 6.4, 48.2} {
		r := replayRate(perSecond, 20, map[cyclam.InstanceName]int{"a": 10, "b": 10})
		if got, least := float64(len(r.started)), 0.97*perSecond*20-1; got < least {
			t.Errorf("limit %v: starts: got %v, want at least %v", perSecond, got, least)
		}
		if got, most := r.longest, 500*time.Millisecond; got > most {
			t.Errorf("limit %v: longest time until a refusal: got %v, want at most %v", perSecond, got, most)
		}
	}
}

// A sender that asks for less than its part of the limit must get it all, however much
// the others ask for.
func TestRateLimitIsDividedAmongSenders(t *testing.T) {
	r := replayRate(12, 20, map[cyclam.InstanceName]int{"a": 5, "b": 5, "c": 500})
	if got, most := r.refusedBy["c"], 2; got > most {
		t.Errorf("refused of the sender with 2 requests a second: got %d, want at most %d", got, most)
	}
	a, b := r.startedBy["a"], r.startedBy["b"]
	if a < 80 || b < 80 {
		t.Errorf("starts of the others: got %d and %d, want at least 80 each", a, b)
	}
}

// Work of little urgency must not be starved by more urgent work that alone exceeds the
// limit, and must not be served more often either.
func TestRateLimitStarvesNoKind(t *testing.T) {
	for _, c := range []struct {
		name         string
		nested       int
		urgent, slow int
	}{
		{name: "nested work beyond the limit", nested: 50, slow: 200},
		{name: "urgent work beyond the limit", urgent: 50, slow: 100},
		{name: "all three", nested: 100, urgent: 100, slow: 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRateReplay(18)
			r.state = r.state.WithRateLimit(at(0), cyclam.RateLimitOf(10))
			arrived := map[cyclam.InstanceName]float64{}
			const span = 30_000
			for ms := range span {
				for kind, pause := range map[cyclam.InstanceName]int{"nested": c.nested, "urgent": c.urgent, "slow": c.slow} {
					if pause == 0 || ms%pause != 0 {
						continue
					}
					arrived[kind]++
					r.next++
					w := newWork(r.next, ms, 500, 1200).from(kind)
					w.Nested = kind == "nested"
					if kind == "slow" {
						w.Priority = 2
					}
					r.arrived[w.Attempt] = at(ms)
					var decisions []Decision
					r.state, decisions = r.state.Arrive(at(ms), w)
					r.apply(at(ms), decisions)
				}
				if ms%100 == 0 {
					r.endRuns(ms)
				}
				if ms%25 == 0 {
					r.tick(ms)
				}
			}
			chance := func(kind cyclam.InstanceName) float64 { return float64(r.startedBy[kind]) / max(1, arrived[kind]) }
			best := max(chance("nested"), chance("urgent"))
			for kind := range arrived {
				if got, least := chance(kind), starvedShare*best*0.9; got < least {
					t.Errorf("%s: started %v of its arrivals, want at least %v", kind, got, least)
				}
			}
			if got := chance("slow"); got > best {
				t.Errorf("slow: started %v of its arrivals, want at most %v as the more urgent", got, best)
			}
		})
	}
}

// A limit of zero must refuse at once, and tell when to come back.
func TestZeroRateLimitRefusesAtOnce(t *testing.T) {
	s := newKnown(4).WithRateLimit(at(0), cyclam.RateLimitOf(0))
	s, decisions := s.Arrive(at(0), newWork(1, 0, 500, 1200))
	if len(decisions) != 1 || decisions[0].Start || decisions[0].Reason != cyclam.ReasonRateLimited {
		t.Fatalf("got %+v, want a refusal for the rate limit", decisions)
	}
	if got := decisions[0].RetryAfter; got < minRetryAfter || got > maxLimitedRetryAfter {
		t.Errorf("retry after: got %v, want %v to %v", got, minRetryAfter, maxLimitedRetryAfter)
	}
	s, decisions = s.WithTrial(at(10)).Arrive(at(10), newWork(2, 10, 500, 1200))
	if len(decisions) != 1 || !decisions[0].Start {
		t.Errorf("after a trial was allowed: got %+v, want a start", decisions)
	}
	if _, decisions = s.Arrive(at(20), newWork(3, 20, 500, 1200)); len(decisions) != 1 || decisions[0].Start {
		t.Errorf("after the trial: got %+v, want a refusal", decisions)
	}
}

// Once an upstream no longer names a limit, or another process has taken its place, work
// must start as before.
func TestRateLimitEnds(t *testing.T) {
	limited := newKnown(4).WithRateLimit(at(0), cyclam.RateLimitOf(1))
	for name, s := range map[string]State{
		"no limit named": limited.WithRateLimit(at(10), cyclam.NoRateLimit()),
		"new process":    limited.WithUpstream(4),
	} {
		for i := range 4 {
			var decisions []Decision
			s, decisions = s.Arrive(at(10), newWork(i, 10, 500, 1200))
			if len(decisions) != 1 || !decisions[0].Start {
				t.Errorf("%s: got %+v, want a start", name, decisions)
			}
		}
	}
}

// Work that waits for the limit must start when the limit allows it, though no run ends.
func TestRateLimitedWorkWaits(t *testing.T) {
	s := newKnown(4).WithRateLimit(at(0), cyclam.RateLimitOf(10))
	s, decisions := s.Arrive(at(0), newWork(1, 0, 500, 1200))
	if len(decisions) != 0 {
		t.Fatalf("at once: got %+v, want no decision", decisions)
	}
	if got, want := s.Load(at(0)).StartDelay, 200*time.Millisecond; got != want {
		t.Errorf("start delay of one more: got %v, want %v", got, want)
	}
	s, decisions = s.Tick(at(75))
	if len(decisions) != 0 {
		t.Errorf("after 75 ms: got %+v, want no decision", decisions)
	}
	if _, decisions = s.Tick(at(100)); len(decisions) != 1 || !decisions[0].Start {
		t.Errorf("after 100 ms: got %+v, want a start", decisions)
	}
}
