package simnet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"pgregory.net/rapid"
)

// step is one thing that happens in a history, after a pause.
type step struct {
	Pause time.Duration
	Kind  string
	Node  int
	Pick  int
	Flag  bool
}

// The kinds of steps, by what a family of histories is about.
var (
	trouble = []string{"kill", "restart", "replace", "pause", "resume", "cut", "heal", "down", "up", "slow", "stop"}
	changes = []string{"apply", "apply-group", "apply-bad", "remove", "half-group", "race"}
	traffic = []string{"call", "call", "call", "call", "keyed", "burst"}
)

// script is a whole history.
type script struct {
	Seed  int64
	Nodes int
	Chaos float64
	Steps []step
}

func drawScript(t *rapid.T, kinds []string, span time.Duration) script {
	s := script{
		Seed:  rapid.Int64().Draw(t, "seed"),
		Nodes: rapid.IntRange(3, 8).Draw(t, "nodes"),
		Chaos: rapid.SampledFrom([]float64{0, 1, 1, 3}).Draw(t, "chaos"),
	}
	var total time.Duration
	for total < span {
		one := step{
			Pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, s.Nodes-1).Draw(t, "node"),
			Pick:  rapid.IntRange(0, 5).Draw(t, "pick"),
			Flag:  rapid.Bool().Draw(t, "flag"),
		}
		total += one.Pause + 50*time.Millisecond
		s.Steps = append(s.Steps, one)
	}
	return s
}

// play runs a history and returns what it broke.
func (s script) play() []string {
	began = time.Now()
	tracef("history of %d nodes, chaos %v", s.Nodes, s.Chaos)
	w := newWorld(s.Seed, s.Nodes, s.Chaos)
	w.applyBase()
	w.run(6 * time.Second)
	for _, one := range s.Steps {
		w.run(one.Pause)
		w.step(one)
	}
	w.settle()
	return w.oracle.broken
}

func (w *world) step(s step) {
	p := w.procs[s.Node]
	tracef("step %s %v %v", s.Kind, p.id(), s.Flag)
	switch s.Kind {
	case "kill":
		w.kill(p)
	case "restart":
		w.kill(p)
		w.boot(s.Node, "")
	case "replace":
		w.kill(p)
		w.boot(s.Node, fmt.Sprintf("-%d", s.Pick))
	case "pause":
		p.paused = true
	case "resume":
		w.resume(p)
	case "cut":
		w.cut = true
	case "heal":
		w.heal()
	case "down":
		w.down = true
	case "up":
		w.down, w.slow = false, false
	case "slow":
		w.slow = true
	case "stop":
		w.stop(p)
	case "call":
		w.calls.arrive(w, p, s.Flag, "", time.Duration(100+300*s.Pick)*time.Millisecond)
	case "keyed":
		w.calls.arrive(w, p, false, fmt.Sprint("key-", w.order), time.Second)
	case "burst":
		for range 8 {
			w.calls.arrive(w, w.procs[w.rng.Intn(len(w.procs))], s.Flag, "", time.Second)
		}
	default:
		w.change(s)
	}
}

func object(kind cyclam.Kind, name, spec string) cyclam.Object {
	return cyclam.Object{
		Kind: kind,
		Name: name,
		Spec: json.RawMessage(spec),
	}
}

// put writes an object over whatever is stored.
func (w *world) put(o cyclam.Object) {
	stored, _ := w.store.Get(context.Background(), o.Key())
	o.Revision = stored.Revision
	_, _ = w.store.Put(context.Background(), o)
}

func (w *world) applyBase() {
	for _, name := range services {
		w.put(object(cyclam.KindService, string(name), `{}`))
	}
	w.put(object(cyclam.KindRoute, "stock", `{"path-prefix":"/stock","service":"stockview"}`))
	w.put(object(cyclam.KindRoute, "cuts", `{"path-prefix":"/cuts","service":"cutorder"}`))
}

