// Package simnet tests the guarantees of docs/PROOFS.md by deterministic simulation: the
// reducers of several nodes run random scenarios over a simulated network and platform that
// delay, reorder, drop and duplicate messages, partition regions, and pause and kill nodes.
// It holds tests only; a scenario is repeated from its seed.
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

// Intervals, mean delays and timeouts of the simulation.
const (
	tickInterval     = 100 * time.Millisecond
	netDelay         = 5 * time.Millisecond
	crossRegionDelay = 12 * time.Millisecond
	rpcTimeout       = 2 * time.Second
	cancelTimeout    = 250 * time.Millisecond
)

// tuning returns the tuning of the simulated nodes. The flush interval is that of the ticks,
// which is coarser than the default.
func tuning() core.Tuning {
	return core.Tuning{
		Tree: tree.Tuning{
			FanOut:            2,
			Flush:             tickInterval,
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

// timer is a function due at a time; seq orders timers that are due at the same time.
type timer struct {
	at  time.Time
	seq int
	fn  func()
}

// timers is a heap of timers, the next one due first.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// proc is one process of a node. While it is paused, events wait in the backlog.
type proc struct {
	slot    int
	state   core.State
	alive   bool
	paused  bool
	backlog []func() cyclam.Event
	// onResume is what the process does when it resumes, before it handles the backlog.
	onResume []func()
	links    map[cyclam.LinkID]*link
	lastLink cyclam.LinkID
	// stopRequestedAt is when the process handled the request to stop.
	stopRequestedAt time.Time
}

func (p *proc) id() cyclam.Identity { return p.state.Tree.Self.Identity }

// world is the simulation of one scenario: the processes by slot, the network between
// them, the platform, and the timers that drive them. It runs in a synctest bubble, so its
// time is simulated. All random choices come from rng.
type world struct {
	rng       *rand.Rand
	chaos     float64
	timers    timers
	seq       int
	procs     []*proc
	boots     cyclam.Incarnation
	partition bool
	// heldMessages are sent during a partition and can arrive after it.
	heldMessages []func()
	store        *objapi.Store
	platformDown bool
	platformSlow bool
	calls        callTracker
	oracle       oracle
}

// newWorld boots nodes in two regions of two data centres each. Chaos scales the
// probability of faults.
func newWorld(seed int64, nodes int, chaos float64) *world {
	w := &world{
		rng:   rand.New(rand.NewSource(seed)),
		chaos: chaos,
		store: objapi.NewStore(),
		procs: make([]*proc, nodes),
		calls: newCallTracker(),
	}
	w.oracle = newOracle()
	for slot := range nodes {
		w.boot(slot, "")
	}
	return w
}

// services are assigned to the slots in turn.
var services = []cyclam.ServiceName{"stockview", "cutorder"}

// locality returns the region and data centre of a slot. Consecutive slots, one per service,
// share a data centre.
func locality(slot int) cyclam.Locality {
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

// boot starts a new process in a slot. The slot is its address; a suffix makes its instance
// name differ from that of the previous process there, so that the address is reused by
// another instance.
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
		Locality: locality(slot),
		Data:     fmt.Sprint(slot),
		Control:  fmt.Sprint(slot),
		Slots:    2,
	}
	tuned := tuning()
	tuned.Tree.Seeds = []string{"0", "1"}
	p := &proc{
		slot:  slot,
		alive: true,
		links: map[cyclam.LinkID]*link{},
	}
	p.state = core.New(self, tuned, time.Now())
	w.procs[slot] = p
	w.after(w.delay(tickInterval), func() { w.tick(p) })
}

// tick delivers a tick to the process at every tickInterval while it is alive.
func (w *world) tick(p *proc) {
	if !p.alive {
		return
	}
	w.deliver(p, func() cyclam.Event {
		return cyclam.Tick{
			Stamp: stamp(),
		}
	})
	w.after(tickInterval, func() { w.tick(p) })
}

func stamp() cyclam.Stamp {
	return cyclam.Stamp{
		Now: time.Now(),
	}
}

// after schedules a function.
func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.timers, timer{
		at:  time.Now().Add(d),
		seq: w.seq,
		fn:  fn,
	})
}

// delay draws a delay between 0 and twice the mean; with chaos, some are 20 times longer.
func (w *world) delay(mean time.Duration) time.Duration {
	if w.chance(0.02) {
		mean *= 20
	}
	return time.Duration(w.rng.Int63n(int64(2*mean) + 1))
}

// chance returns true with probability p, scaled by the chaos of the scenario.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p*w.chaos }

// advance runs the simulation for a span, firing the timers that are due.
func (w *world) advance(span time.Duration) {
	end := time.Now().Add(span)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		next := heap.Pop(&w.timers).(timer)
		time.Sleep(time.Until(next.at))
		next.fn()
	}
	time.Sleep(time.Until(end))
}

// deliver reduces an event at a process, has the oracle check the new state, and performs
// the effects. While the process is paused, the event goes to the backlog.
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

// whenResumed runs a further step of a process, at once or when it resumes.
func (w *world) whenResumed(p *proc, fn func()) {
	if p.paused {
		p.onResume = append(p.onResume, fn)
		return
	}
	fn()
}

// kill ends a process at once. Some deaths are silent: peers do not see their links close.
func (w *world) kill(p *proc) {
	if !p.alive {
		return
	}
	p.alive = false
	silent := w.chance(0.3)
	for _, id := range sortedLinks(p) {
		p.links[id].closeEnd(w, p, silent)
	}
	w.calls.procDied(w, p)
}

// sortedLinks returns the link IDs in a fixed order, which keeps scenarios repeatable.
func sortedLinks(p *proc) []cyclam.LinkID {
	var ids []cyclam.LinkID
	for id := range p.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resume ends a pause: the process first takes its pending steps, then handles the backlog.
func (w *world) resume(p *proc) {
	if !p.paused {
		return
	}
	p.paused = false
	onResume := p.onResume
	p.onResume = nil
	for _, fn := range onResume {
		fn()
	}
	backlog := p.backlog
	p.backlog = nil
	for _, event := range backlog {
		w.deliver(p, event)
	}
}

// stop requests a planned stop.
func (w *world) stop(p *proc) {
	w.deliver(p, func() cyclam.Event {
		p.stopRequestedAt = time.Now()
		return cyclam.StopRequested{
			Stamp: stamp(),
		}
	})
}

// heal ends the partition between the regions. Each message held back either arrives
// late or is lost.
func (w *world) heal() {
	w.partition = false
	heldMessages := w.heldMessages
	w.heldMessages = nil
	for _, fn := range heldMessages {
		if w.rng.Intn(2) == 0 {
			w.after(w.delay(netDelay), fn)
		}
	}
}

// partitioned reports whether a partition separates two localities.
func (w *world) partitioned(a, b cyclam.Locality) bool { return w.partition && a.Region != b.Region }

// latency draws the delay of a message between two localities.
func (w *world) latency(a, b cyclam.Locality) time.Duration {
	if a.Region != b.Region {
		return w.delay(crossRegionDelay)
	}
	return w.delay(netDelay)
}
