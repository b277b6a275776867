package tree

import (
	"slices"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/lease"
)

// The timing and limits of a search for a parent.
const (
	// dialTimeout is how long a link may take until both sides have joined.
	dialTimeout = time.Second
	// searchInterval is the jittered time between two queries of a claim.
	searchInterval = 300 * time.Millisecond
	// redialInterval is the jittered time between two dials of a known holder.
	redialInterval = time.Second
	// fallbackInterval is the jittered time between two search steps while the
	// platform does not reply.
	fallbackInterval = time.Second
	// fallbackRecheckInterval is the jittered time between two reads of the claim
	// by a node that has found a parent without the platform.
	fallbackRecheckInterval = 5 * time.Second
	// rereadJitterDivisor gives the part of a term, 1/3, over which the observers
	// of one claim spread their reads once it may have expired.
	rereadJitterDivisor = 3
	// fallbackTries is how many peers are dialled between two reads of a claim
	// while the platform does not reply.
	fallbackTries = 3
	// foreignRootTerms is how many terms a lead outside the platform's region
	// waits before it may take over the root.
	foreignRootTerms = 3
)

// parentSearch is the state of a search for a parent.
type parentSearch struct {
	queue []candidate
	// want is the role that the peer being dialled has to hold.
	want cyclam.Role
	// claimFree is set once the target's claim has been read in this search and
	// found missing or expired, so that this node may acquire it.
	claimFree bool
	// rereadAt is when the target's claim is read again, which is not before the
	// claim can have expired.
	rereadAt time.Time
	// platformSilent is set while the platform does not reply in this search.
	platformSilent bool
	// failures counts dialled links that were lost; a lost parent counts as one.
	failures int
	// dialing is the link being dialled, 0 if there is none.
	dialing cyclam.LinkID
	// nextStep is the earliest time of the next step.
	nextStep  time.Time
	startedAt time.Time
}

// candidate is a peer to dial as a parent. An address taken from a claim may
// belong to another process by now, so that peer itself has to hold the wanted
// role.
type candidate struct {
	address string
	want    cyclam.Role
}

// toCandidates returns candidates that need not hold any role.
func toCandidates(addresses []string) []candidate {
	out := make([]candidate, 0, len(addresses))
	for _, address := range addresses {
		out = append(out, candidate{
			address: address,
		})
	}
	return out
}

