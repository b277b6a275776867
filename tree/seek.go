package tree

import (
	"slices"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/lease"
)

// The pace of a search for a parent.
const (
	dialLimit     = time.Second
	searchPause   = 300 * time.Millisecond
	redialPause   = time.Second
	fallbackPause = time.Second
	// makeshiftPause is between two looks at the platform by a node that has
	// found a parent without it.
	makeshiftPause = 5 * time.Second
	// rereadShare is the share of a term over which observers of one claim
	// spread their reads once it may have lapsed.
	rereadShare = 3
	// fallbackTries is how many peers are tried between two reads of a claim
	// while the platform does not answer.
	fallbackTries = 3
	// foreignRootTerms is how many terms a lead outside the platform's region
	// waits before it takes over the root.
	foreignRootTerms = 3
)

// seek is a search for a parent.
type seek struct {
	queue []candidate
	// want is the role that the peer being dialled has to hold.
	want cyclam.Role
	// known is set once the target's claim has been read in this search.
	known bool
	// reread is when the target's claim is worth reading again: not before it
	// can have lapsed.
	reread time.Time
	// fallback is set once the platform has not answered in this search.
	fallback bool
	failed   int
	dial     cyclam.LinkID
	next     time.Time
	since    time.Time
}

// candidate is a peer to try as parent. An address taken from a claim may belong
// to another process by now, so the peer has to hold the role itself.
type candidate struct {
	address string
	want    cyclam.Role
}

func anyOf(addresses []string) []candidate {
	out := make([]candidate, 0, len(addresses))
	for _, address := range addresses {
		out = append(out, candidate{
			address: address,
		})
	}
	return out
}

// target returns the role whose holder is to feed this node.
func (s State) target() cyclam.Role {
	switch s.Role() {
	case cyclam.RoleRoot:
		return ""
	case cyclam.RoleLead:
		return cyclam.RoleRoot
	case cyclam.RoleHub:
		return cyclam.RoleLead
	default:
		return cyclam.RoleHub
	}
}

// search takes the next step towards a parent.
func (s State) search(now time.Time) (State, []cyclam.Effect) {
	target := s.target()
	if target == "" || s.settled() || s.leaving || s.seek.dial != 0 || now.Before(s.seek.next) {
		return s, nil
	}
	if s.seek.since.IsZero() {
		s.seek.since = now
	}
	for len(s.seek.queue) > 0 {
		next := s.seek.queue[0]
		s.seek.queue = s.seek.queue[1:]
		if next.address != s.Self.Control && next.address != "" {
			return s.dial(now, next)
		}
	}
	return s.consult(now, target)
}

// settled reports whether the node has the parent that it should have. One that
// was chosen while the platform did not answer is looked at again.
func (s State) settled() bool { return s.parent != 0 && !s.makeshift }

func (s State) dial(now time.Time, to candidate) (State, []cyclam.Effect) {
	s.nextLink++
	s.seek.dial = s.nextLink
	s.seek.want = to.want
	s = s.withLink(link{
		id:    s.nextLink,
		heard: now,
	})
	return s, []cyclam.Effect{cyclam.OpenLink{
		Link:    s.nextLink,
		Address: to.address,
	}}
}

// consult reads the target's claim, or takes it over when it has lapsed.
func (s State) consult(now time.Time, target cyclam.Role) (State, []cyclam.Effect) {
	if now.Before(s.seek.reread) {
		return s.redial(now, target)
	}
	claim, op := s.claims[target].Seek(now, s.seek.known && s.mayTake(now, target))
	s = s.withClaim(target, claim)
	s.rand, s.seek.next = s.pause(now, searchPause)
	effects := s.claimOp(target, claim, op)
	if op == lease.OpRead && s.seek.failed > 0 {
		s, effects = s.observeAbove(now, target, effects)
	}
	return s, effects
}

// redial tries the known holder again; a herd of nodes whose hub is gone must
// not ask the platform meanwhile.
func (s State) redial(now time.Time, target cyclam.Role) (State, []cyclam.Effect) {
	s.rand, s.seek.next = s.pause(now, redialPause)
	holder, _ := s.claims[target].Holder()
	if holder.Holder.Instance == s.Self.Instance {
		return s, nil
	}
	return s.dial(now, candidate{
		address: holder.Control,
		want:    target,
	})
}

// observeAbove also reads the claims above the target, so that their terms run
// at the same time as the target's.
func (s State) observeAbove(now time.Time, target cyclam.Role, effects []cyclam.Effect) (State, []cyclam.Effect) {
	for _, role := range []cyclam.Role{cyclam.RoleLead, cyclam.RoleRoot} {
		if role == target {
			continue
		}
		claim, op := s.claims[role].Seek(now, false)
		s = s.withClaim(role, claim)
		effects = append(effects, s.claimOp(role, claim, op)...)
	}
	return s, effects
}

func (s State) mayTake(now time.Time, target cyclam.Role) bool {
	if target != cyclam.RoleRoot || s.Self.Locality.Region == s.Tuning.PlatformRegion {
		return true
	}
	return now.Sub(s.seek.since) >= foreignRootTerms*s.Tuning.Term
}

