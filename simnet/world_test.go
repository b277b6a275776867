// Package simnet tries the promises on several nodes' reducers, joined by a fake
// network and platform that delay, reorder, drop, repeat, freeze, cut and kill.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/admit"
	"github.com/cyclamensaddle/cyclam/core"
	"github.com/cyclamensaddle/cyclam/egress"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
	"github.com/cyclamensaddle/cyclam/tree"
)

// The pace of the fake world.
const (
	tickEvery   = 100 * time.Millisecond
	netDelay    = 5 * time.Millisecond
	crossDelay  = 12 * time.Millisecond
	rpcTimeout  = 2 * time.Second
	cancelLimit = 250 * time.Millisecond
)

// tuning is the product's default but for a coarser flush.
func tuning() core.Tuning {
	return core.Tuning{
		Tree: tree.Tuning{
			FanOut:            2,
			Flush:             tickEvery,
			HeartbeatInterval: 500 * time.Millisecond,
			LinkTimeout:       2 * time.Second,
			Grace:             3 * time.Second,
			Term:              3 * time.Second,
			PlatformRegion:    "north",
		},
		Admit: admit.Tuning{
			Slots:      2,
			Queue:      3,
			QueueWait:  200 * time.Millisecond,
			AttemptTTL: 2 * time.Second,
			KeyTTL:     20 * time.Second,
		},
		Egress: egress.Tuning{
			MaxSends:   3,
			RetryShare: 0.1,
			RetryBurst: 10,
			Ramp:       10 * time.Second,
			EjectBase:  time.Second,
			EjectMax:   30 * time.Second,
			ShedMax:    time.Second,
		},
		LeaveWait: time.Second,
	}
}

// happening is something due at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// proc is one process of a node.
type proc struct {
	slot    int
	state   core.State
	alive   bool
	paused  bool
	backlog []func() cyclam.Event
	// later is what the process does on waking, before it reads anything.
	later []func()
	links map[cyclam.LinkID]*wire
	next  cyclam.LinkID
	// stoppedAt is when the process took in that it is to stop.
	stoppedAt time.Time
}

func (p *proc) id() cyclam.Identity { return p.state.Tree.Self.Identity }

// world runs the nodes of one history.
type world struct {
	rng    *rand.Rand
	chaos  float64
	agenda agenda
	order  int
	procs  []*proc
	boots  cyclam.Incarnation
	cut    bool
	held   []func()
	store  *objapi.Store
	down   bool
	slow   bool
	calls  callBook
	oracle oracle
}

// newWorld starts nodes in two regions of two data centres each.
func newWorld(seed int64, nodes int, chaos float64) *world {
	w := &world{
		rng:   rand.New(rand.NewSource(seed)),
		chaos: chaos,
		store: objapi.NewStore(),
		procs: make([]*proc, nodes),
		calls: newCallBook(),
	}
	w.oracle = newOracle()
	for slot := range nodes {
		w.boot(slot, "")
	}
	return w
}

// services stand beside the nodes in turn.
var services = []cyclam.ServiceName{"stockview", "cutorder"}

func place(slot int) cyclam.Locality {
	centres := []cyclam.Locality{
		{
			Region:     "north",
			DataCentre: "north-a",
		},
		{
			Region:     "south",
			DataCentre: "south-a",
		},
		{
			Region:     "north",
			DataCentre: "north-b",
		},
		{
			Region:     "south",
			DataCentre: "south-b",
		},
	}
	return centres[(slot/len(services))%len(centres)]
}

// boot starts a new process in a slot, which is an address; the suffix gives it
// another instance name than the slot's last process had.
func (w *world) boot(slot int, suffix string) {
	w.boots++
	self := cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(fmt.Sprintf("node-%d%s", slot, suffix)),
			Incarnation: w.boots,
		},
		Sequence: 1,
		State:    cyclam.EndpointReady,
		Service:  services[slot%len(services)],
		Locality: place(slot),
		Data:     fmt.Sprint(slot),
		Control:  fmt.Sprint(slot),
		Slots:    2,
	}
	tuned := tuning()
	tuned.Tree.Seeds = []string{"0", "1"}
	p := &proc{
		slot:  slot,
		alive: true,
		links: map[cyclam.LinkID]*wire{},
	}
	p.state = core.New(self, tuned, time.Now())
	w.procs[slot] = p
	w.after(w.delay(tickEvery), func() { w.tick(p) })
}

func (w *world) tick(p *proc) {
	if !p.alive {
		return
	}
	w.deliver(p, func() cyclam.Event {
		return cyclam.Tick{
			Stamp: stamp(),
		}
	})
	w.after(tickEvery, func() { w.tick(p) })
}

func stamp() cyclam.Stamp {
	return cyclam.Stamp{
		Now: time.Now(),
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, happening{
		at:    time.Now().Add(d),
		order: w.order,
		do:    do,
	})
}

// delay draws a delay around a mean, at times a much longer one.
func (w *world) delay(mean time.Duration) time.Duration {
	if w.chance(0.02) {
		mean *= 20
	}
	return time.Duration(w.rng.Int63n(int64(2*mean) + 1))
}

// chance is true with a probability, scaled by how chaotic the history is.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p*w.chaos }

// run lets the world go on for a span.
func (w *world) run(span time.Duration) {
	end := time.Now().Add(span)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(happening)
		time.Sleep(time.Until(next.at))
		next.do()
	}
	time.Sleep(time.Until(end))
}

// deliver hands an event to a process, later if the process is frozen.
func (w *world) deliver(p *proc, event func() cyclam.Event) {
	if !p.alive {
		return
	}
	if p.paused {
		p.backlog = append(p.backlog, event)
		return
	}
	before := p.state
	next, effects := core.Reduce(p.state, event())
	p.state = next
	w.oracle.observe(p, before)
	for _, effect := range effects {
		w.perform(p, effect)
	}
}

// awake runs what a process itself does next, once it is not frozen.
func (w *world) awake(p *proc, do func()) {
	if p.paused {
		p.later = append(p.later, do)
		return
	}
	do()
}

func (w *world) kill(p *proc) {
	if !p.alive {
		return
	}
	p.alive = false
	silent := w.chance(0.3)
	for _, id := range sortedLinks(p) {
		p.links[id].end(w, p, silent)
	}
	w.calls.died(w, p)
}

func sortedLinks(p *proc) []cyclam.LinkID {
	var ids []cyclam.LinkID
	for id := range p.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) resume(p *proc) {
	if !p.paused {
		return
	}
	p.paused = false
	later := p.later
	p.later = nil
	for _, do := range later {
		do()
	}
	backlog := p.backlog
	p.backlog = nil
	for _, event := range backlog {
		w.deliver(p, event)
	}
}

func (w *world) stop(p *proc) {
	w.deliver(p, func() cyclam.Event {
		p.stoppedAt = time.Now()
		return cyclam.StopRequested{
			Stamp: stamp(),
		}
	})
}

// heal ends a cut between the regions; what was under way arrives late.
func (w *world) heal() {
	w.cut = false
	held := w.held
	w.held = nil
	for _, do := range held {
		if w.rng.Intn(2) == 0 {
			w.after(w.delay(netDelay), do)
		}
	}
}

// severed reports whether nothing passes between two places.
func (w *world) severed(a, b cyclam.Locality) bool { return w.cut && a.Region != b.Region }

func (w *world) between(a, b cyclam.Locality) time.Duration {
	if a.Region != b.Region {
		return w.delay(crossDelay)
	}
	return w.delay(netDelay)
}