// change is an operator at work.
func (w *world) change(s step) {
	name := fmt.Sprintf("extra-%d", s.Pick%3)
	prefix := fmt.Sprintf(`{"path-prefix":"/extra-%d","service":"%s"}`, s.Pick%3, name)
	group := &cyclam.Change{
		ID:    fmt.Sprint("change-", w.order),
		Count: 2,
	}
	switch s.Kind {
	case "apply":
		region := []string{"north", "south"}[s.Pick%2]
		w.put(object(cyclam.KindPlacementRule, "home", `{"service":"cutorder","regions":["`+region+`"]}`))
	case "apply-group", "half-group":
		first := object(cyclam.KindRoute, name, prefix)
		first.Change = group
		w.put(first)
		if s.Kind == "half-group" {
			return
		}
		w.after(w.delay(50*time.Millisecond), func() {
			second := object(cyclam.KindService, name, fmt.Sprintf(`{"timeout":"%dms"}`, 100+s.Pick))
			second.Change = group
			w.put(second)
		})
	case "apply-bad":
		w.put(object(cyclam.KindRoute, name, `{"path-prefix":"/bad","service":"nowhere"}`))
	case "remove":
		key := cyclam.Key{
			Kind: cyclam.KindService,
			Name: name,
		}
		if stored, err := w.store.Get(context.Background(), key); err == nil {
			_ = w.store.Delete(context.Background(), key, stored.Revision)
		}
	case "race":
		stale, _ := w.store.Get(context.Background(), cyclam.Key{
			Kind: cyclam.KindRoute,
			Name: "stock",
		})
		w.put(object(cyclam.KindRoute, "stock", fmt.Sprintf(`{"path-prefix":"/stock","service":"stockview","timeout":"%dms"}`, 500+s.Pick)))
		stale.Spec = json.RawMessage(`{"path-prefix":"/stale","service":"stockview"}`)
		if _, err := w.store.Put(context.Background(), stale); err == nil && stale.Revision != 0 {
			w.oracle.fail(9, "a stale write was taken")
		}
	}
}

// settleBound is the time in which an accepted version must be in force
// everywhere.
const settleBound = 10 * time.Second

// settle ends all trouble, repairs the operators' objects, and checks that
// everything accepted is in force on every node in time.
func (w *world) settle() {
	w.chaos = 0
	w.down, w.slow = false, false
	w.heal()
	for slot, p := range w.procs {
		w.resume(p)
		if !p.alive || !p.stoppedAt.IsZero() {
			w.kill(p)
			w.boot(slot, "")
		}
	}
	w.run(15 * time.Second)
	w.repair()
	w.run(settleBound)
	head, _, _ := readHead(w.store)
	want := w.stored()
	for _, p := range w.procs {
		held := p.state.Conf()
		if held.Version != head.Version {
			w.oracle.fail(9, "%v holds version %d, %d was accepted", p.id(), held.Version, head.Version)
		}
		if held.Set.Digest() != want.Digest() {
			w.oracle.fail(9, "%v: got %v, want %v", p.id(), held.Set.Resources(), want.Resources())
		}
		if !p.state.Tree.Attached() {
			w.oracle.fail(9, "%v has no place in the tree", p.id())
		}
	}
	for _, f := range w.calls.calls {
		if f.entry.alive && !f.finished {
			w.oracle.fail(4, "%s was never answered", f.name)
		}
	}
}

// repair removes objects that can't be accepted, and ends half-written groups.
func (w *world) repair() {
	list, _ := w.store.List(context.Background(), cyclam.OperatorKinds()...)
	have := map[string]bool{}
	for _, o := range list.Objects {
		have[o.Key().String()] = true
	}
	for _, o := range list.Objects {
		resource, problems := conf.Parse(o)
		route, isRoute := resource.(cyclam.Route)
		if len(problems) > 0 || isRoute && !have["service/"+string(route.Service)] {
			_ = w.store.Delete(context.Background(), o.Key(), o.Revision)
			continue
		}
		o.Change = nil
		w.put(o)
	}
}

// stored returns the set that the stored objects make.
func (w *world) stored() conf.Set {
	set := conf.NewSet()
	list, _ := w.store.List(context.Background(), cyclam.OperatorKinds()...)
	for _, o := range list.Objects {
		if resource, problems := conf.Parse(o); len(problems) == 0 {
			set = set.With(resource)
		}
	}
	return set
}
