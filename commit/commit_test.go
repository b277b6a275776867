package commit

import (
	"encoding/json"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) cyclam.Stamp {
	return cyclam.Stamp{
		Now: start.Add(d),
	}
}

var self = cyclam.Identity{
	Instance:    "stockview-1",
	Incarnation: 7,
}

// fixture applies events one by one to a state and the configuration held.
type fixture struct {
	state State
	held  conf.State
}

func (f *fixture) reduce(event cyclam.Event) []cyclam.Effect {
	result := Reduce(f.state, f.held, event)
	f.state, f.held = result.State, result.Conf
	return result.Effects
}

// newWritingRoot returns a root that found no head and listed one service, together
// with the pending write of the first version.
func newWritingRoot(t *testing.T) (*fixture, cyclam.WriteVersion) {
	t.Helper()
	f := &fixture{
		state: New(self),
		held:  conf.NewState(),
	}
	f.state, _ = f.state.WithRole(true, f.held)
	f.reduce(cyclam.HeadRead{
		Stamp: at(0),
		Err:   cyclam.ErrNotFound,
	})
	service := cyclam.Object{
		Kind:     cyclam.KindService,
		Name:     "stockview",
		Position: cyclam.AtRevision(1),
		Spec:     json.RawMessage(`{}`),
	}
	effects := f.reduce(cyclam.ObjectsListed{
		Stamp: at(0),
		List: cyclam.ObjectList{
			Objects:  []cyclam.Object{service},
			Position: cyclam.AtRevision(1),
		},
	})
	write, ok := find[cyclam.WriteVersion](effects)
	if !ok {
		t.Fatalf("got effects %v, want a WriteVersion", effects)
	}
	return f, write
}

func find[E cyclam.Effect](effects []cyclam.Effect) (E, bool) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

// TestWatchRestartsDuringUnconfirmedWrite guards against a watch that stays stopped
// after it fails while the result of a write is unknown.
func TestWatchRestartsDuringUnconfirmedWrite(t *testing.T) {
	f, write := newWritingRoot(t)
	f.reduce(cyclam.VersionWritten{
		Stamp: at(0),
		Token: write.Token,
		Err:   cyclam.ErrUnavailable,
	})
	f.reduce(cyclam.ObjectsChanged{
		Stamp: at(0),
		From:  1,
		Err:   cyclam.ErrUnavailable,
	})
	watched := false
	for i := range 20 {
		effects := f.reduce(cyclam.Tick{
			Stamp: at(time.Duration(i) * 100 * time.Millisecond),
		})
		_, restarted := find[cyclam.WatchObjects](effects)
		watched = watched || restarted
		if _, asked := find[cyclam.ReadHead](effects); asked {
			f.reduce(cyclam.HeadRead{
				Stamp:    at(0),
				Head:     conf.NewHead(write.Snapshot, self, nil),
				Revision: 2,
			})
		}
	}
	if !watched {
		t.Error("got no WatchObjects after the watch failed, want one")
	}
}

// TestAnswerOfAnEarlierTerm guards against accepting a version that was never written:
// the response to a write arrives after the root role was lost and won again.
func TestAnswerOfAnEarlierTerm(t *testing.T) {
	f, first := newWritingRoot(t)
	f.state, _ = f.state.WithRole(false, f.held)
	f.state, _ = f.state.WithRole(true, f.held)
	f.reduce(cyclam.HeadRead{
		Stamp: at(0),
		Err:   cyclam.ErrNotFound,
	})
	other := cyclam.Object{
		Kind:     cyclam.KindService,
		Name:     "cutorder",
		Position: cyclam.AtRevision(2),
		Spec:     json.RawMessage(`{}`),
	}
	effects := f.reduce(cyclam.ObjectsListed{
		Stamp: at(0),
		List: cyclam.ObjectList{
			Objects:  []cyclam.Object{other},
			Position: cyclam.AtRevision(2),
		},
	})
	second, _ := find[cyclam.WriteVersion](effects)
	f.reduce(cyclam.VersionWritten{
		Stamp:    at(0),
		Token:    first.Token,
		Revision: 3,
	})
	if f.held.Version != 0 {
		t.Errorf("got version %d in force after the response to an earlier write, want 0", f.held.Version)
	}
	f.reduce(cyclam.VersionWritten{
		Stamp: at(0),
		Token: second.Token,
		Err:   cyclam.ErrConflict,
	})
	f.reduce(cyclam.HeadRead{
		Stamp:    at(0),
		Head:     conf.NewHead(first.Snapshot, self, nil),
		Revision: 3,
		Snapshot: first.Snapshot,
	})
	if got, want := f.held.Set.Digest(), first.Snapshot.Result; got != want {
		t.Errorf("got set %v, want the one that the head names", f.held.Set.Resources())
	}
}

// TestLostWriteResponse checks that a write that took effect is accepted from the head
// if its response was lost.
func TestLostWriteResponse(t *testing.T) {
	f, write := newWritingRoot(t)
	f.reduce(cyclam.VersionWritten{
		Stamp: at(0),
		Token: write.Token,
		Err:   cyclam.ErrUnavailable,
	})
	f.reduce(cyclam.HeadRead{
		Stamp:    at(0),
		Head:     conf.NewHead(write.Snapshot, self, nil),
		Revision: 2,
	})
	if got, want := f.held.Version, cyclam.Version(1); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// TestStatusIsWrittenOnce guards against writing the same status again on each change
// while an object stays rejected.
func TestStatusIsWrittenOnce(t *testing.T) {
	f, write := newWritingRoot(t)
	f.reduce(cyclam.VersionWritten{
		Stamp:    at(0),
		Token:    write.Token,
		Revision: 2,
	})
	bad := cyclam.Object{
		Kind:     cyclam.KindRoute,
		Name:     "bad",
		Position: cyclam.AtRevision(3),
		Spec:     json.RawMessage(`{"path-prefix":"/x","service":"none"}`),
	}
	change := cyclam.ObjectChanges{
		Events: []cyclam.ObjectEvent{{
			Object: bad,
		}},
		Position: cyclam.AtRevision(3),
	}
	count := 0
	for _, from := range []uint64{1, 3, 3} {
		for _, effect := range f.reduce(cyclam.ObjectsChanged{
			Stamp:   at(0),
			From:    from,
			Changes: change,
		}) {
			if status, ok := effect.(cyclam.WriteStatus); ok && status.Name == "route.bad" {
				count++
			}
		}
	}
	if count != 1 {
		t.Errorf("got %d writes of the status, want 1", count)
	}
	if got, want := f.held.Version, cyclam.Version(1); got != want {
		t.Errorf("got version %d after a bad route, want %d", got, want)
	}
}
