package tree

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// maxRedirectAddresses is how many of its children a full node names in a redirect.
const maxRedirectAddresses = 3

// linkOpened sends a Hello to the peer that this node has dialled.
func (s State) linkOpened(e cyclam.LinkOpened) (State, []cyclam.Effect) {
	l, ok := s.links.Get(e.Link)
	if !ok {
		return s, []cyclam.Effect{cyclam.CloseLink{
			Link:   e.Link,
			Reason: "no longer wanted",
		}}
	}
	l.lastHeard = e.Now
	s = s.withLink(l)
	return s, []cyclam.Effect{sendEffect(l, cyclam.Hello{
		Self:    s.Self,
		Role:    s.Role(),
		Want:    s.search.want,
		Version: s.Conf.Version,
		Sums:    s.Roster.Sums()[:],
	})}
}

// handleHello accepts a child or redirects it. The child's endpoint is recorded only
// if it already names this node as parent: a child that comes from another parent
// announces its new parent itself once it has received the Welcome.
func (s State) handleHello(now time.Time, l link, m cyclam.Hello) (State, []cyclam.Effect) {
	l.peer = m.Self
	l.role = m.Role
	l.version = m.Version
	if try, refused := s.redirectFor(m); refused {
		s.links = s.links.Delete(l.id)
		return s, []cyclam.Effect{
			sendEffect(l, cyclam.Redirect{
				Try: try,
			}),
			cyclam.CloseLink{
				Link:   l.id,
				Reason: "redirected",
			},
		}
	}
	s, effects := s.closeEarlierLinks(l)
	l.joined = true
	s = s.withLink(l)
	s.lostChildren = s.lostChildren.Delete(string(m.Self.Instance))
	effects = append(effects, sendEffect(l, cyclam.Welcome{
		Self:    s.Self,
		Path:    s.Path(),
		Version: s.Conf.Version,
		Sums:    s.Roster.Sums()[:],
	}))
	s, more := s.handleSums(l, m.Sums)
	effects = append(effects, more...)
	if m.Self.Parent == s.Self.Instance {
		s, more = s.learnEndpoints(now, l.id, []cyclam.Endpoint{m.Self})
		effects = append(effects, more...)
	}
	s, more = s.syncConf()
	effects = append(effects, more...)
	s, more = s.yieldRoot(l)
	return s, append(effects, more...)
}

// redirectFor reports whether a child must be redirected, and to which addresses.
func (s State) redirectFor(m cyclam.Hello) ([]string, bool) {
	switch {
	case s.leaving, !s.mayAcceptChildren():
		return nil, true
	case slices.Contains(s.path, m.Self.Instance), m.Self.Instance == s.Self.Instance:
		return nil, true
	case m.Want != "" && !s.Holds(m.Want):
		return nil, true
	case m.Role == cyclam.RoleHub || m.Role == cyclam.RoleLead:
		return nil, s.Role() == "" && !s.actingTop
	default:
		return s.redirectIfFull(m)
	}
}

// mayAcceptChildren reports whether this node has a parent or a role of its own, so
// that it receives updates that it can pass on to children.
func (s State) mayAcceptChildren() bool { return s.Attached() || s.Role() != "" }

// redirectIfFull redirects a child to some of the children without a role once
// FanOut is reached. The incarnation of the child selects the first, so that new
// children spread over them. A child that is already connected is accepted again.
func (s State) redirectIfFull(m cyclam.Hello) ([]string, bool) {
	var children []string
	rejoining := false
	s.eachLink(func(l link) {
		if l.child && l.joined && l.role == "" {
			rejoining = rejoining || l.peer.Instance == m.Self.Instance
			children = append(children, l.peer.Control)
		}
	})
	if len(children) < s.Tuning.FanOut || rejoining {
		return nil, false
	}
	start := int(uint64(m.Self.Incarnation) % uint64(len(children)))
	var try []string
	for i := range min(maxRedirectAddresses, len(children)) {
		try = append(try, children[(start+i)%len(children)])
	}
	return try, true
}

// closeEarlierLinks closes earlier links of the same child.
func (s State) closeEarlierLinks(l link) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	s.eachLink(func(o link) {
		if o.child && o.id != l.id && o.peer.Instance == l.peer.Instance {
			s.links = s.links.Delete(o.id)
			effects = append(effects, cyclam.CloseLink{
				Link:   o.id,
				Reason: "replaced",
			})
		}
	})
	return s, effects
}

