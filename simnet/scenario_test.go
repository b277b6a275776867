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

// step is one fault, configuration change or burst of traffic. It is applied after Pause
// to the process in slot Node; Pick and Flag select variants, by Kind.
type step struct {
	Pause time.Duration
	Kind  string
	Node  int
	Pick  int
	Flag  bool
}

// The kinds of steps that scenarios are drawn from. A kind listed several times is drawn
// more often.
var (
	faults  = []string{"kill", "restart", "replace", "pause", "resume", "cut", "heal", "down", "up", "slow", "stop"}
	changes = []string{"apply", "apply-group", "apply-bad", "remove", "half-group", "race"}
	traffic = []string{"call", "call", "call", "call", "keyed", "burst"}
)

// scenario is a random sequence of steps for a number of nodes. Seed drives all random
// choices of the simulation; Chaos scales the probability of network and platform faults,
// 0 for none.
type scenario struct {
	Seed  int64
	Nodes int
	Chaos float64
	Steps []step
}

// drawScenario draws a scenario whose steps take at least span.
func drawScenario(t *rapid.T, kinds []string, span time.Duration) scenario {
	s := scenario{
		Seed:  rapid.Int64().Draw(t, "seed"),
		Nodes: rapid.IntRange(3, 8).Draw(t, "nodes"),
		Chaos: rapid.SampledFrom([]float64{0, 1, 1, 3}).Draw(t, "chaos"),
	}
	var total time.Duration
	for total < span {
		next := step{
			Pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, s.Nodes-1).Draw(t, "node"),
			Pick:  rapid.IntRange(0, 5).Draw(t, "pick"),
			Flag:  rapid.Bool().Draw(t, "flag"),
		}
		total += next.Pause + 50*time.Millisecond
		s.Steps = append(s.Steps, next)
	}
	return s
}

// play runs the scenario and returns the violated guarantees.
func (s scenario) play() []string {
	traceStart = time.Now()
	tracef("scenario of %d nodes, chaos %v", s.Nodes, s.Chaos)
	w := newWorld(s.Seed, s.Nodes, s.Chaos)
	w.applyInitialConfig()
	w.advance(6 * time.Second)
	for _, next := range s.Steps {
		w.advance(next.Pause)
		w.step(next)
	}
	w.settle()
	return w.oracle.violations
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
		w.partition = true
	case "heal":
		w.heal()
	case "down":
		w.platformDown = true
	case "up":
		w.platformDown, w.platformSlow = false, false
	case "slow":
		w.platformSlow = true
	case "stop":
		w.stop(p)
	case "call":
		w.calls.callArrived(w, p, s.Flag, "", time.Duration(100+300*s.Pick)*time.Millisecond)
	case "keyed":
		w.calls.callArrived(w, p, false, fmt.Sprint("key-", w.seq), time.Second)
	case "burst":
		for range 8 {
			w.calls.callArrived(w, w.procs[w.rng.Intn(len(w.procs))], s.Flag, "", time.Second)
		}
	default:
		w.changeConfig(s)
	}
}

func newObject(kind cyclam.Kind, name, spec string) cyclam.Object {
	return cyclam.Object{
		Kind: kind,
		Name: name,
		Spec: json.RawMessage(spec),
	}
}

// put writes an object over the stored one, whatever its revision.
func (w *world) put(o cyclam.Object) {
	stored, _ := w.store.Get(context.Background(), o.Key())
	o.Revision = stored.Revision
	_, _ = w.store.Put(context.Background(), o)
}

func (w *world) applyInitialConfig() {
	for _, name := range services {
		w.put(newObject(cyclam.KindService, string(name), `{}`))
	}
	w.put(newObject(cyclam.KindRoute, "stock", `{"path-prefix":"/stock","service":"stockview"}`))
	w.put(newObject(cyclam.KindRoute, "cuts", `{"path-prefix":"/cuts","service":"cutorder"}`))
}

