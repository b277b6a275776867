package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
)

// member is the view of one other node.
type member struct {
	view picker.Candidate
	// at is the position of the stored entry that was applied last.
	at cyclam.Position
	// unacked holds when the attempts were sent that the node has not acknowledged.
	unacked map[*attempt]time.Time
	// finished holds the attempts whose answers have arrived, until their deadlines. The
	// node keeps the answers until it is told.
	finished []finishedAttempt
	// clock is what is known of the node's steady clock.
	clock intent.Clock
	// spokeAt is the time of the last message of the node about itself.
	spokeAt time.Time
	// failures is the number of consecutive failed connects; unreachableSince is the
	// time of the first one.
	failures         int
	unreachableSince time.Time
	// exchangeFailedAt is the time of the last failed exchange of knowledge, zero after
	// a successful one.
	exchangeFailedAt time.Time
}

// unavailableFor is how long a node is skipped after a failed exchange: a restart takes
// about a second, and other nodes can be polled meanwhile.
const unavailableFor = 5 * time.Second

// unavailable reports whether the node should be skipped as a source of the
// configuration.
func (m *member) unavailable(now time.Time) bool {
	return !m.unreachableSince.IsZero() || now.Sub(m.exchangeFailedAt) < unavailableFor || m.view.Endpoint.State == cyclam.EndpointGone
}

// fleet is the view of all other nodes. It is guarded by Node.mu.
type fleet struct {
	self    cyclam.Endpoint
	members map[cyclam.InstanceName]*member
	// known is set once the store or another node has provided the list of nodes.
	known bool
	store storeView
	// notices holds what the upstreams of other nodes have said of themselves. They
	// outlast a node's absence from members.
	notices map[cyclam.InstanceName]notice
}

func newFleet(self cyclam.Endpoint) fleet {
	return fleet{
		self:    self,
		members: map[cyclam.InstanceName]*member{},
		notices: map[cyclam.InstanceName]notice{},
	}
}

// updateFromSelf applies an endpoint that the node itself has sent, unless the same
// process has announced a later one.
func (f *fleet) updateFromSelf(e cyclam.Endpoint, now time.Time) {
	m, ok := f.members[e.Instance]
	if !ok || m.view.Endpoint.Incarnation != e.Incarnation || m.view.Endpoint.Sequence <= e.Sequence {
		m = f.upsert(e, now)
	}
	m.spokeAt = now
}

// addFromPeer adds an endpoint that a third node has sent, unless the endpoint's node
// is already known or its process was seen to end.
func (f *fleet) addFromPeer(e cyclam.Endpoint, now time.Time) {
	_, known := f.members[e.Instance]
	_, ended := f.store.ended[e.Identity]
	if !known && !ended {
		f.upsert(e, now)
	}
}

// upsert adds or replaces a node's endpoint. A new process or address resets its load
// and round trip.
func (f *fleet) upsert(e cyclam.Endpoint, now time.Time) *member {
	m, ok := f.members[e.Instance]
	if !ok {
		m = &member{}
		f.members[e.Instance] = m
		f.store.noteReplaced(e.Identity)
	}
	if ok && m.view.Endpoint.Identity != e.Identity {
		f.store.noteEnded(m.view.Endpoint.Identity, true, now)
	}
	if e.State != cyclam.EndpointGone {
		delete(f.store.ended, e.Identity)
	}
	if !ok || m.view.Endpoint.Identity != e.Identity || m.view.Endpoint.Control != e.Control {
		m.view = picker.Candidate{
			RTT:     picker.InitialRTT(f.self.Locality, e.Locality),
			BaseRTT: picker.InitialRTT(f.self.Locality, e.Locality),
			FirstAt: now.Add(picker.FirstAttemptDelay(len(f.members), rand.IntN)),
		}
		m.failures = 0
		m.clock, m.finished = intent.Clock{}, nil
	}
	if e.State == cyclam.EndpointReady && m.view.Endpoint.State != cyclam.EndpointReady {
		m.view.Load.Leaving = false
		m.view.AvoidUntil = time.Time{}
	}
	if e.State == cyclam.EndpointLeaving {
		m.settleFinished()
	}
	if e.State == cyclam.EndpointDown {
		// The node is tried again after avoidBase, because the notice that it is ready
		// may be lost.
		m.view.AvoidUntil = now.Add(avoidBase)
	}
	m.view.Endpoint = e
	return m
}

