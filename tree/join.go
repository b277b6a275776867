package tree

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// redirects is how many children a full node names.
const redirects = 3

// opened greets the peer that this node has reached.
func (s State) opened(e cyclam.LinkOpened) (State, []cyclam.Effect) {
	l, ok := s.links.Get(e.Link)
	if !ok {
		return s, []cyclam.Effect{cyclam.CloseLink{
			Link:   e.Link,
			Reason: "not wanted any more",
		}}
	}
	l.heard = e.Now
	s = s.withLink(l)
	return s, []cyclam.Effect{send(l, cyclam.Hello{
		Self:    s.Self,
		Role:    s.Role(),
		Want:    s.seek.want,
		Version: s.Conf.Version,
		Sums:    s.Roster.Sums()[:],
	})}
}

// hello accepts a child, or sends it elsewhere. A child that comes from another
// parent announces itself anew once it is welcome, so its word is awaited.
func (s State) hello(now time.Time, l link, m cyclam.Hello) (State, []cyclam.Effect) {
	l.peer = m.Self
	l.role = m.Role
	l.version = m.Version
	if try, refused := s.refuses(m); refused {
		s.links = s.links.Delete(l.id)
		return s, []cyclam.Effect{
			send(l, cyclam.Redirect{
				Try: try,
			}),
			cyclam.CloseLink{
				Link:   l.id,
				Reason: "redirected",
			},
		}
	}
	s, effects := s.dropEarlier(l)
	l.joined = true
	s = s.withLink(l)
	s.lost = s.lost.Delete(string(m.Self.Instance))
	effects = append(effects, send(l, cyclam.Welcome{
		Self:    s.Self,
		Path:    s.Path(),
		Version: s.Conf.Version,
		Sums:    s.Roster.Sums()[:],
	}))
	s, more := s.compared(l, m.Sums)
	effects = append(effects, more...)
	if m.Self.Parent == s.Self.Instance {
		s, more = s.learn(now, l.id, []cyclam.Endpoint{m.Self})
		effects = append(effects, more...)
	}
	s, more = s.syncAll()
	effects = append(effects, more...)
	s, more = s.yieldRoot(l)
	return s, append(effects, more...)
}

// refuses says whether a child must go elsewhere, and where.
func (s State) refuses(m cyclam.Hello) ([]string, bool) {
	switch {
	case s.leaving, !s.mayFeed():
		return nil, true
	case slices.Contains(s.path, m.Self.Instance), m.Self.Instance == s.Self.Instance:
		return nil, true
	case m.Want != "" && !s.Holds(m.Want):
		return nil, true
	case m.Role == cyclam.RoleHub || m.Role == cyclam.RoleLead:
		return nil, s.Role() == "" && !s.acting
	default:
		return s.overflow(m)
	}
}

// mayFeed reports whether what this node holds comes from somewhere.
func (s State) mayFeed() bool { return s.Attached() || s.Role() != "" }

func (s State) overflow(m cyclam.Hello) ([]string, bool) {
	var plain []string
	again := false
	s.each(func(l link) {
		if l.child && l.joined && l.role == "" {
			again = again || l.peer.Instance == m.Self.Instance
			plain = append(plain, l.peer.Control)
		}
	})
	if len(plain) < s.Tuning.FanOut || again {
		return nil, false
	}
	start := int(uint64(m.Self.Incarnation) % uint64(len(plain)))
	var try []string
	for i := range min(redirects, len(plain)) {
		try = append(try, plain[(start+i)%len(plain)])
	}
	return try, true
}

// dropEarlier closes an earlier link of the same child.
func (s State) dropEarlier(l link) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	s.each(func(o link) {
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

// yieldRoot gives the root back to the platform's region.
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

// resign gives a claim back, so that others need not wait for it to lapse.
func (s State) resign(role cyclam.Role) (State, []cyclam.Effect) {
	claim := s.claims[role]
	if !claim.Held() {
		return s, nil
	}
	s = s.withClaim(role, claim.Released())
	return s, []cyclam.Effect{cyclam.ReleaseClaim{
		Name:     claim.Name,
		Revision: claim.Revision(),
	}}
}

// welcome takes the peer as parent.
func (s State) welcome(now time.Time, l link, m cyclam.Welcome) (State, []cyclam.Effect) {
	if l.id != s.seek.dial || slices.Contains(m.Path, s.Self.Instance) {
		s, effects := s.closed(now, l.id, "loop")
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
	s.acting = false
	s.makeshift = s.seek.fallback
	s.want = s.seek.want
	s.seek = seek{}
	s.reported = cyclam.Report{}
	effects := []cyclam.Effect{note("parent-joined", "peer", m.Self.Instance, "depth", len(m.Path))}
	s, more := s.compared(l, m.Sums)
	effects = append(effects, more...)
	s, more = s.learn(now, l.id, []cyclam.Endpoint{m.Self})
	effects = append(effects, more...)
	if s.Self.Parent != m.Self.Instance {
		s.Self.Parent = m.Self.Instance
		s = s.announce(now)
	}
	s, more = s.syncAll()
	return s, append(effects, more...)
}

// redirected follows the addresses that a peer named.
func (s State) redirected(now time.Time, l link, m cyclam.Redirect) (State, []cyclam.Effect) {
	s, effects := s.closed(now, l.id, "redirected")
	if len(m.Try) > 0 {
		s.seek.queue = append(anyOf(m.Try), s.seek.queue...)
		s.seek.next = time.Time{}
	}
	return s, append(effects, cyclam.CloseLink{
		Link:   l.id,
		Reason: "redirected",
	})
}

// Leave hands over everything before a planned stop.
func (s State) Leave(now time.Time) (State, []cyclam.Effect) {
	s.leaving = true
	s.Self = s.Self.WithState(cyclam.EndpointLeaving)
	s = s.announce(now)
	s, effects := s.flushNow(now)
	try := s.successors()
	s.each(func(l link) {
		if l.child && l.joined {
			effects = append(effects, send(l, cyclam.Redirect{
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

// successors returns the parent's address, where children go.
func (s State) successors() []string {
	if l, ok := s.links.Get(s.parent); ok && s.Role() == "" {
		return []string{l.peer.Control}
	}
	return nil
}

// WithHealth announces whether the own upstream takes calls.
func (s State) WithHealth(now time.Time, up bool) State {
	state := cyclam.EndpointDown
	if up {
		state = cyclam.EndpointReady
	}
	if s.leaving || s.Self.State == state {
		return s
	}
	s.Self = s.Self.WithState(state)
	return s.announce(now)
}

// announce makes the own endpoint's latest state news.
func (s State) announce(now time.Time) State {
	s.Self = s.Self.Bumped()
	s.Roster, _ = s.Roster.With(now, s.Self)
	return s.passOn(s.Self, 0)
}
