package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// entry is the stored form of what a node announces.
type entry struct {
	Incarnation uint64 `json:"incarnation,string"`
	State       string `json:"state"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Control     string `json:"control"`
	Slots       uint32 `json:"slots"`
	// Upstream names the process beside the node, Leaving whether it said that
	// it leaves; a node that starts again reads both.
	Upstream string `json:"upstream"`
	Leaving  bool   `json:"leaving"`
}

var entryStates = map[string]cyclam.EndpointState{
	cyclam.EndpointReady.String():   cyclam.EndpointReady,
	cyclam.EndpointDown.String():    cyclam.EndpointDown,
	cyclam.EndpointLeaving.String(): cyclam.EndpointLeaving,
	cyclam.EndpointGone.String():    cyclam.EndpointGone,
}

// decodeEntry reads a stored entry.
func decodeEntry(o cyclam.Object) (cyclam.Endpoint, error) {
	var e entry
	if err := json.Unmarshal(o.Spec, &e); err != nil {
		return cyclam.Endpoint{}, errors.Wrap(err, "decode entry "+o.Name)
	}
	state, ok := entryStates[e.State]
	if !ok || e.Control == "" || e.Service == "" {
		return cyclam.Endpoint{}, errors.Errorf("decode entry %s: state %q, control %q, service %q", o.Name, e.State, e.Control, e.Service)
	}
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(o.Name),
			Incarnation: cyclam.Incarnation(e.Incarnation),
		},
		State:   state,
		Service: cyclam.ServiceName(e.Service),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(e.Region),
			DataCentre: cyclam.DataCentre(e.DataCentre),
		},
		Control: e.Control,
		Slots:   e.Slots,
	}, nil
}

// ownEntry is what the store should hold of this node and what it does hold.
type ownEntry struct {
	mu       sync.Mutex
	listed   bool
	revision uint64
	stored   entry
}

// endpoint returns what the node announces now.
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
	case n.closedToPeers(time.Now()), up.leaving:
		e.State = cyclam.EndpointLeaving
	case known:
		e.State = cyclam.EndpointReady
	default:
		e.State = cyclam.EndpointDown
	}
	return e, entry{
		Incarnation: uint64(e.Incarnation),
		State:       e.State.String(),
		Service:     string(e.Service),
		Region:      string(e.Locality.Region),
		DataCentre:  string(e.Locality.DataCentre),
		Control:     e.Control,
		Slots:       e.Slots,
		Upstream:    up.id,
		Leaving:     up.leaving,
	}
}

// announce wakes the writer of the own entry.
func (n *Node) announce() {
	select {
	case n.wakeEntry <- struct{}{}:
	default:
	}
}

// entryListed notes that the store was read; without an own entry in it, the
// next write creates one.
func (n *Node) entryListed(listed map[cyclam.InstanceName]bool) {
	n.entry.mu.Lock()
	n.entry.listed = true
	if !listed[n.self.Instance] {
		n.entry.revision, n.entry.stored = 0, entry{}
	}
	n.entry.mu.Unlock()
	n.announce()
}

// entrySeen takes in the stored state of the own entry.
func (n *Node) entrySeen(e cyclam.ObjectEvent) {
	var stored entry
	if !e.Deleted {
		if err := json.Unmarshal(e.Object.Spec, &stored); err != nil {
			n.Log.Warn("own-entry-unreadable", "error", err)
		}
	}
	n.entry.mu.Lock()
	first := n.entry.revision == 0
	if e.Object.Revision >= n.entry.revision {
		n.entry.stored, n.entry.revision = stored, e.Object.Revision
		if e.Deleted {
			n.entry.revision = 0
		}
	}
	n.entry.mu.Unlock()
	if first && stored.Leaving && stored.Incarnation != uint64(n.self.Incarnation) {
		n.leavingFor(stored.Upstream)
	}
	n.announce()
}

// entryDelay lets the upstream be identified before the first write, so that a
// start takes one write.
const entryDelay = 2 * time.Second

// keepEntry writes the own entry whenever it differs from what the store holds.
func (n *Node) keepEntry(ctx context.Context) error {
	failures := 0
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wakeEntry:
		}
		if rest := entryDelay - time.Since(began); rest > 0 && n.upstreamID() == "" {
			time.AfterFunc(rest, n.announce)
			continue
		}
		if err := n.writeEntry(ctx); err != nil {
			n.Log.Warn("entry-not-written", "failures", failures, "error", err)
			pause(ctx, failures)
			failures++
			n.announce()
			continue
		}
		failures = 0
	}
}

// writeEntry brings the store up to date. A lost answer is settled by reading.
func (n *Node) writeEntry(ctx context.Context) error {
	_, want := n.endpoint()
	n.entry.mu.Lock()
	listed, revision, stored := n.entry.listed, n.entry.revision, n.entry.stored
	n.entry.mu.Unlock()
	if !listed || stored == want {
		return nil
	}
	spec, err := json.Marshal(want)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	put, err := n.Platform.Put(ctx, cyclam.Object{
		Kind:     cyclam.KindEndpoint,
		Name:     string(n.self.Instance),
		Revision: revision,
		Spec:     spec,
	})
	n.meters.countStoreCall("put", err)
	if err != nil {
		n.readEntry(ctx)
		return err
	}
	n.entry.mu.Lock()
	n.entry.revision, n.entry.stored = put.Revision, want
	n.entry.mu.Unlock()
	n.Log.Info("entry-written", "state", want.State, "revision", put.Revision)
	return nil
}

// leaveLimit bounds the last call to the store.
const leaveLimit = 300 * time.Millisecond

// leaveStore deletes the own entry where the upstream has left for good.
func (n *Node) leaveStore(ctx context.Context) {
	_, own := n.endpoint()
	n.entry.mu.Lock()
	revision := n.entry.revision
	n.entry.mu.Unlock()
	if !own.Leaving || revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	err := n.Platform.Delete(ctx, cyclam.Key{
		Kind: cyclam.KindEndpoint,
		Name: string(n.self.Instance),
	}, revision)
	n.meters.countStoreCall("delete", err)
	n.Log.Info("entry-deleted", "error", err)
}

// readEntry reads what the store holds of this node.
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
		n.entry.revision, n.entry.stored = 0, entry{}
	case err != nil:
		n.Log.Warn("own-entry-unread", "error", err)
	default:
		var stored entry
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			n.Log.Warn("own-entry-unreadable", "error", err)
		}
		n.entry.revision, n.entry.stored = object.Revision, stored
	}
}
