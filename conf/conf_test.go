package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func object(kind cyclam.Kind, name, spec string) cyclam.Object {
	return cyclam.Object{
		Kind: kind,
		Name: name,
		Spec: json.RawMessage(spec),
	}
}

func parseSet(t *testing.T, objects ...cyclam.Object) Set {
	t.Helper()
	set := NewSet()
	for _, o := range objects {
		resource, problems := Parse(o)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		set = set.With(resource)
	}
	return set
}

var (
	stockview = object(cyclam.KindService, "stockview", `{"timeout":"1s"}`)
	stock     = object(cyclam.KindRoute, "stock", `{"path-prefix":"/stock","service":"stockview"}`)
	home      = object(cyclam.KindPlacementRule, "home", `{"service":"stockview","regions":["north"]}`)
)

func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		objects []cyclam.Object
		want    string
	}{
		"good":                  {[]cyclam.Object{stockview, stock, home}, ""},
		"route without service": {[]cyclam.Object{stock}, `route/stock: spec.service: got "stockview", want a service that exists`},
		"duplicate prefix":      {[]cyclam.Object{stockview, stock, object(cyclam.KindRoute, "also", `{"path-prefix":"/stock/","service":"stockview"}`)}, `route/stock: spec.path-prefix: "/stock" is taken by route/also`},
		"no locality left":      {[]cyclam.Object{stockview, home, object(cyclam.KindPlacementRule, "away", `{"service":"stockview","regions":["south"]}`)}, `placement-rule/away: spec: with the other rules of stockview no place is left, want at least one region and data centre in common`},
		"rule without service":  {[]cyclam.Object{home}, `placement-rule/home: spec.service: got "stockview", want a service that exists`},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if problems := parseSet(t, test.objects...).Check(); len(problems) > 0 {
				got = problems[0].String()
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestMatch(t *testing.T) {
	set := parseSet(t, stockview, stock, object(cyclam.KindRoute, "all", `{"path-prefix":"/","service":"stockview"}`))
	for path, want := range map[string]string{"/stock": "stock", "/stock/1/2": "stock", "/stocks": "all", "/": "all", "/x/y": "all"} {
		if got, _ := set.Match(path); got.Name != want {
			t.Errorf("%s: got route %q, want %q", path, got.Name, want)
		}
	}
}

// TestBadDeltas checks that invalid deltas are refused and leave the state unchanged.
func TestBadDeltas(t *testing.T) {
	set := parseSet(t, stockview, stock)
	held, err := NewState().WithSnapshot(cyclam.Snapshot{
		Version:   4,
		Resources: set.Resources(),
		Result:    set.Digest(),
	})
	if err != nil {
		t.Fatal(err)
	}
	key := cyclam.Key{
		Kind: cyclam.KindService,
		Name: "stockview",
	}
	for name, test := range map[string]struct {
		delta cyclam.Delta
		want  error
	}{
		"older": {cyclam.Delta{
			From: 3,
			To:   4,
		}, ErrOlder},
		"gap": {cyclam.Delta{
			From: 5,
			To:   6,
		}, ErrGap},
		"mismatch": {cyclam.Delta{
			From:   4,
			To:     5,
			Result: cyclam.Digest{1},
		}, ErrMismatch},
		"deleted service in use": {cyclam.Delta{
			From:    4,
			To:      5,
			Deletes: []cyclam.Key{key},
			Result:  set.Without(key).Digest(),
		}, ErrInvalid},
	} {
		next, err := held.WithDelta(test.delta)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want %v", name, err, test.want)
		}
		if next.Version != 4 || next.Set.Digest() != set.Digest() {
			t.Errorf("%s: got version %d, want 4 unchanged", name, next.Version)
		}
	}
}

// TestChangesAreAcceptedWhole guards against accepting a part of a change: one of its
// two objects is invalid. A valid change beside it is accepted.
func TestChangesAreAcceptedWhole(t *testing.T) {
	change := &cyclam.Change{
		ID:    "c",
		Count: 2,
	}
	bad := object(cyclam.KindRoute, "bad", `{"path-prefix":"/bad","service":"missing"}`)
	bad.Change, bad.Revision = change, 1
	other := object(cyclam.KindService, "cutorder", `{}`)
	other.Change, other.Revision = change, 2
	good := stockview
	good.Revision = 3
	_, set, decisions := NewStaging().WithList([]cyclam.Object{bad, other, good}, NewSet()).Decide(NewSet())
	want := []cyclam.Resource{
		cyclam.Service{
			Name:    "stockview",
			Timeout: time.Second,
		},
	}
	if got := set.Resources(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, d := range decisions {
		want := Rejected
		if d.Object.Name == "stockview" {
			want = Accepted
		}
		if d.Decision != want {
			t.Errorf("%s: got %s, want %s", d.Object, d.Decision, want)
		}
	}
}

func TestChunksRoundTrip(t *testing.T) {
	set := NewSet()
	for i := range 300 {
		resource, _ := Parse(object(cyclam.KindService, fmt.Sprint("s", i), `{}`))
		set = set.With(resource)
	}
	snap := cyclam.Snapshot{
		Version:   9,
		Resources: set.Resources(),
		Result:    set.Digest(),
	}
	chunks := Chunks(snap.Resources)
	joined, err := Join(NewHead(snap, cyclam.Identity{}, chunks), chunks)
	if err != nil {
		t.Fatal(err)
	}
	held, err := NewState().WithSnapshot(joined)
	if err != nil || held.Set.Digest() != set.Digest() {
		t.Errorf("got %v, want the same set", err)
	}
}

// TestLayoutFollowsDeltas applies deltas to a layout and compares its chunks after each
// with those of a new layout of the whole set.
func TestLayoutFollowsDeltas(t *testing.T) {
	set := NewSet()
	for i := range 300 {
		resource, _ := Parse(object(cyclam.KindService, fmt.Sprint("s", i), `{}`))
		set = set.With(resource)
	}
	layout := NewLayout(set.Resources())
	for i := range 20 {
		changed, _ := Parse(object(cyclam.KindService, fmt.Sprint("s", 7*i), `{"timeout":"3s"}`))
		gone := cyclam.Key{
			Kind: cyclam.KindService,
			Name: fmt.Sprint("s", 299-i),
		}
		set = set.With(changed).Without(gone)
		if !layout.Apply(cyclam.Delta{
			Upserts: []cyclam.Resource{changed},
			Deletes: []cyclam.Key{gone},
		}) {
			t.Fatal("got false from Apply, want the layout to fit the set")
		}
		if got, want := fmt.Sprint(names(layout.Chunks())), fmt.Sprint(names(Chunks(set.Resources()))); got != want {
			t.Fatalf("step %d: got chunks %s, want %s", i, got, want)
		}
	}
}

func names(chunks []cyclam.Object) []string {
	var out []string
	for _, c := range chunks {
		out = append(out, c.Name)
	}
	return out
}

func FuzzObject(f *testing.F) {
	f.Add("route", "stock", []byte(stock.Spec))
	f.Add("placement-rule", "home", []byte(home.Spec))
	f.Fuzz(func(t *testing.T, kind, name string, spec []byte) {
		resource, problems := Parse(cyclam.Object{
			Kind: cyclam.Kind(kind),
			Name: name,
			Spec: spec,
		})
		if len(problems) > 0 {
			return
		}
		again, problems := Parse(Encode(resource))
		if len(problems) > 0 || again.Key() != resource.Key() {
			t.Errorf("got %v, want %v to be decoded again", problems, resource)
		}
	})
}

func ExampleParse() {
	_, problems := Parse(object(cyclam.KindRoute, "stock", `{"path-prefix":"stock","servcie":"stockview"}`))
	for _, p := range problems {
		fmt.Println(p)
	}
	// Output:
	// route/stock: spec.service: missing, want a string
	// route/stock: spec.servcie: unknown field, want one of idempotent-methods, path-prefix, service, timeout
	// route/stock: spec.path-prefix: got "stock", want a path that starts with /
}

// BenchmarkSnapshot splits 2,800 services, each with a route and a placement rule, into
// chunks and applies the snapshot.
func BenchmarkSnapshot(b *testing.B) {
	set := NewSet()
	for i := range 2800 {
		name := fmt.Sprintf("service-%04d", i)
		for _, o := range []cyclam.Object{
			object(cyclam.KindService, name, `{"timeout":"2s"}`),
			object(cyclam.KindRoute, name, fmt.Sprintf(`{"path-prefix":"/%s","service":%q}`, name, name)),
			object(cyclam.KindPlacementRule, name, fmt.Sprintf(`{"service":%q,"regions":["north","south"]}`, name)),
		} {
			resource, _ := Parse(o)
			set = set.With(resource)
		}
	}
	snap := cyclam.Snapshot{
		Version:   1,
		Resources: set.Resources(),
		Result:    set.Digest(),
	}
	var chunks []cyclam.Object
	b.Run("cut", func(b *testing.B) {
		for b.Loop() {
			chunks = Chunks(snap.Resources)
		}
		size := 0
		for _, chunk := range chunks {
			size += len(chunk.Spec)
		}
		b.ReportMetric(float64(size), "bytes")
		b.ReportMetric(float64(len(chunks)), "chunks")
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if _, err := NewState().WithSnapshot(snap); err != nil {
				b.Fatal(err)
			}
		}
	})
}
