package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
)

// member is what is known of one other node.
type member struct {
	view picker.Candidate
	// revision is that of the stored entry that was taken in last.
	revision uint64
	// failures counts the failed connections in a row, lostAt is when they began.
	failures int
	lostAt   time.Time
	// missedAt is when it last gave no answer about the configuration.
	missedAt time.Time
}

// awayFor is how long such a node is not asked again: a restart takes about a
// second, and others can be asked meanwhile.
const awayFor = 5 * time.Second

// away reports whether a node should not be asked now.
func (m *member) away(now time.Time) bool {
	return !m.lostAt.IsZero() || now.Sub(m.missedAt) < awayFor || m.view.Endpoint.State == cyclam.EndpointGone
}

// fleet is the view of all other nodes; the node's lock guards it.
type fleet struct {
	self    cyclam.Endpoint
	members map[cyclam.InstanceName]*member
	// known is set once the platform or another node has told of the fleet.
	known bool
}

func newFleet(self cyclam.Endpoint) fleet {
	return fleet{
		self:    self,
		members: map[cyclam.InstanceName]*member{},
	}
}

// stored takes in an entry of the platform's store; its revisions order them.
func (f *fleet) stored(e cyclam.Endpoint, revision uint64) {
	m, ok := f.members[e.Instance]
	if ok && revision <= m.revision {
		return
	}
	f.set(e).revision = revision
}

// direct takes in what a node says of itself.
func (f *fleet) direct(e cyclam.Endpoint) { f.set(e) }

// heard takes in what another node says of a third one, if nothing is known.
func (f *fleet) heard(e cyclam.Endpoint) {
	if _, ok := f.members[e.Instance]; !ok {
		f.set(e)
	}
}

func (f *fleet) set(e cyclam.Endpoint) *member {
	m, ok := f.members[e.Instance]
	if !ok {
		m = &member{}
		f.members[e.Instance] = m
	}
	if !ok || m.view.Endpoint.Identity != e.Identity || m.view.Endpoint.Control != e.Control {
		m.view = picker.Candidate{
			RTT:     picker.InitialRTT(f.self.Locality, e.Locality),
			BaseRTT: picker.InitialRTT(f.self.Locality, e.Locality),
		}
		m.failures = 0
	}
	if e.State == cyclam.EndpointReady && m.view.Endpoint.State != cyclam.EndpointReady {
		m.view.Load.Leaving = false
		m.view.AvoidUntil = time.Time{}
	}
	if e.State == cyclam.EndpointDown {
		// It is asked again later: the news that it is up may not come.
		m.view.AvoidUntil = time.Now().Add(avoidBase)
	}
	m.view.Endpoint = e
	return m
}

// removed drops an entry that was deleted from the store.
func (f *fleet) removed(name cyclam.InstanceName) { delete(f.members, name) }

// serving returns the nodes whose upstreams take requests for a service.
func (f *fleet) serving(service cyclam.ServiceName) []picker.Candidate {
	var views []picker.Candidate
	for _, m := range f.members {
		e := m.view.Endpoint
		if e.Service == service && e.State != cyclam.EndpointGone {
			views = append(views, m.view)
		}
	}
	return views
}

// told takes in a load that came with a reply.
func (n *Node) told(name cyclam.InstanceName, l *wire.Load) {
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
	m.view.Load = decodeLoad(l)
	if inc := cyclam.Incarnation(l.Incarnation); inc != 0 && inc != m.view.Endpoint.Incarnation {
		m.view.Endpoint.Incarnation = inc
		m.view.Endpoint.State = cyclam.EndpointReady
		n.Log.Info("node-restarted", "peer", name, "incarnation", inc)
		go n.link(m.view.Endpoint.Control).greetAgain()
	}
	m.view.LoadAt = time.Now()
	m.view.InFlight = 0
	m.failures = 0
	m.lostAt = time.Time{}
	m.view.AvoidUntil = time.Time{}
}

// sent counts an attempt that the last told load does not include.
func (n *Node) sent(name cyclam.InstanceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.fleet.members[name]; ok {
		m.view.InFlight++
	}
}

// rttWeight is the weight of a new round trip in the moving average.
const rttWeight = 0.2

// answered takes in the time until an attempt was acknowledged.
func (n *Node) answered(name cyclam.InstanceName, took time.Duration) {
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
	// avoidBase is how long a node is avoided after its first failed link.
	avoidBase = 250 * time.Millisecond
	// avoidMax bounds that time as it doubles.
	avoidMax = 2 * time.Second
)

// unreachable avoids a node for longer with each failure in a row.
func (n *Node) unreachable(name cyclam.InstanceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	if !ok {
		return
	}
	if m.lostAt.IsZero() {
		m.lostAt = time.Now()
	}
	span := min(avoidBase<<min(m.failures, 4), avoidMax)
	m.failures++
	m.view.AvoidUntil = time.Now().Add(span)
}

// asked takes in whether a node answered what was asked about the configuration.
func (n *Node) asked(name cyclam.InstanceName, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	switch {
	case !ok:
	case err != nil:
		m.missedAt = time.Now()
	default:
		m.failures = 0
		m.lostAt, m.missedAt = time.Time{}, time.Time{}
	}
}

// forgetLost deletes the entries of nodes that were out of reach for long. A node
// that lives writes its entry again.
func (n *Node) forgetLost(ctx context.Context, now time.Time) {
	after := n.Settings.ForgetAfter
	if after <= 0 {
		return
	}
	lost := map[cyclam.InstanceName]uint64{}
	n.mu.Lock()
	for name, m := range n.fleet.members {
		if !m.lostAt.IsZero() && now.Sub(m.lostAt) > after && m.revision > 0 {
			lost[name] = m.revision
			m.lostAt = now
		}
	}
	n.mu.Unlock()
	for name, revision := range lost {
		err := n.Platform.Delete(ctx, cyclam.Key{
			Kind: cyclam.KindEndpoint,
			Name: string(name),
		}, revision)
		n.meters.countStoreCall("delete", err)
		n.Log.Info("node-forgotten", "peer", name, "out-of-reach", after, "error", err)
	}
}

// refusedBy avoids a node whose upstream is down or leaves.
func (n *Node) refusedBy(name cyclam.InstanceName, reason cyclam.Reason) {
	switch reason {
	case cyclam.ReasonUpstreamDown, cyclam.ReasonDraining:
		n.unreachable(name)
	}
}

// nodes returns how many nodes share the retry allowance.
func (n *Node) nodes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.fleet.members) + 1
}