// parentRole returns the role whose holder is to be this node's parent; it is empty
// for the root.
func (s State) parentRole() cyclam.Role {
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

// searchParent takes the next step of the search: it dials the next candidate, or
// queries the claim of the parent's role if there is none.
func (s State) searchParent(now time.Time) (State, []cyclam.Effect) {
	target := s.parentRole()
	if target == "" || s.hasFinalParent() || s.leaving || s.search.dialing != 0 || now.Before(s.search.nextStep) {
		return s, nil
	}
	if s.search.startedAt.IsZero() {
		s.search.startedAt = now
	}
	for len(s.search.queue) > 0 {
		next := s.search.queue[0]
		s.search.queue = s.search.queue[1:]
		if next.address != s.Self.Control && next.address != "" {
			return s.dial(now, next)
		}
	}
	return s.queryClaim(now, target)
}

// hasFinalParent reports whether the search is over. A parent that was chosen while
// the platform did not reply is not final: the claim is read again later.
func (s State) hasFinalParent() bool { return s.parent != 0 && !s.fallbackParent }

func (s State) dial(now time.Time, to candidate) (State, []cyclam.Effect) {
	s.nextLink++
	s.search.dialing = s.nextLink
	s.search.want = to.want
	s = s.withLink(link{
		id:        s.nextLink,
		lastHeard: now,
	})
	return s, []cyclam.Effect{cyclam.OpenLink{
		Link:    s.nextLink,
		Address: to.address,
	}}
}

// queryClaim reads the target's claim, or acquires it once it has expired.
func (s State) queryClaim(now time.Time, target cyclam.Role) (State, []cyclam.Effect) {
	if now.Before(s.search.rereadAt) {
		return s.redialHolder(now, target)
	}
	claim, op := s.claims[target].Seek(now, s.search.claimFree && s.mayTakeOver(now, target))
	s = s.withClaim(target, claim)
	s.rand, s.search.nextStep = s.jitter(now, searchInterval)
	effects := s.claimEffects(target, claim, op)
	if op == lease.OpRead && s.search.failures > 0 {
		s, effects = s.readHigherClaims(now, target, effects)
	}
	return s, effects
}

// redialHolder dials the known holder again. Until its claim may have expired, the
// platform is not read: when a hub is lost, all its children search at once and
// would overload the platform.
func (s State) redialHolder(now time.Time, target cyclam.Role) (State, []cyclam.Effect) {
	s.rand, s.search.nextStep = s.jitter(now, redialInterval)
	holder, _ := s.claims[target].Holder()
	if holder.Holder.Instance == s.Self.Instance {
		return s, nil
	}
	return s.dial(now, candidate{
		address: holder.Control,
		want:    target,
	})
}

// readHigherClaims also reads the claims above the target, so that their terms run
// at the same time as the target's instead of one after another.
func (s State) readHigherClaims(now time.Time, target cyclam.Role, effects []cyclam.Effect) (State, []cyclam.Effect) {
	for _, role := range []cyclam.Role{cyclam.RoleLead, cyclam.RoleRoot} {
		if role == target {
			continue
		}
		claim, op := s.claims[role].Seek(now, false)
		s = s.withClaim(role, claim)
		effects = append(effects, s.claimEffects(role, claim, op)...)
	}
	return s, effects
}

// mayTakeOver reports whether this node may acquire the claim once it has expired.
// Nodes outside the platform's region wait longer for the root, so that a node in
// that region can take it first.
func (s State) mayTakeOver(now time.Time, target cyclam.Role) bool {
	if target != cyclam.RoleRoot || s.Self.Locality.Region == s.Tuning.PlatformRegion {
		return true
	}
	return now.Sub(s.search.startedAt) >= foreignRootTerms*s.Tuning.Term
}

// jitter returns a time after now, by a random wait derived from span.
func (s State) jitter(now time.Time, span time.Duration) (cyclam.Rand, time.Time) {
	rand, wait := s.rand.Jitter(span)
	return rand, now.Add(wait)
}

// claimEffects returns the platform call for an operation on a claim.
func (s State) claimEffects(role cyclam.Role, claim lease.Claim, op lease.Op) []cyclam.Effect {
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

// renewClaims renews the claims that this node holds.
func (s State) renewClaims(now time.Time) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, role := range []cyclam.Role{cyclam.RoleHub, cyclam.RoleLead, cyclam.RoleRoot} {
		claim, op := s.claims[role].Renew(now)
		if op == lease.OpNone {
			continue
		}
		s = s.withClaim(role, claim)
		effects = append(effects, s.claimEffects(role, claim, op)...)
	}
	return s, effects
}

// claimRead applies the result of reading a claim, and continues the search if it is
// the claim of the parent's role.
func (s State) claimRead(e cyclam.ClaimRead) (State, []cyclam.Effect) {
	before := s.Role()
	claim, learnt := s.claims[e.Role].WithRead(e.Now, e.Object, e.Err)
	s = s.withClaim(e.Role, claim)
	s, effects := s.roleChanged(before)
	if e.Role != s.parentRole() || s.hasFinalParent() {
		return s, effects
	}
	if !learnt {
		return s.searchKnownPeers(e.Now, effects)
	}
	if s.parent != 0 {
		s.search = parentSearch{}
		s, effects = s.leaveParent(effects, "platform replies again")
	}
	s.search.platformSilent = false
	holder, held := claim.Holder()
	s.search.claimFree = !held || claim.Expired(e.Now)
	if s.search.claimFree {
		return s, effects
	}
	s.rand, s.search.rereadAt = s.jitter(claim.ExpiresAt(), s.Tuning.Term/rereadJitterDivisor)
	if holder.Holder.Instance != s.Self.Instance {
		s.search.queue = []candidate{{
			address: holder.Control,
			want:    e.Role,
		}}
	}
	return s, effects
}

// claimWritten applies the result of acquiring or renewing a claim.
func (s State) claimWritten(e cyclam.ClaimWritten) (State, []cyclam.Effect) {
	before := s.Role()
	claim, op := s.claims[e.Role].WithWrite(e.Now, e.Object, e.Err)
	s = s.withClaim(e.Role, claim)
	s, effects := s.roleChanged(before)
	return s, append(effects, s.claimEffects(e.Role, claim, op)...)
}

// roleChanged starts a new search if the node's role has changed, because the role
// that its parent must hold changes with it.
func (s State) roleChanged(before cyclam.Role) (State, []cyclam.Effect) {
	after := s.Role()
	if before == after {
		return s, nil
	}
	effects := []cyclam.Effect{logEffect("role-changed", "from", string(before), "to", string(after))}
	s.actingTop = false
	s.path = nil
	s.search = parentSearch{}
	if s.parent == 0 {
		return s, effects
	}
	return s.leaveParent(effects, "role changed")
}

// leaveParent closes the link to the parent.
func (s State) leaveParent(effects []cyclam.Effect, reason string) (State, []cyclam.Effect) {
	effects = append(effects, cyclam.CloseLink{
		Link:   s.parent,
		Reason: reason,
	})
	s.links = s.links.Delete(s.parent)
	s.parent = 0
	s.path = nil
	s.fallbackParent = false
	return s, effects
}

// searchKnownPeers selects candidates among the known peers while the platform does
// not reply. Only peers that precede this node in name order are tried, so that no
// loop forms and the first live node becomes the acting top of its part. A node
// without such peers tries the seeds and becomes the acting top itself if it holds a
// configuration.
func (s State) searchKnownPeers(now time.Time, effects []cyclam.Effect) (State, []cyclam.Effect) {
	s.rand, s.search.nextStep = s.jitter(now, fallbackInterval)
	if s.parent != 0 {
		s.rand, s.search.nextStep = s.jitter(now, fallbackRecheckInterval)
		return s, effects
	}
	s.search.platformSilent = true
	candidates := s.earlierPeers()
	if len(candidates) == 0 {
		s.search.queue = toCandidates(s.Tuning.Seeds)
		if s.Conf.Version > 0 && !s.actingTop {
			s.actingTop = true
			effects = append(effects, logEffect("acting-top", "instance", s.Self.Instance))
		}
		return s, effects
	}
	for range fallbackTries {
		var i int
		s.rand, i = s.rand.IntN(len(candidates))
		s.search.queue = append(slices.Clip(s.search.queue), candidate{
			address: candidates[i].Control,
		})
	}
	return s, effects
}

// earlierPeers returns the live peers that precede this node in name order: those
// of its data centre if there are any, else those of its region, else all.
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
