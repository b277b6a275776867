package proxy

import (
	"cmp"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
)

// allowedReleases returns the candidates to which a rollout lets a call go. If the call is one of
// those that the new release gets, it also returns the upstream of that release. Only the first
// attempt of a call may be.
func (n *Node) allowedReleases(c *call, candidates []picker.Candidate, now time.Time) ([]picker.Candidate, *picker.Candidate) {
	if !n.followsRollouts() {
		return candidates, nil
	}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[c.service]
	if s == nil {
		return n.rollouts.withoutUnordered(c.service, candidates, now), nil
	}
	age := now.Sub(s.since)
	var open, sampled []picker.Candidate
	for _, cand := range candidates {
		switch canary.AccessOf(s.Rollout, age, s.halted != "", cand.Endpoint.Release) {
		case canary.Open:
			open = append(open, cand)
		case canary.Sampled:
			sampled = append(sampled, cand)
		}
	}
	if len(sampled) == 0 || c.sampled || c.sends > 0 || c.suspected {
		return open, nil
	}
	c.sampled = true
	step := n.Settings.Rollout.Step(s.Status.Step)
	sampler, picked := n.rollouts.sampler(c.service).Next(step, age)
	defer func() { n.rollouts.setSampler(c.service, sampler) }()
	if !picked {
		return open, nil
	}
	if i, ok := pickFresh(s.Order, age, step.Share > n.Settings.Rollout.Share, sampled, now); ok {
		return open, &sampled[i]
	}
	sampler = sampler.WithReturned()
	return open, nil
}

// pickFresh returns the first upstream of the new release that has a free slot, in an order that
// all nodes share, so that one upstream after the other is busy. All upstreams take part if the
// share is large.
func pickFresh(order string, age time.Duration, all bool, candidates []picker.Candidate, now time.Time) (int, bool) {
	slices.SortFunc(candidates, func(a, b picker.Candidate) int {
		return cmp.Compare(canary.Hash(order, a.Endpoint.Instance), canary.Hash(order, b.Endpoint.Instance))
	})
	best, bestRank := -1, 0
	for i, cand := range candidates {
		rank, early := canary.Rank(age, i, len(candidates))
		busy := cand.Load.Running + cand.Load.Waiting + cand.InFlight
		free := busy < max(int(cand.Endpoint.Slots), cand.Load.Limit)
		if all {
			rank, early = busy, true
		}
		usable := early && free && cand.Endpoint.State == cyclam.EndpointReady && !cand.Load.Leaving && !now.Before(cand.AvoidUntil)
		if usable && (best < 0 || rank < bestRank) {
			best, bestRank = i, rank
		}
	}
	return best, best >= 0
}

// withoutUnordered leaves out upstreams of a release that has just appeared beside another one:
// the order for it may be on its way. The caller holds the lock.
func (r *rollouts) withoutUnordered(service cyclam.ServiceName, candidates []picker.Candidate, now time.Time) []picker.Candidate {
	seen := r.seen[service]
	first := seen == nil
	if first {
		seen = map[string]time.Time{}
		if r.seen == nil {
			r.seen = map[cyclam.ServiceName]map[string]time.Time{}
		}
		r.seen[service] = seen
	}
	var open []picker.Candidate
	for _, cand := range candidates {
		release := cand.Endpoint.Release
		if _, ok := seen[release]; !ok && release != "" {
			seen[release] = now
			if first {
				seen[release] = time.Time{}
			}
		}
		if release == "" || now.Sub(seen[release]) >= unorderedHold {
			open = append(open, cand)
		}
	}
	if len(open) == 0 {
		return candidates
	}
	return open
}

// rolloutMark returns the order by which an attempt goes to an upstream of a release; empty if it
// needs none.
func (n *Node) rolloutMark(service cyclam.ServiceName, release string) string {
	if !n.followsRollouts() || release == "" {
		return ""
	}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[service]
	if s == nil || s.Release != release || s.halted != "" || s.Stage() == cyclam.RolloutPending || s.Stage() == cyclam.RolloutRolledBack {
		return ""
	}
	return s.Order
}

// withholds reports whether a rollout keeps an offer from the local upstream. The node beside the
// upstream checks it as well, as a sender may know less. The caller holds schedMu.
func (n *Node) withholds(offer *wire.Offer, now time.Time) bool {
	if !n.followsRollouts() {
		return false
	}
	release := n.upstream.releaseOf(n.upstream.procs.Present().ID)
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[n.Settings.Self.Service]
	mark := offer.GetRollout()
	switch {
	case s == nil && !n.rollouts.known:
		return release != "" && mark == "" && now.Sub(n.startTime) < unorderedHold
	case s == nil, mark != "" && mark != s.Order:
		return false
	}
	switch canary.AccessOf(s.Rollout, now.Sub(s.since), s.halted != "", release) {
	case canary.Open:
		return false
	case canary.Sampled:
		return mark != s.Order
	default:
		// A sender that marks its offer may have heard of a decision before this node.
		return mark == "" || s.halted != "" || s.Stage() != cyclam.RolloutPending
	}
}

// isFenced reports whether nothing runs at the local upstream and nothing will, because another
// release takes over.
func (n *Node) isFenced(service cyclam.ServiceName) bool {
	if service != n.Settings.Self.Service {
		return false
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	release := n.upstream.releaseOf(n.upstream.procs.Present().ID)
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[service]
	return s != nil && s.Stage() == cyclam.RolloutHandover && s.halted == "" && release != s.Release && !n.scheduler.Busy()
}
