package roster

import (
	"fmt"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(name, parent string, sequence uint64, state cyclam.EndpointState) cyclam.Endpoint {
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(name),
			Incarnation: 1,
		},
		Sequence: sequence,
		State:    state,
		Service:  "stockview",
		Parent:   cyclam.InstanceName(parent),
	}
}

// TestMergeIsOrderIndependent guards against rosters that diverge: announcements that
// arrive in another order, some of them twice, must give the same roster.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) cyclam.Endpoint {
			return endpoint(
				fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "name")), "",
				rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				cyclam.EndpointState(rapid.IntRange(1, 4).Draw(t, "state")),
			)
		})
		news := rapid.SliceOf(draw).Draw(t, "news")
		a, b := New(), New()
		for _, e := range news {
			a, _ = a.With(start, e)
		}
		for _, e := range append(rapid.Permutation(news).Draw(t, "order"), news...) {
			b, _ = b.With(start, e)
		}
		if a.Total() != b.Total() || *a.Sums() != *b.Sums() || fmt.Sprint(a.All()) != fmt.Sprint(b.All()) {
			t.Fatalf("got %v, want %v", b.All(), a.All())
		}
		if got, want := len(a.Service("stockview")), a.Live(); got != want {
			t.Fatalf("got %d endpoints listed, want %d", got, want)
		}
	})
}

// TestDescendants checks the subtree below an instance, from which one endpoint has
// moved to another parent.
func TestDescendants(t *testing.T) {
	r := New()
	for _, e := range [][2]string{{"hub", ""}, {"a", "hub"}, {"b", "a"}, {"c", "b"}, {"d", "hub"}} {
		r, _ = r.With(start, endpoint(e[0], e[1], 1, cyclam.EndpointReady))
	}
	r, _ = r.With(start, endpoint("c", "d", 2, cyclam.EndpointReady))
	var got []cyclam.InstanceName
	for _, e := range r.Descendants("a") {
		got = append(got, e.Instance)
	}
	if want := "[a b]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// TestTombstoneBlocksOlderNews guards against an endpoint that is gone being brought
// back by an older announcement, and checks that the tombstone expires.
func TestTombstoneBlocksOlderNews(t *testing.T) {
	r, _ := New().With(start, endpoint("a", "", 1, cyclam.EndpointGone))
	if _, news := r.WithoutExpired(start.Add(time.Hour)).With(start, endpoint("a", "", 1, cyclam.EndpointReady)); news {
		t.Error("got the endpoint back after an hour, want it gone")
	}
	if got, want := r.WithoutExpired(start.Add(TombstoneAge+time.Hour)).Len(), 0; got != want {
		t.Errorf("got %d entries after the tombstone age, want %d", got, want)
	}
}
