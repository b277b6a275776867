package proxy

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/pkg/errors"
)

// entry is the stored form of a node's endpoint.
type entry struct {
	Incarnation uint64 `json:"incarnation,string"`
	State       string `json:"state"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Control     string `json:"control"`
	Slots       uint32 `json:"slots"`
	// Release names the build of the upstream's software; empty if it is not known.
	Release string `json:"release,omitempty"`
	// Upstream is the id of the upstream process beside the node; Leaving is set once
	// that process has been withdrawn. StartedMs is its start by its own clock, in
	// milliseconds since the Unix epoch; zero if it is not known. Left holds the processes
	// that have said that they leave, in the form of formatLeft. A restarting node reads these.
	Upstream  string `json:"upstream"`
	Leaving   bool   `json:"leaving"`
	StartedMs int64  `json:"started-ms,omitempty"`
	Left      string `json:"left,omitempty"`
	// Sequence orders the entries of one incarnation; zero if an older build wrote it.
	Sequence uint64 `json:"sequence,omitempty"`
	// Crashes is what the instance has seen of requests that were lost with processes of its
	// upstream, in the form of poison.FormatReports.
	Crashes string `json:"crashes,omitempty"`
}

var entryStates = map[string]cyclam.EndpointState{
	cyclam.EndpointReady.String():   cyclam.EndpointReady,
	cyclam.EndpointDown.String():    cyclam.EndpointDown,
	cyclam.EndpointLeaving.String(): cyclam.EndpointLeaving,
	cyclam.EndpointGone.String():    cyclam.EndpointGone,
}

// learnEntry merges what a stored entry of another node tells of crashes.
func (n *Node) learnEntry(o cyclam.Object) {
	var e entry
	if err := json.Unmarshal(o.Spec, &e); err == nil {
		n.learnStored(cyclam.InstanceName(o.Name), e.Crashes)
	}
}

// decodeEntry returns the endpoint of a stored entry.
func decodeEntry(o cyclam.Object) (cyclam.Endpoint, error) {
	var e entry
	if err := json.Unmarshal(o.Spec, &e); err != nil {
		return cyclam.Endpoint{}, errors.Wrap(err, "decode entry "+o.Name)
	}
	state, ok := entryStates[e.State]
	if !ok || e.Control == "" || e.Service == "" {
		return cyclam.Endpoint{}, errors.Errorf("decode entry %s: unknown state or empty field: state %q, control %q, service %q", o.Name, e.State, e.Control, e.Service)
	}
	if _, err := netip.ParseAddrPort(e.Control); err != nil {
		return cyclam.Endpoint{}, errors.Wrap(err, "decode entry "+o.Name)
	}
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(o.Name),
			Incarnation: cyclam.Incarnation(e.Incarnation),
		},
		Sequence: e.Sequence,
		State:    state,
		Service:  cyclam.ServiceName(e.Service),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(e.Region),
			DataCentre: cyclam.DataCentre(e.DataCentre),
		},
		Control: e.Control,
		Slots:   e.Slots,
		Release: e.Release,
	}, nil
}

// ownEntry is the last known stored entry of this node. A zero position means that
// there is none; listed is set once the store has been read.
type ownEntry struct {
	mu     sync.Mutex
	listed bool
	at     cyclam.Position
	stored entry
	// announced is the last result of Node.endpoint.
	announced entry
	// newEra is set from the first list of a new era until the entry is stored in it;
	// eraSince is the time of that list.
	newEra   uint64
	eraSince time.Time
	// changed is closed and replaced when stored changes.
	changed chan struct{}
}

// set records what is stored at a position. The caller holds mu.
func (o *ownEntry) set(at cyclam.Position, stored entry) {
	o.at, o.stored = at, stored
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// current returns the stored entry, and a channel that is closed when it changes.
func (o *ownEntry) current() (entry, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.stored, o.changed
}

// endpoint returns the current endpoint of this node and its stored form.
func (n *Node) endpoint() (cyclam.Endpoint, entry) {
	n.schedMu.Lock()
	e := n.Settings.Self
	up := n.upstream
	known := n.scheduler.Known()
	if slots := n.scheduler.Tuning.Slots; slots > 0 {
		e.Slots = uint32(slots)
	}
	n.schedMu.Unlock()
	switch {
	case n.closedToPeers(time.Now()), !up.procs.LeavingSince().IsZero():
		e.State = cyclam.EndpointLeaving
	case known:
		e.State = cyclam.EndpointReady
	default:
		e.State = cyclam.EndpointDown
	}
	present := up.procs.Named()
	if n.followsRollouts() {
		e.Release = up.releaseOf(present.ID)
	}
	announced := n.entry.announce(entry{
		Incarnation: uint64(e.Incarnation),
		State:       e.State.String(),
		Service:     string(e.Service),
		Region:      string(e.Locality.Region),
		DataCentre:  string(e.Locality.DataCentre),
		Control:     e.Control,
		Slots:       e.Slots,
		Release:     e.Release,
		Upstream:    present.ID,
		Leaving:     !up.procs.LeavingSince().IsZero(),
		StartedMs:   startedMs(present),
		Left:        formatLeft(up.procs.Left()),
		Crashes:     n.quarantine.current().stored,
	})
	e.Sequence = announced.Sequence
	return e, announced
}

// announce returns the entry with its sequence, which rises with each change.
func (o *ownEntry) announce(e entry) entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.Sequence = o.announced.Sequence
	if e != o.announced {
		e.Sequence++
		o.announced = e
	}
	return e
}

// endEraStart logs once in a new era that what this node keeps in the store is there.
func (n *Node) endEraStart(written bool) {
	n.entry.mu.Lock()
	era, since := n.entry.newEra, n.entry.eraSince
	n.entry.newEra = 0
	n.entry.mu.Unlock()
	if era == 0 {
		return
	}
	if written {
		n.meters.countWrittenAgain()
	}
	n.Log.Info("store-era-settled", "era", era, "written-again", written, "after", time.Since(since))
}

// requestEntryWrite wakes runEntryWriter.
func (n *Node) requestEntryWrite() {
	select {
	case n.wakeEntry <- struct{}{}:
	default:
	}
}

// applyListedNames records that the store has been read at this position. If it holds no
// entry of this node, the next write creates one.
func (n *Node) applyListedNames(listed map[cyclam.InstanceName]bool, at cyclam.Position, newEra bool) {
	n.entry.mu.Lock()
	n.entry.listed = true
	if newEra {
		n.entry.newEra, n.entry.eraSince = at.Era, time.Now()
	}
	if !listed[n.self.Instance] && !at.Before(n.entry.at) {
		n.entry.set(cyclam.Position{}, entry{})
	}
	n.entry.mu.Unlock()
	n.endRecall()
	n.requestEntryWrite()
}

// applyOwnEntry applies a stored change of this node's entry.
func (n *Node) applyOwnEntry(e cyclam.ObjectEvent) {
	var stored entry
	if !e.Deleted {
		if err := json.Unmarshal(e.Object.Spec, &stored); err != nil {
			n.Log.Warn("own-entry-unreadable", "error", err)
		}
	}
	n.learnStored(n.self.Instance, stored.Crashes)
	n.entry.mu.Lock()
	first := n.entry.at.IsZero()
	if !e.Object.Position.Before(n.entry.at) {
		at := e.Object.Position
		if e.Deleted {
			at = cyclam.Position{}
		}
		n.entry.set(at, stored)
	}
	n.entry.mu.Unlock()
	if first && !e.Deleted && stored.Incarnation != uint64(n.self.Incarnation) {
		n.recall(stored)
	}
	n.requestEntryWrite()
}

// recall applies what an earlier process of this node has stored of the upstream. Its drain
// time counts as over, as it is not known when a leave was announced.
func (n *Node) recall(stored entry) {
	left, err := parseLeft(stored.Left)
	if err != nil {
		n.Log.Warn("own-entry-unreadable", "error", err)
	}
	present := processOf(stored.Upstream, stored.StartedMs)
	if stored.Leaving {
		left = append(left, present)
	}
	n.schedMu.Lock()
	n.scheduler = n.scheduler.WithSlots(int(stored.Slots))
	n.upstream = n.upstream.withRelease(stored.Upstream, stored.Release)
	n.schedMu.Unlock()
	n.changeUpstream("entry", func(now time.Time, s procs.State) procs.State {
		for _, p := range left {
			s = s.WithNotice(now, p, n.startTime.Add(-n.Settings.Drain))
		}
		if stored.Leaving {
			return s.WithoutStored()
		}
		return s.WithStored(present)
	})
	n.requestSettle()
}

// endRecall records that nothing is stored of the upstream, or that it can't be read now.
func (n *Node) endRecall() {
	n.changeUpstream("entry", func(_ time.Time, s procs.State) procs.State { return s.WithoutStored() })
	n.requestSettle()
}

// entryWriteDelay leaves time to identify the upstream before the first write, so that
// a start takes only one write.
const entryWriteDelay = 2 * time.Second

// awaitsUpstream reports whether no upstream process is known yet, nor a leave of one.
func (n *Node) awaitsUpstream() bool {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.upstream.procs.Target() == "" && len(n.upstream.procs.Left()) == 0
}

// runEntryWriter writes this node's entry whenever it differs from the stored one,
// until ctx ends.
func (n *Node) runEntryWriter(ctx context.Context) error {
	failures := 0
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wakeEntry:
		}
		if remaining := entryWriteDelay - time.Since(began); remaining > 0 && n.awaitsUpstream() {
			time.AfterFunc(remaining, n.requestEntryWrite)
			continue
		}
		_, risen := n.storeEras.Current()
		if err := n.writeEntry(ctx); err != nil {
			n.Log.Warn("entry-not-written", "failures", failures, "error", err)
			waitRetry(ctx, failures, risen)
			failures++
			n.requestEntryWrite()
			continue
		}
		failures = 0
	}
}

// writeEntry updates the stored entry if it differs. After an error the entry is read
// back, because a write whose response was lost may have succeeded.
func (n *Node) writeEntry(ctx context.Context) error {
	_, want := n.endpoint()
	n.entry.mu.Lock()
	listed, at, stored := n.entry.listed, n.entry.at, n.entry.stored
	n.entry.mu.Unlock()
	if !listed {
		return nil
	}
	if stored == want {
		n.endEraStart(false)
		return nil
	}
	spec, err := json.Marshal(want)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	put, err := n.Platform.Put(ctx, cyclam.Object{
		Kind:     cyclam.KindEndpoint,
		Name:     string(n.self.Instance),
		Position: at,
		Spec:     spec,
	})
	n.meters.countStoreCall("put", err)
	if err != nil {
		n.readEntry(ctx)
		return err
	}
	n.entry.mu.Lock()
	if n.entry.at.Before(put.Position) {
		n.entry.set(put.Position, want)
	}
	n.entry.mu.Unlock()
	n.Log.Info("entry-written", "state", want.State, "era", put.Era, "revision", put.Revision)
	n.endEraStart(true)
	return nil
}

// deleteTimeout bounds the deletion of the entry when the node stops.
const deleteTimeout = 300 * time.Millisecond

// deleteEntry deletes this node's entry if the upstream has been withdrawn. If the store
// has returned from a copy since the entry was read, it is read again first: another
// process of this instance may have written it.
func (n *Node) deleteEntry(ctx context.Context) {
	_, own := n.endpoint()
	if !own.Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	deleted, err := n.deleteEntryOnce(ctx)
	if errors.Is(err, cyclam.ErrStaleEra) {
		n.readEntry(ctx)
		if !n.ownsEntry() {
			return
		}
		deleted, err = n.deleteEntryOnce(ctx)
	}
	if deleted || err != nil {
		n.Log.Info("entry-deleted", "error", err)
	}
}

// ownsEntry reports whether this process wrote the stored entry.
func (n *Node) ownsEntry() bool {
	n.entry.mu.Lock()
	defer n.entry.mu.Unlock()
	return n.entry.stored.Incarnation == uint64(n.self.Incarnation)
}

// deleteEntryOnce deletes the entry at its known position. It returns false if there is
// none.
func (n *Node) deleteEntryOnce(ctx context.Context) (bool, error) {
	n.entry.mu.Lock()
	at := n.entry.at
	n.entry.mu.Unlock()
	if at.IsZero() {
		return false, nil
	}
	err := n.Platform.Delete(ctx, cyclam.Key{
		Kind: cyclam.KindEndpoint,
		Name: string(n.self.Instance),
	}, at)
	n.meters.countStoreCall("delete", err)
	return err == nil, err
}

// readEntry refreshes the known stored entry of this node.
func (n *Node) readEntry(ctx context.Context) {
	object, err := n.Platform.Get(ctx, cyclam.Key{
		Kind: cyclam.KindEndpoint,
		Name: string(n.self.Instance),
	})
	n.meters.countStoreCall("get", err)
	n.entry.mu.Lock()
	defer n.entry.mu.Unlock()
	switch {
	case errors.Is(err, cyclam.ErrNotFound):
		n.entry.set(cyclam.Position{}, entry{})
	case err != nil:
		n.Log.Warn("own-entry-unread", "error", err)
	default:
		var stored entry
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			n.Log.Warn("own-entry-unreadable", "error", err)
		}
		if n.entry.at.Before(object.Position) {
			n.entry.set(object.Position, stored)
		}
	}
}