// remove drops a node whose entry was deleted from the store.
func (f *fleet) remove(name cyclam.InstanceName, now time.Time) {
	if m, ok := f.members[name]; ok {
		f.store.noteEnded(m.view.Endpoint.Identity, false, now)
		delete(f.members, name)
	}
}

// candidates returns the nodes that run an upstream of a service.
func (f *fleet) candidates(service cyclam.ServiceName) []picker.Candidate {
	var views []picker.Candidate
	for _, m := range f.members {
		e := m.view.Endpoint
		if e.Service == service && e.State != cyclam.EndpointGone {
			view := m.view
			view.UnackedSince = m.unackedSince()
			views = append(views, view)
		}
	}
	return views
}

// unackedSince returns when the oldest attempt was sent that is not acknowledged; zero if
// there is none.
func (m *member) unackedSince() time.Time {
	var oldest time.Time
	for _, at := range m.unacked {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// noteSent records that an attempt is being sent to its node.
func (n *Node) noteSent(a *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[a.target.Endpoint.Instance]
	if !ok {
		return
	}
	if m.unacked == nil {
		m.unacked = map[*attempt]time.Time{}
	}
	m.unacked[a] = time.Now()
}

// noteAcked records that an attempt was acknowledged or has ended.
func (n *Node) noteAcked(a *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.fleet.members[a.target.Endpoint.Instance]; ok {
		delete(m.unacked, a)
	}
}

// updateLoad applies the load that came with a reply. An incarnation other than the
// known one means that the node has restarted.
func (n *Node) updateLoad(name cyclam.InstanceName, l *wire.Load) {
	if l == nil {
		return
	}
	n.noteVersion(cyclam.Version(l.Version), name)
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	if !ok {
		return
	}
	m.view = m.view.WithLoad(time.Now(), decodeLoad(l))
	n.fleet.updateNotice(name, l, time.Now())
	if inc := cyclam.Incarnation(l.Incarnation); inc != 0 && inc != m.view.Endpoint.Incarnation {
		n.fleet.store.noteEnded(m.view.Endpoint.Identity, true, time.Now())
		m.view.Endpoint.Incarnation = inc
		delete(n.fleet.store.ended, m.view.Endpoint.Identity)
		m.view.Endpoint.Sequence = 0
		m.view.Endpoint.State = cyclam.EndpointReady
		m.clock, m.finished = intent.Clock{}, nil
		n.Log.Info("node-restarted", "peer", name, "incarnation", inc)
		go n.link(m.view.Endpoint.Control).resync()
	}
	if l.Incarnation != 0 {
		m.noteClock(l, m.view.LoadAt)
	}
	m.spokeAt = m.view.LoadAt
	m.view.InFlight = 0
	m.failures = 0
	if l.Leaving {
		m.settleFinished()
	}
	m.unreachableSince = time.Time{}
	m.view.AvoidUntil = time.Time{}
}

// countInFlight counts an attempt that is not included in the last reported load.
func (n *Node) countInFlight(name cyclam.InstanceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.fleet.members[name]; ok {
		m.view.InFlight++
	}
}

// rttWeight is the weight of a new sample in the moving average of the round trip.
const rttWeight = 0.2

// observeRTT adds the time until an attempt was acknowledged to the moving average of
// the round trip.
func (n *Node) observeRTT(name cyclam.InstanceName, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.fleet.members[name]; ok {
		now := time.Now()
		before := m.view.RoundTrip(now)
		m.view.RTT = before + time.Duration(rttWeight*float64(took-before))
		m.view.RTTAt = now
	}
}

const (
	// avoidBase is how long a node is avoided after its first failed connect.
	avoidBase = 250 * time.Millisecond
	// avoidMax bounds that time, which doubles with each consecutive failure.
	avoidMax = 2 * time.Second
)

// markUnreachable avoids a node for a time that doubles with each consecutive failure.
func (n *Node) markUnreachable(name cyclam.InstanceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	if !ok {
		return
	}
	if m.unreachableSince.IsZero() {
		m.unreachableSince = time.Now()
	}
	span := min(avoidBase<<min(m.failures, 4), avoidMax)
	m.failures++
	m.view.AvoidUntil = time.Now().Add(span)
}

// noteExchange records the result of an exchange of knowledge with a node.
func (n *Node) noteExchange(name cyclam.InstanceName, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	switch {
	case !ok || m.view.Endpoint.State == cyclam.EndpointGone:
	case err != nil:
		m.exchangeFailedAt = time.Now()
	default:
		m.failures = 0
		m.unreachableSince, m.exchangeFailedAt = time.Time{}, time.Time{}
	}
}

// deleteUnreachable deletes the stored entries of nodes that have been unreachable for
// longer than Settings.ForgetAfter. A node that is still running writes its entry
// again.
func (n *Node) deleteUnreachable(ctx context.Context, now time.Time) {
	after := n.Settings.ForgetAfter
	if after <= 0 {
		return
	}
	lost := map[cyclam.InstanceName]cyclam.Position{}
	n.mu.Lock()
	for name, m := range n.fleet.members {
		if !m.unreachableSince.IsZero() && now.Sub(m.unreachableSince) > after && n.fleet.store.accepts(m.at) && !m.at.IsZero() {
			lost[name] = m.at
			m.unreachableSince = now
		}
	}
	n.mu.Unlock()
	for name, at := range lost {
		err := n.Platform.Delete(ctx, cyclam.Key{
			Kind: cyclam.KindEndpoint,
			Name: string(name),
		}, at)
		n.meters.countStoreCall("delete", err)
		n.Log.Info("node-forgotten", "peer", name, "out-of-reach", after, "error", err)
	}
}

// noteRefusal avoids a node whose upstream is down or draining, or from which this one could
// not be heard in time.
func (n *Node) noteRefusal(name cyclam.InstanceName, reason cyclam.Reason) {
	switch reason {
	case cyclam.ReasonUpstreamDown, cyclam.ReasonDraining, cyclam.ReasonUnconfirmed:
		n.markUnreachable(name)
	}
}

// noteTakenOver records that another instance answers at a node's address. The node is gone
// until it is heard of again; its entry stays in the store for a while.
func (n *Node) noteTakenOver(e cyclam.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[e.Instance]
	if !ok || m.view.Endpoint.Identity != e.Identity || m.view.Endpoint.Control != e.Control {
		return
	}
	m.view.Endpoint.State = cyclam.EndpointGone
	n.Log.Info("node-address-taken", "peer", e.Instance, "address", e.Control)
}

// noteReplaced is noteTakenOver for the instance that was taken to be at an address.
func (n *Node) noteReplaced(name cyclam.InstanceName, address string) {
	n.mu.Lock()
	m, ok := n.fleet.members[name]
	var e cyclam.Endpoint
	if ok {
		e = m.view.Endpoint
	}
	n.mu.Unlock()
	if ok && e.Control == address {
		n.noteTakenOver(e)
	}
}

// nodeCount returns the number of nodes, including this one, that share the retry
// budget.
func (n *Node) nodeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 1
	for _, m := range n.fleet.members {
		if m.view.Endpoint.State != cyclam.EndpointGone {
			count++
		}
	}
	return count
}
