package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// lostChild is a child whose link was lost and that has not appeared elsewhere yet.
type lostChild struct {
	endpoint cyclam.Endpoint
	// deadline is when the child is declared gone.
	deadline time.Time
}

// linkClosed removes a link. The loss of the parent starts a search; a lost child
// gets the grace period to appear elsewhere.
func (s State) linkClosed(now time.Time, id cyclam.LinkID, reason string) (State, []cyclam.Effect) {
	l, ok := s.links.Get(id)
	if !ok {
		return s, nil
	}
	s.links = s.links.Delete(id)
	if id == s.search.dialing {
		s.search.dialing = 0
		s.search.failures++
		return s, nil
	}
	if id == s.parent {
		return s.parentLost(l, reason)
	}
	if l.child && l.joined {
		return s.childLost(now, l, reason)
	}
	return s, nil
}

// parentLost starts a search with the grandparent if that is in the same data
// centre. A grandparent elsewhere is not dialled, because otherwise each child of a
// lost hub would open its own link to another data centre.
func (s State) parentLost(l link, reason string) (State, []cyclam.Effect) {
	path := s.path
	s.parent = 0
	s.path = nil
	s.fallbackParent = false
	s.search = parentSearch{
		failures: 1,
	}
	if len(path) > 1 && s.Role() == "" {
		if e, ok := s.Roster.Get(path[len(path)-2]); ok && e.Locality == s.Self.Locality {
			s.search.queue = toCandidates([]string{e.Control})
		}
	}
	return s, []cyclam.Effect{logEffect("parent-lost", "peer", l.peer.Instance, "reason", reason)}
}

// roleRank orders the roles by how high in the tree their holders are.
var roleRank = map[cyclam.Role]int{
	cyclam.RoleHub:  1,
	cyclam.RoleLead: 2,
	cyclam.RoleRoot: 3,
}

// satisfies reports whether a role ranks at least as high as the wanted one.
func satisfies(role, want cyclam.Role) bool { return roleRank[role] >= roleRank[want] }

// leaveResignedParent leaves a parent that no longer holds the role for which it was
// chosen. That node may now need a parent in the subtree of this one.
func (s State) leaveResignedParent(effects []cyclam.Effect) (State, []cyclam.Effect) {
	s, effects = s.leaveParent(effects, "parent released its role")
	s.search = parentSearch{}
	return s, effects
}

// childLost records a lost child. The lead of another region is not recorded: the
// loss of its link more often means a partition between the regions than that the
// whole region is down, so its endpoints must not be declared gone.
func (s State) childLost(now time.Time, l link, reason string) (State, []cyclam.Effect) {
	effects := []cyclam.Effect{logEffect("child-lost", "peer", l.peer.Instance, "reason", reason)}
	if l.role == cyclam.RoleLead && l.peer.Locality.Region != s.Self.Locality.Region {
		return s, effects
	}
	current, ok := s.Roster.Get(l.peer.Instance)
	if !ok || current.Incarnation != l.peer.Incarnation {
		return s, effects
	}
	s.lostChildren = s.lostChildren.Set(string(l.peer.Instance), lostChild{
		endpoint: current,
		deadline: now.Add(s.Tuning.Grace),
	})
	return s, effects
}

// declareGone announces the lost children whose grace period is over as gone, with
// every endpoint whose chain of parents still leads to them.
func (s State) declareGone(now time.Time) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for it := s.lostChildren.Iterator(); !it.Done(); {
		name, l, _ := it.Next()
		if now.Before(l.deadline) {
			continue
		}
		s.lostChildren = s.lostChildren.Delete(name)
		current, ok := s.Roster.Get(l.endpoint.Instance)
		if !ok || current.Newer(l.endpoint) {
			continue
		}
		descendants := s.Roster.Descendants(l.endpoint.Instance)
		effects = append(effects, logEffect("endpoints-gone", "peer", l.endpoint.Instance, "count", len(descendants)))
		for _, e := range descendants {
			if e.Instance == s.Self.Instance {
				continue
			}
			s = s.withEndpoint(now, 0, e.WithState(cyclam.EndpointGone))
		}
	}
	return s, effects
}

// pruneInterval is the time between two removals of expired tombstones.
const pruneInterval = time.Hour

// prune removes endpoints that have been gone for longer than the tombstone age.
func (s State) prune(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.lastPrune) < pruneInterval {
		return s, nil
	}
	s.lastPrune = now
	s.Roster = s.Roster.WithoutExpired(now)
	return s, nil
}

// closeSilentLinks closes links on which nothing was received for too long.
func (s State) closeSilentLinks(now time.Time) (State, []cyclam.Effect) {
	var silent []link
	s.eachLink(func(l link) {
		limit := s.Tuning.LinkTimeout
		if !l.joined {
			limit = dialTimeout
		}
		if now.Sub(l.lastHeard) > limit {
			silent = append(silent, l)
		}
	})
	var effects []cyclam.Effect
	for _, l := range silent {
		var more []cyclam.Effect
		s, more = s.linkClosed(now, l.id, "silent")
		effects = append(effects, cyclam.CloseLink{
			Link:   l.id,
			Reason: "silent",
		})
		effects = append(effects, more...)
	}
	return s, effects
}
