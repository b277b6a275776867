package proxy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"pgregory.net/rapid"
)

// modelProcess is a process of a node; a node restarts with another incarnation.
type modelProcess struct {
	incarnation cyclam.Incarnation
	sequence    uint64
	state       cyclam.EndpointState
}

// modelAnswer is an answer of the store: a list, or one change.
type modelAnswer struct {
	at      cyclam.Position
	list    bool
	entries []storedEndpoint
	deleted bool
}

// storeModel is a store with its eras, the processes that write to it, and a fleet that
// gets the store's answers late and out of order.
type storeModel struct {
	now       time.Time
	at        cyclam.Position
	entries   map[cyclam.InstanceName]storedEndpoint
	copies    []map[cyclam.InstanceName]storedEndpoint
	revisions []uint64
	running   map[cyclam.InstanceName]*modelProcess
	nextID    cyclam.Incarnation
	inFlight  []modelAnswer
	fleet     fleet
	// leftSeen holds processes that have ended and whose end the fleet was told in an
	// answer that it must believe.
	leftSeen map[cyclam.Identity]bool
}

var modelNames = []cyclam.InstanceName{"a", "b", "c"}

func newStoreModel() *storeModel {
	m := &storeModel{
		now:      time.Unix(1000, 0),
		at:       at(1, 10),
		entries:  map[cyclam.InstanceName]storedEndpoint{},
		running:  map[cyclam.InstanceName]*modelProcess{},
		fleet:    newFleet(cyclam.Endpoint{}),
		leftSeen: map[cyclam.Identity]bool{},
	}
	m.backUp()
	return m
}

func (m *storeModel) endpoint(name cyclam.InstanceName) cyclam.Endpoint {
	p := m.running[name]
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    name,
			Incarnation: p.incarnation,
		},
		Sequence: p.sequence,
		State:    p.state,
		Service:  "stock",
		Control:  string(name),
	}
}

func (m *storeModel) change(e storedEndpoint, deleted bool) {
	m.inFlight = append(m.inFlight, modelAnswer{
		at:      e.at,
		entries: []storedEndpoint{e},
		deleted: deleted,
	})
}

// write stores the entry of a node that runs, unless it is stored already.
func (m *storeModel) write(name cyclam.InstanceName) {
	e := m.endpoint(name)
	if held, ok := m.entries[name]; ok && held.endpoint == e {
		return
	}
	m.at.Revision++
	m.entries[name] = storedEndpoint{
		endpoint: e,
		at:       m.at,
	}
	m.change(m.entries[name], false)
}

// leave ends a process; its entry is deleted.
func (m *storeModel) leave(name cyclam.InstanceName) {
	e := m.endpoint(name)
	delete(m.running, name)
	if _, ok := m.entries[name]; !ok {
		return
	}
	m.at.Revision++
	delete(m.entries, name)
	m.change(storedEndpoint{
		endpoint: e,
		at:       m.at,
	}, true)
}

func (m *storeModel) backUp() {
	m.copies = append(m.copies, maps.Clone(m.entries))
	m.revisions = append(m.revisions, m.at.Revision)
}

// restore starts a new era from one of the copies.
func (m *storeModel) restore(i int) {
	m.at = at(m.at.Era+1, m.revisions[i])
	m.entries = map[cyclam.InstanceName]storedEndpoint{}
	for name, e := range m.copies[i] {
		e.at.Era = m.at.Era
		m.entries[name] = e
	}
	m.copies, m.revisions = nil, nil
	m.backUp()
}

func (m *storeModel) list() modelAnswer {
	a := modelAnswer{
		at:   m.at,
		list: true,
	}
	for _, name := range modelNames {
		if e, ok := m.entries[name]; ok {
			a.entries = append(a.entries, e)
		}
	}
	return a
}

// deliver gives an answer to the fleet.
func (m *storeModel) deliver(t *rapid.T, a modelAnswer) {
	before, view := m.fleet.store.latest, m.view()
	doubtful := m.apply(a)
	if m.fleet.store.latest.Before(before) {
		t.Fatalf("position went back from %v to %v", before, m.fleet.store.latest)
	}
	if after := m.view(); a.at.Era < before.Era && !maps.Equal(view, after) {
		t.Fatalf("answer of era %d in era %d changed the view from %v to %v", a.at.Era, before.Era, view, after)
	}
	for _, name := range doubtful {
		if m.running[name] != nil {
			m.fleet.updateFromSelf(m.endpoint(name), m.now)
		}
	}
	m.checkLeft(t)
}