// changeConfig applies an operator's change to the stored objects.
func (w *world) changeConfig(s step) {
	name := fmt.Sprintf("extra-%d", s.Pick%3)
	prefix := fmt.Sprintf(`{"path-prefix":"/extra-%d","service":"%s"}`, s.Pick%3, name)
	group := &cyclam.Change{
		ID:    fmt.Sprint("change-", w.seq),
		Count: 2,
	}
	switch s.Kind {
	case "apply":
		region := []string{"north", "south"}[s.Pick%2]
		w.put(newObject(cyclam.KindPlacementRule, "home", `{"service":"cutorder","regions":["`+region+`"]}`))
	case "apply-group", "half-group":
		first := newObject(cyclam.KindRoute, name, prefix)
		first.Change = group
		w.put(first)
		if s.Kind == "half-group" {
			return
		}
		w.after(w.delay(50*time.Millisecond), func() {
			second := newObject(cyclam.KindService, name, fmt.Sprintf(`{"timeout":"%dms"}`, 100+s.Pick))
			second.Change = group
			w.put(second)
		})
	case "apply-bad":
		w.put(newObject(cyclam.KindRoute, name, `{"path-prefix":"/bad","service":"nowhere"}`))
	case "remove":
		key := cyclam.Key{
			Kind: cyclam.KindService,
			Name: name,
		}
		if stored, err := w.store.Get(context.Background(), key); err == nil {
			_ = w.store.Delete(context.Background(), key, stored.Position)
		}
	case "race":
		stale, _ := w.store.Get(context.Background(), cyclam.Key{
			Kind: cyclam.KindRoute,
			Name: "stock",
		})
		w.put(newObject(cyclam.KindRoute, "stock", fmt.Sprintf(`{"path-prefix":"/stock","service":"stockview","timeout":"%dms"}`, 500+s.Pick)))
		stale.Spec = json.RawMessage(`{"path-prefix":"/stale","service":"stockview"}`)
		if _, err := w.store.Put(context.Background(), stale); err == nil && stale.Revision != 0 {
			w.oracle.fail(9, "a write at a stale revision was accepted")
		}
	}
}

// settleLimit is the time within which an accepted version must be in force on every
// node.
const settleLimit = 10 * time.Second

// settle ends all faults, gives the nodes 15 s to recover, repairs the stored objects, and
// checks that the accepted version is in force on every node within settleLimit.
func (w *world) settle() {
	w.chaos = 0
	w.platformDown, w.platformSlow = false, false
	w.heal()
	for slot, p := range w.procs {
		w.resume(p)
		if !p.alive || !p.stopRequestedAt.IsZero() {
			w.kill(p)
			w.boot(slot, "")
		}
	}
	w.advance(15 * time.Second)
	w.repair()
	w.advance(settleLimit)
	head, _, _ := readHead(w.store)
	want := w.storedSet()
	for _, p := range w.procs {
		current := p.state.Conf()
		if current.Version != head.Version {
			w.oracle.fail(9, "%v holds version %d, want accepted version %d", p.id(), current.Version, head.Version)
		}
		if current.Set.Digest() != want.Digest() {
			w.oracle.fail(9, "%v: got resources %v, want %v", p.id(), current.Set.Resources(), want.Resources())
		}
		if !p.state.Tree.Attached() {
			w.oracle.fail(9, "%v is not attached to the distribution tree", p.id())
		}
	}
	for _, c := range w.calls.calls {
		if c.entry.alive && !c.finished {
			w.oracle.fail(4, "%s was not answered", c.name)
		}
	}
}

// repair deletes objects that validation rejects and routes to missing services, and
// completes half-written change groups by writing their objects without a group.
func (w *world) repair() {
	list, _ := w.store.List(context.Background(), cyclam.OperatorKinds()...)
	exists := map[string]bool{}
	for _, o := range list.Objects {
		exists[o.Key().String()] = true
	}
	for _, o := range list.Objects {
		resource, problems := conf.Parse(o)
		route, isRoute := resource.(cyclam.Route)
		if len(problems) > 0 || isRoute && !exists["service/"+string(route.Service)] {
			_ = w.store.Delete(context.Background(), o.Key(), o.Position)
			continue
		}
		o.Change = nil
		w.put(o)
	}
}

// storedSet returns the configuration set that the valid stored objects make up.
func (w *world) storedSet() conf.Set {
	set := conf.NewSet()
	list, _ := w.store.List(context.Background(), cyclam.OperatorKinds()...)
	for _, o := range list.Objects {
		if resource, problems := conf.Parse(o); len(problems) == 0 {
			set = set.With(resource)
		}
	}
	return set
}
