package picker

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// A request that no upstream can be expected to answer in time must not be offered to any,
// and one that may be answered must not be refused by what is not known.
func TestPickInTime(t *testing.T) {
	idle, full := candidate("idle", here, 0, 0), candidate("full", here, 10, 10)
	crowded := candidate("crowded", here, 10, 40)
	unknown := candidate("unknown", here, 0, 0)
	unknown.Load, unknown.LoadAt = cyclam.Load{}, time.Time{}
	avoided := candidate("avoided", here, 10, 40)
	avoided.AvoidUntil = now.Add(time.Second)
	leaving := candidate("leaving", here, 0, 0)
	leaving.Load.Leaving = true
	stale := candidate("stale", here, 10, 40)
	stale.LoadAt = now.Add(-loadTTL)
	limited := candidate("limited", here, 0, 0)
	limited.Load.RateLimit, limited.Load.StartDelay = cyclam.RateLimitOf(0), time.Hour
	const wanted, wait = 500 * time.Millisecond, 1500 * time.Millisecond
	request := func(goal, deadline time.Duration) Request {
		return Request{
			From:          here,
			TargetLatency: wanted,
			Goal:          now.Add(goal),
			Deadline:      now.Add(deadline),
		}
	}
	refused := request(wanted, wait)
	refused.Refusals = refused.Refusals.With(cyclam.ReasonOverloaded)
	down := request(wanted, wait)
	down.Refusals = down.Refusals.With(cyclam.ReasonUpstreamDown)
	nested := request(wanted, wait)
	nested.Refusals.Nested = true
	short := request(20*time.Millisecond, 50*time.Millisecond)
	shortRoute := short
	shortRoute.TargetLatency = 20 * time.Millisecond
	for _, c := range []struct {
		name       string
		request    Request
		candidates []Candidate
		want       string
	}{
		{
			name:       "the only one that answers in time",
			request:    request(wanted, wait),
			candidates: []Candidate{crowded, full},
			want:       "full",
		},
		{
			name:       "none answers in time",
			request:    request(wanted, wait),
			candidates: []Candidate{crowded},
		},
		{
			name:       "nested work is offered all the same",
			request:    nested,
			candidates: []Candidate{crowded},
			want:       "crowded",
		},
		{
			name: "without a deadline",
			request: Request{
				From: here,
			},
			candidates: []Candidate{crowded},
			want:       "crowded",
		},
		{
			name:       "too little time for a run",
			request:    short,
			candidates: []Candidate{idle},
		},
		{
			name:       "a short route at an upstream whose mean run is long",
			request:    shortRoute,
			candidates: []Candidate{idle},
			want:       "idle",
		},
		{
			name:       "no service time is known",
			request:    short,
			candidates: []Candidate{unknown},
			want:       "unknown",
		},
		{
			name:       "an expired load refuses nothing",
			request:    request(wanted, wait),
			candidates: []Candidate{stale},
			want:       "stale",
		},
		{
			name:       "an unreachable upstream is tried if it is the only one",
			request:    request(wanted, wait),
			candidates: []Candidate{avoided},
			want:       "avoided",
		},
		{
			name:       "a leaving upstream does not take what the others can't",
			request:    request(wanted, wait),
			candidates: []Candidate{crowded, leaving},
		},
		{
			name:       "a rate limit may have ended",
			request:    request(wanted, wait),
			candidates: []Candidate{limited},
			want:       "limited",
		},
		{
			name:       "after a refusal for overload only a free slot counts",
			request:    refused,
			candidates: []Candidate{full, candidate("free", far, 9, 0)},
			want:       "free",
		},
		{
			name:       "after a refusal for overload nothing is free",
			request:    refused,
			candidates: []Candidate{full},
		},
		{
			name:       "after a refusal for another reason",
			request:    down,
			candidates: []Candidate{full},
			want:       "full",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if at, ok := tuning.Pick(now, c.request, c.candidates, func(int) int { return 0 }); ok {
				got = string(c.candidates[at].Endpoint.Instance)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestShortestWait(t *testing.T) {
	candidates := []Candidate{candidate("a", here, 10, 40), candidate("b", here, 10, 9)}
	if got, want := tuning.ShortestWait(now, Request{}, candidates), 200*time.Millisecond; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRefusalsExhausted(t *testing.T) {
	for _, c := range []struct {
		name   string
		nested bool
		reason cyclam.Reason
		want   int
	}{
		{
			name:   "overload",
			reason: cyclam.ReasonOverloaded,
			want:   maxOverloads,
		},
		{
			name:   "overload, nested work",
			nested: true,
			reason: cyclam.ReasonOverloaded,
			want:   maxRefusals,
		},
		{
			name:   "another reason",
			reason: cyclam.ReasonUpstreamDown,
			want:   maxRefusals,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Refusals{
				Nested: c.nested,
			}
			got := 0
			for !r.Exhausted() {
				r = r.With(c.reason)
				got++
			}
			if got != c.want {
				t.Errorf("refusals until exhausted: got %d, want %d", got, c.want)
			}
		})
	}
}