func (m *storeModel) apply(a modelAnswer) (doubtful []cyclam.InstanceName) {
	f := &m.fleet
	if a.list {
		listed := map[cyclam.InstanceName]bool{}
		for _, e := range a.entries {
			listed[e.endpoint.Instance] = true
		}
		doubtful, _, _ = f.applyList(a.at, a.entries, listed, m.now)
		return doubtful
	}
	e := a.entries[0]
	if !a.deleted {
		f.applyChange(e, m.now)
		return nil
	}
	known, ok := f.members[e.endpoint.Instance]
	named := ok && known.view.Endpoint.Identity == e.endpoint.Identity
	if f.removeDeleted(e.endpoint.Instance, a.at, m.now) && named {
		m.leftSeen[e.endpoint.Identity] = true
	}
	return nil
}

// checkLeft fails if a process that was seen to leave can be picked.
func (m *storeModel) checkLeft(t *rapid.T) {
	for _, c := range m.fleet.candidates("stock") {
		if m.leftSeen[c.Endpoint.Identity] {
			t.Fatalf("process %v was seen to leave and can be picked again", c.Endpoint.Identity)
		}
	}
}

// view returns what can be picked: the processes and their states.
func (m *storeModel) view() map[cyclam.Identity]cyclam.EndpointState {
	view := map[cyclam.Identity]cyclam.EndpointState{}
	for _, c := range m.fleet.candidates("stock") {
		view[c.Endpoint.Identity] = c.Endpoint.State
	}
	return view
}

// step makes one random change or delivers one answer.
func (m *storeModel) step(t *rapid.T) {
	name := rapid.SampledFrom(modelNames).Draw(t, "name")
	p := m.running[name]
	switch rapid.SampledFrom([]string{"start", "write", "state", "leave", "copy", "restore", "list", "deliver", "deliver", "time"}).Draw(t, "step") {
	case "start":
		m.nextID++
		m.running[name] = &modelProcess{
			incarnation: m.nextID,
			sequence:    1,
			state:       cyclam.EndpointReady,
		}
		m.write(name)
	case "write":
		if p != nil {
			m.write(name)
		}
	case "state":
		if p != nil {
			p.sequence++
			p.state = rapid.SampledFrom([]cyclam.EndpointState{cyclam.EndpointReady, cyclam.EndpointDown, cyclam.EndpointLeaving}).Draw(t, "state")
			m.write(name)
		}
	case "leave":
		if p != nil {
			m.leave(name)
		}
	case "copy":
		m.backUp()
	case "restore":
		m.restore(rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy"))
	case "list":
		m.inFlight = append(m.inFlight, m.list())
	case "deliver":
		if len(m.inFlight) > 0 {
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "answer")
			a := m.inFlight[i]
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			m.deliver(t, a)
		}
	case "time":
		m.now = m.now.Add(time.Second)
		if v := m.fleet.store; !m.now.Before(v.keepUntil) {
			m.fleet.removeMissing(v.latest.Era, m.now)
		}
	}
}

// Late answers, revisions given out again and entries from a copy, in any order: an
// answer of an older era changes nothing, no process that was seen to leave is raised,
// and in the end the view holds what runs.
func TestStoreViewModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStoreModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
		}
		m.deliver(t, m.list())
		for _, name := range modelNames {
			if m.running[name] != nil {
				m.write(name)
			}
			e, ok := m.entries[name]
			if !ok {
				continue
			}
			if p := m.running[name]; p == nil || p.incarnation != e.endpoint.Incarnation {
				m.at.Revision++
				delete(m.entries, name)
			}
		}
		m.now = m.now.Add(missingGrace)
		m.deliver(t, m.list())
		m.fleet.removeMissing(m.at.Era, m.now)
		for _, a := range m.inFlight {
			m.deliver(t, a)
		}
		want := map[cyclam.Identity]cyclam.EndpointState{}
		for name := range m.running {
			e := m.endpoint(name)
			want[e.Identity] = e.State
		}
		if got := m.view(); !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v: %s", got, want, fmt.Sprint(m.fleet.store))
		}
	})
}