// yieldRoot releases the root claim if this node holds it outside the platform's
// region and a lead of that region has connected.
func (s State) yieldRoot(l link) (State, []cyclam.Effect) {
	foreign := s.Self.Locality.Region != s.Tuning.PlatformRegion
	if !foreign || !s.Holds(cyclam.RoleRoot) || l.role != cyclam.RoleLead || l.peer.Locality.Region != s.Tuning.PlatformRegion {
		return s, nil
	}
	before := s.Role()
	s, effects := s.resign(cyclam.RoleRoot)
	s, more := s.roleChanged(before)
	return s, append(effects, more...)
}

// resign releases a claim, so that other nodes need not wait for it to expire.
func (s State) resign(role cyclam.Role) (State, []cyclam.Effect) {
	claim := s.claims[role]
	if !claim.Held() {
		return s, nil
	}
	s = s.withClaim(role, claim.WithRelease())
	return s, []cyclam.Effect{cyclam.ReleaseClaim{
		Name:     claim.Name,
		Revision: claim.Revision(),
	}}
}

// handleWelcome makes the peer the parent, unless that would form a loop.
func (s State) handleWelcome(now time.Time, l link, m cyclam.Welcome) (State, []cyclam.Effect) {
	if l.id != s.search.dialing || slices.Contains(m.Path, s.Self.Instance) {
		s, effects := s.linkClosed(now, l.id, "loop")
		return s, append(effects, cyclam.CloseLink{
			Link:   l.id,
			Reason: "loop",
		})
	}
	l.peer = m.Self
	l.joined = true
	l.version = m.Version
	s = s.withLink(l)
	s.parent = l.id
	s.path = m.Path
	s.actingTop = false
	s.fallbackParent = s.search.platformSilent
	s.wantedRole = s.search.want
	s.search = parentSearch{}
	s.reported = cyclam.Report{}
	effects := []cyclam.Effect{logEffect("parent-joined", "peer", m.Self.Instance, "depth", len(m.Path))}
	s, more := s.handleSums(l, m.Sums)
	effects = append(effects, more...)
	s, more = s.learnEndpoints(now, l.id, []cyclam.Endpoint{m.Self})
	effects = append(effects, more...)
	if s.Self.Parent != m.Self.Instance {
		s.Self.Parent = m.Self.Instance
		s = s.withAnnouncement(now)
	}
	s, more = s.syncConf()
	return s, append(effects, more...)
}

// handleRedirect queues the addresses that a peer named as the next to dial.
func (s State) handleRedirect(now time.Time, l link, m cyclam.Redirect) (State, []cyclam.Effect) {
	s, effects := s.linkClosed(now, l.id, "redirected")
	if len(m.Try) > 0 {
		s.search.queue = append(toCandidates(m.Try), s.search.queue...)
		s.search.nextStep = time.Time{}
	}
	return s, append(effects, cyclam.CloseLink{
		Link:   l.id,
		Reason: "redirected",
	})
}

// Leave begins a planned stop: it announces the endpoint as leaving, redirects the
// children and releases all claims.
func (s State) Leave(now time.Time) (State, []cyclam.Effect) {
	s.leaving = true
	s.Self = s.Self.WithState(cyclam.EndpointLeaving)
	s = s.withAnnouncement(now)
	s, effects := s.flushNow(now)
	try := s.handoverAddresses()
	s.eachLink(func(l link) {
		if l.child && l.joined {
			effects = append(effects, sendEffect(l, cyclam.Redirect{
				Try: try,
			}))
		}
	})
	for _, role := range []cyclam.Role{cyclam.RoleRoot, cyclam.RoleLead, cyclam.RoleHub} {
		var more []cyclam.Effect
		s, more = s.resign(role)
		effects = append(effects, more...)
	}
	return s, effects
}

// handoverAddresses returns where the children of a leaving node are to go: to its
// parent, or to no address in particular if the node holds a role.
func (s State) handoverAddresses() []string {
	if l, ok := s.links.Get(s.parent); ok && s.Role() == "" {
		return []string{l.peer.Control}
	}
	return nil
}

// WithHealth announces the node's own upstream as ready or down if that changed.
func (s State) WithHealth(now time.Time, up bool) State {
	state := cyclam.EndpointDown
	if up {
		state = cyclam.EndpointReady
	}
	if s.leaving || s.Self.State == state {
		return s
	}
	s.Self = s.Self.WithState(state)
	return s.withAnnouncement(now)
}

// withAnnouncement increments the sequence of the node's own endpoint and queues it
// for all links.
func (s State) withAnnouncement(now time.Time) State {
	s.Self = s.Self.WithNextSequence()
	s.Roster, _ = s.Roster.With(now, s.Self)
	return s.withPendingNews(s.Self, 0)
}
