package picker

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

var (
	now    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tuning = Tuning{
		FailureCost:        600 * time.Millisecond,
		CentreCost:         4 * time.Millisecond,
		RegionCost:         15 * time.Millisecond,
		InitialServiceTime: 200 * time.Millisecond,
	}
	here = cyclam.Locality{
		Region:     "north",
		DataCentre: "north-a",
	}
	near = cyclam.Locality{
		Region:     "north",
		DataCentre: "north-b",
	}
	far = cyclam.Locality{
		Region:     "south",
		DataCentre: "south-a",
	}
)

func view(name string, at cyclam.Locality, running, waiting int) Candidate {
	return Candidate{
		Endpoint: cyclam.Endpoint{
			Identity: cyclam.Identity{
				Instance: cyclam.InstanceName(name),
			},
			State:    cyclam.EndpointReady,
			Locality: at,
			Slots:    10,
		},
		Load: cyclam.Load{
			Running:     running,
			Waiting:     waiting,
			Limit:       10,
			ServiceTime: 200 * time.Millisecond,
		},
		LoadAt: now,
		RTT:    InitialRTT(here, at),
	}
}

func TestChoose(t *testing.T) {
	slow := view("slow", here, 0, 0)
	slow.Load.ServiceTime = 900 * time.Millisecond
	failing := view("failing", here, 0, 0)
	failing.Load.Failing = 0.5
	leaving := view("leaving", here, 0, 0)
	leaving.Load.Leaving = true
	avoided := view("avoided", here, 0, 0)
	avoided.AvoidUntil = now.Add(time.Second)
	stale := view("stale", here, 10, 30)
	stale.LoadAt = now.Add(-time.Minute)
	sent := view("sent", here, 0, 0)
	sent.InFlight = 30
	small := Request{
		From:  here,
		Bytes: 2000,
	}
	large := Request{
		From:  here,
		Bytes: 90_000,
	}
	for _, c := range []struct {
		name    string
		request Request
		views   []Candidate
		want    string
	}{
		{"the nearest of equals", small, []Candidate{view("far", far, 0, 0), view("here", here, 0, 0)}, "here"},
		{"another data centre once the queue costs more than the way", small, []Candidate{view("here", here, 10, 8), view("near", near, 2, 0)}, "near"},
		{"another region when all of this one is crowded", small, []Candidate{view("here", here, 10, 20), view("near", near, 10, 20), view("far", far, 0, 0)}, "far"},
		{"a large answer stays in the region for longer", large, []Candidate{view("here", here, 10, 20), view("far", far, 0, 0)}, "here"},
		{"a slow upstream is passed", small, []Candidate{slow, view("near", near, 0, 0)}, "near"},
		{"a failing upstream is passed", small, []Candidate{failing, view("near", near, 0, 0)}, "near"},
		{"one that leaves is passed", small, []Candidate{leaving, view("far", far, 10, 20)}, "far"},
		{"one that leaves is taken where nothing else is", small, []Candidate{leaving}, "leaving"},
		{"one that can't be reached comes last", small, []Candidate{avoided, leaving}, "leaving"},
		{"a queue told long ago has run empty", small, []Candidate{stale, view("near", near, 0, 0)}, "stale"},
		{"what was sent since the last word counts", small, []Candidate{sent, view("near", near, 0, 0)}, "near"},
	} {
		t.Run(c.name, func(t *testing.T) {
			at, ok := tuning.Pick(now, c.request, c.views, func(int) int { return 0 })
			if !ok {
				t.Fatal("got none")
			}
			if got := string(c.views[at].Endpoint.Instance); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
	if _, ok := tuning.Pick(now, small, nil, nil); ok {
		t.Error("no views: got a choice, want none")
	}
}

// Ten nodes with the same stale view choose among equals by chance.
func TestChooseSpreadsEquals(t *testing.T) {
	views := []Candidate{view("a", here, 1, 0), view("b", here, 1, 0), view("c", here, 1, 0)}
	seen := map[int]bool{}
	for i := range 3 {
		at, _ := tuning.Pick(now, Request{From: here}, views, func(n int) int { return i % n })
		seen[at] = true
	}
	if got, want := len(seen), 3; got != want {
		t.Errorf("choices: got %d, want %d", got, want)
	}
}

// A path that was slow while it had a queue is tried again later: nothing else
// would show that the queue is gone.
func TestSlowPathIsForgotten(t *testing.T) {
	slow, other := view("slow", here, 0, 0), view("other", far, 0, 0)
	slow.BaseRTT, other.BaseRTT = InitialRTT(here, here), InitialRTT(here, far)
	slow.RTT, slow.RTTAt = 400*time.Millisecond, now
	for _, test := range []struct {
		after time.Duration
		want  int
	}{
		{after: 0, want: 1},
		{after: rttMemory, want: 0},
	} {
		got, ok := tuning.Pick(now.Add(test.after), Request{
			From: here,
		}, []Candidate{slow, other}, func(int) int { return 0 })
		if !ok || got != test.want {
			t.Errorf("after %v: got %d, %t, want %d", test.after, got, ok, test.want)
		}
	}
}
