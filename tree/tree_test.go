package tree

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) cyclam.Stamp {
	return cyclam.Stamp{
		Now: start.Add(d),
	}
}

func endpoint(name string, place cyclam.Locality) cyclam.Endpoint {
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(name),
			Incarnation: 1,
		},
		Sequence: 1,
		State:    cyclam.EndpointReady,
		Service:  "stockview",
		Locality: place,
		Control:  "address-of-" + name,
	}
}

var (
	north = cyclam.Locality{
		Region:     "north",
		DataCentre: "north-a",
	}
	south = cyclam.Locality{
		Region:     "south",
		DataCentre: "south-a",
	}
)

func tuning() Tuning {
	return Tuning{
		FanOut:            2,
		Flush:             100 * time.Millisecond,
		HeartbeatInterval: 500 * time.Millisecond,
		LinkTimeout:       2 * time.Second,
		Grace:             3 * time.Second,
		Term:              3 * time.Second,
		PlatformRegion:    "north",
	}
}

// newOrphan returns a node of region south that has lost its parent, a hub in the
// same data centre. The hub's parent is a root at the given locality.
func newOrphan(t *testing.T, root cyclam.Locality) State {
	t.Helper()
	s := New(endpoint("me", south), tuning(), start)
	s, _ = s.learnEndpoints(start, 0, []cyclam.Endpoint{endpoint("root", root), endpoint("hub", south)})
	s, _ = s.dial(start, candidate{
		address: "address-of-hub",
	})
	id := s.search.dialing
	s, _ = Reduce(s, cyclam.LinkOpened{
		Stamp: at(0),
		Link:  id,
	})
	welcome := cyclam.Welcome{
		Self: endpoint("hub", south),
		Path: []cyclam.InstanceName{"root", "hub"},
	}
	s, _ = Reduce(s, cyclam.LinkReceived{
		Stamp:    at(0),
		Link:     id,
		Messages: []cyclam.Message{welcome},
	})
	if !s.Attached() {
		t.Fatal("got no parent, want the hub")
	}
	s, _ = Reduce(s, cyclam.LinkClosed{
		Stamp: at(0),
		Link:  id,
	})
	return s
}

// firstDialled returns the address of the first link that a node opens, if any.
func firstDialled(s State) string {
	_, effects := s.searchParent(start.Add(time.Second))
	for _, effect := range effects {
		if e, ok := effect.(cyclam.OpenLink); ok {
			return e.Address
		}
	}
	return ""
}

// TestOrphanRedialsOnlyWithinDataCentre guards against a surge of links between
// regions: when a hub is lost whose parent is in another region, its children must
// not all dial that parent.
func TestOrphanRedialsOnlyWithinDataCentre(t *testing.T) {
	for name, test := range map[string]struct {
		root cyclam.Locality
		want string
	}{
		"grandparent here":      {south, "address-of-root"},
		"grandparent elsewhere": {north, ""},
	} {
		if got := firstDialled(newOrphan(t, test.root)); got != test.want {
			t.Errorf("%s: got %q dialled, want %q", name, got, test.want)
		}
	}
}

// newActingTop returns an acting top with the named children, on links 1, 2 and so
// on.
func newActingTop(t *testing.T, names ...string) State {
	t.Helper()
	s := New(endpoint("me", north), tuning(), start)
	s.actingTop = true
	for i, name := range names {
		link := cyclam.LinkID(i + 1)
		s, _ = Reduce(s, cyclam.LinkAccepted{
			Stamp: at(0),
			Link:  link,
		})
		child := endpoint(name, north)
		child.Parent = "me"
		s, _ = Reduce(s, cyclam.LinkReceived{
			Stamp: at(0),
			Link:  link,
			Messages: []cyclam.Message{cyclam.Hello{
				Self: child,
			}},
		})
	}
	return s
}

// TestFullNodeRedirects checks that a node at its fan-out redirects a new child.
func TestFullNodeRedirects(t *testing.T) {
	s := newActingTop(t, "a", "b")
	s, _ = Reduce(s, cyclam.LinkAccepted{
		Stamp: at(0),
		Link:  9,
	})
	s, effects := Reduce(s, cyclam.LinkReceived{
		Stamp: at(0),
		Link:  9,
		Messages: []cyclam.Message{cyclam.Hello{
			Self: endpoint("c", north),
		}},
	})
	sent, ok := effects[0].(cyclam.SendLink)
	if !ok {
		t.Fatalf("got %v, want a message", effects)
	}
	redirect, ok := sent.Messages[0].(cyclam.Redirect)
	if !ok || len(redirect.Try) != 2 || s.Children() != 2 {
		t.Errorf("got %v with %d children, want a redirect to both children", sent.Messages, s.Children())
	}
}

// TestLostChildRemovesDescendants checks that the endpoints below a lost child are
// declared gone along with it, and that other children are not.
func TestLostChildRemovesDescendants(t *testing.T) {
	s := newActingTop(t, "a", "b")
	below := endpoint("under-a", north)
	below.Parent = "a"
	s, _ = s.learnEndpoints(start, 1, []cyclam.Endpoint{below})
	s, _ = Reduce(s, cyclam.LinkClosed{
		Stamp: at(0),
		Link:  1,
	})
	for d := time.Duration(0); d < 4*time.Second; d += 500 * time.Millisecond {
		s, _ = Reduce(s, cyclam.LinkReceived{
			Stamp:    at(d),
			Link:     2,
			Messages: []cyclam.Message{cyclam.Beat{}},
		})
		s, _ = Reduce(s, cyclam.Tick{
			Stamp: at(d),
		})
	}
	for name, want := range map[cyclam.InstanceName]cyclam.EndpointState{
		"a": cyclam.EndpointGone, "under-a": cyclam.EndpointGone, "b": cyclam.EndpointReady,
	} {
		if got, _ := s.Roster.Get(name); got.State != want {
			t.Errorf("%s: got %v, want %v", name, got.State, want)
		}
	}
}

// TestPausedNodeKeepsChildren guards against a node that closes its links after its
// own process was paused: no message was read meanwhile, so all peers appear silent.
func TestPausedNodeKeepsChildren(t *testing.T) {
	s := newActingTop(t, "a", "b")
	s, _ = Reduce(s, cyclam.Tick{
		Stamp: at(0),
	})
	s, _ = Reduce(s, cyclam.Tick{
		Stamp: at(time.Minute),
	})
	if got, want := s.Children(), 2; got != want {
		t.Errorf("got %d children after a pause, want %d", got, want)
	}
}

// TestRefutesOwnRemoval checks that a live node that is announced as gone announces
// itself as ready with a higher sequence.
func TestRefutesOwnRemoval(t *testing.T) {
	s := New(endpoint("me", north), tuning(), start)
	s, _ = s.learnEndpoints(start, 0, []cyclam.Endpoint{s.Self.WithState(cyclam.EndpointGone)})
	if got, _ := s.Roster.Get("me"); got.State != cyclam.EndpointReady || got.Sequence < 2 {
		t.Errorf("got %v at sequence %d, want ready at sequence 2 or higher", got.State, got.Sequence)
	}
}