func (s State) pause(now time.Time, span time.Duration) (cyclam.Rand, time.Time) {
	rand, wait := s.rand.Jitter(span)
	return rand, now.Add(wait)
}

func (s State) claimOp(role cyclam.Role, claim lease.Claim, op lease.Op) []cyclam.Effect {
	switch op {
	case lease.OpRead:
		return []cyclam.Effect{cyclam.ReadClaim{
			Role: role,
			Name: claim.Name,
		}}
	case lease.OpWrite:
		return []cyclam.Effect{cyclam.WriteClaim{
			Role:   role,
			Object: claim.Object(),
		}}
	default:
		return nil
	}
}

// renew keeps the claims that this node holds.
func (s State) renew(now time.Time) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, role := range []cyclam.Role{cyclam.RoleHub, cyclam.RoleLead, cyclam.RoleRoot} {
		claim, op := s.claims[role].Next(now)
		if op == lease.OpNone {
			continue
		}
		s = s.withClaim(role, claim)
		effects = append(effects, s.claimOp(role, claim, op)...)
	}
	return s, effects
}

// claimRead takes in what a claim object says.
func (s State) claimRead(e cyclam.ClaimRead) (State, []cyclam.Effect) {
	before := s.Role()
	claim, learnt := s.claims[e.Role].Read(e.Now, e.Object, e.Err)
	s = s.withClaim(e.Role, claim)
	s, effects := s.roleChanged(before)
	if e.Role != s.target() || s.settled() {
		return s, effects
	}
	if !learnt {
		return s.fallBack(e.Now, effects)
	}
	if s.parent != 0 {
		s.seek = seek{}
		s, effects = s.leaveParent(effects, "platform answers again")
	}
	s.seek.fallback = false
	holder, held := claim.Holder()
	s.seek.known = !held || claim.Expired(e.Now)
	if s.seek.known {
		return s, effects
	}
	s.rand, s.seek.reread = s.pause(claim.ExpiresAt(), s.Tuning.Term/rereadShare)
	if holder.Holder.Instance != s.Self.Instance {
		s.seek.queue = []candidate{{
			address: holder.Control,
			want:    e.Role,
		}}
	}
	return s, effects
}

// claimWritten takes in whether a claim was taken or renewed.
func (s State) claimWritten(e cyclam.ClaimWritten) (State, []cyclam.Effect) {
	before := s.Role()
	claim, op := s.claims[e.Role].Wrote(e.Now, e.Object, e.Err)
	s = s.withClaim(e.Role, claim)
	s, effects := s.roleChanged(before)
	return s, append(effects, s.claimOp(e.Role, claim, op)...)
}

// roleChanged starts a new search when the node's role, and so its parent's,
// has changed.
func (s State) roleChanged(before cyclam.Role) (State, []cyclam.Effect) {
	after := s.Role()
	if before == after {
		return s, nil
	}
	effects := []cyclam.Effect{note("role-changed", "from", string(before), "to", string(after))}
	s.acting = false
	s.path = nil
	s.seek = seek{}
	if s.parent == 0 {
		return s, effects
	}
	return s.leaveParent(effects, "role changed")
}

func (s State) leaveParent(effects []cyclam.Effect, reason string) (State, []cyclam.Effect) {
	effects = append(effects, cyclam.CloseLink{
		Link:   s.parent,
		Reason: reason,
	})
	s.links = s.links.Delete(s.parent)
	s.parent = 0
	s.path = nil
	s.makeshift = false
	return s, effects
}

// fallBack looks for a parent among the peers that are known while the platform
// does not answer. Only peers earlier in name order are tried, so that the
// first one alive becomes the top of its part.
func (s State) fallBack(now time.Time, effects []cyclam.Effect) (State, []cyclam.Effect) {
	s.rand, s.seek.next = s.pause(now, fallbackPause)
	if s.parent != 0 {
		s.rand, s.seek.next = s.pause(now, makeshiftPause)
		return s, effects
	}
	s.seek.fallback = true
	candidates := s.earlierPeers()
	if len(candidates) == 0 {
		s.seek.queue = anyOf(s.Tuning.Seeds)
		if s.Conf.Version > 0 && !s.acting {
			s.acting = true
			effects = append(effects, note("acting-top", "instance", s.Self.Instance))
		}
		return s, effects
	}
	for range fallbackTries {
		var i int
		s.rand, i = s.rand.IntN(len(candidates))
		s.seek.queue = append(slices.Clip(s.seek.queue), candidate{
			address: candidates[i].Control,
		})
	}
	return s, effects
}

// earlierPeers returns the live peers that precede this one: of its own data
// centre if there are any, else of its region, else of all.
func (s State) earlierPeers() []cyclam.Endpoint {
	var centre, region, all []cyclam.Endpoint
	for _, e := range s.Roster.All() {
		if e.State == cyclam.EndpointLeaving || strings.Compare(string(e.Instance), string(s.Self.Instance)) >= 0 {
			continue
		}
		all = append(all, e)
		if e.Locality.Region == s.Self.Locality.Region {
			region = append(region, e)
		}
		if e.Locality == s.Self.Locality {
			centre = append(centre, e)
		}
	}
	switch {
	case len(centre) > 0:
		return centre
	case len(region) > 0:
		return region
	default:
		return all
	}
}
