package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// loss is a child that fell silent and has not been seen elsewhere yet.
type loss struct {
	endpoint cyclam.Endpoint
	until    time.Time
}

// closed forgets a link; a lost parent starts a search, and a lost child gets
// some time to appear elsewhere.
func (s State) closed(now time.Time, id cyclam.LinkID, reason string) (State, []cyclam.Effect) {
	l, ok := s.links.Get(id)
	if !ok {
		return s, nil
	}
	s.links = s.links.Delete(id)
	if id == s.seek.dial {
		s.seek.dial = 0
		s.seek.failed++
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

// parentLost starts a search with the grandparent, if that is in the same data
// centre; otherwise each child of a lost hub would open a link of its own to
// another data centre.
func (s State) parentLost(l link, reason string) (State, []cyclam.Effect) {
	path := s.path
	s.parent = 0
	s.path = nil
	s.makeshift = false
	s.seek = seek{
		failed: 1,
	}
	if len(path) > 1 && s.Role() == "" {
		if e, ok := s.Roster.Get(path[len(path)-2]); ok && e.Locality == s.Self.Locality {
			s.seek.queue = anyOf([]string{e.Control})
		}
	}
	return s, []cyclam.Effect{note("parent-lost", "peer", l.peer.Instance, "reason", reason)}
}

// rank orders the roles by how far up the tree their holders stand.
var rank = map[cyclam.Role]int{
	cyclam.RoleHub:  1,
	cyclam.RoleLead: 2,
	cyclam.RoleRoot: 3,
}

// covers reports whether a role is at least the wanted one.
func covers(role, want cyclam.Role) bool { return rank[role] >= rank[want] }

// parentResigned leaves a parent that no longer holds the role for which it was
// chosen. It may itself have to be fed from below this node.
func (s State) parentResigned(effects []cyclam.Effect) (State, []cyclam.Effect) {
	s, effects = s.leaveParent(effects, "parent gave its role up")
	s.seek = seek{}
	return s, effects
}

// childLost gives the child some time. A lost lead more often means that the
// regions are cut than that a region is dead, so nothing is declared for it.
func (s State) childLost(now time.Time, l link, reason string) (State, []cyclam.Effect) {
	effects := []cyclam.Effect{note("child-lost", "peer", l.peer.Instance, "reason", reason)}
	if l.role == cyclam.RoleLead && l.peer.Locality.Region != s.Self.Locality.Region {
		return s, effects
	}
	current, ok := s.Roster.Get(l.peer.Instance)
	if !ok || current.Incarnation != l.peer.Incarnation {
		return s, effects
	}
	s.lost = s.lost.Set(string(l.peer.Instance), loss{
		endpoint: current,
		until:    now.Add(s.Tuning.Grace),
	})
	return s, effects
}

// declareLost announces that lost children are gone, and with them everything
// whose chain of parents still leads to them.
func (s State) declareLost(now time.Time) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for it := s.lost.Iterator(); !it.Done(); {
		name, l, _ := it.Next()
		if now.Before(l.until) {
			continue
		}
		s.lost = s.lost.Delete(name)
		current, ok := s.Roster.Get(l.endpoint.Instance)
		if !ok || current.Newer(l.endpoint) {
			continue
		}
		below := s.Roster.Descendants(l.endpoint.Instance)
		effects = append(effects, note("endpoints-gone", "peer", l.endpoint.Instance, "count", len(below)))
		for _, e := range below {
			if e.Instance == s.Self.Instance {
				continue
			}
			s = s.adopt(now, 0, e.WithState(cyclam.EndpointGone))
		}
	}
	return s, effects
}

// prunePause is the time between two looks for tombstones to forget.
const prunePause = time.Hour

// prune forgets endpoints that have long been gone.
func (s State) prune(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.pruned) < prunePause {
		return s, nil
	}
	s.pruned = now
	s.Roster = s.Roster.Pruned(now)
	return s, nil
}

// dropSilent closes links on which nothing was heard for too long.
func (s State) dropSilent(now time.Time) (State, []cyclam.Effect) {
	var silent []link
	s.each(func(l link) {
		limit := s.Tuning.LinkTimeout
		if !l.joined {
			limit = dialLimit
		}
		if now.Sub(l.heard) > limit {
			silent = append(silent, l)
		}
	})
	var effects []cyclam.Effect
	for _, l := range silent {
		var more []cyclam.Effect
		s, more = s.closed(now, l.id, "silent")
		effects = append(effects, cyclam.CloseLink{
			Link:   l.id,
			Reason: "silent",
		})
		effects = append(effects, more...)
	}
	return s, effects
}
