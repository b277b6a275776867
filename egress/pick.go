package egress

import (
	"hash/fnv"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// tiers is how many degrees of nearness are told apart: the same data centre,
// the same region, elsewhere.
const tiers = 3

// doubtShare is the share of ejected upstreams above which the evidence against
// them is doubted once no other upstream takes the call.
const doubtShare = 0.5

// pick chooses an endpoint: allowed places first, then the nearest tier with a
// usable upstream, then the better of two random choices. Without a choice it
// returns no endpoint, and how soon one may be free where all are overloaded.
func (s State) pick(v View, now time.Time, c call) (State, cyclam.Endpoint, time.Duration) {
	allowed := s.allowed(v, c)
	if c.key != "" && !c.repeat {
		return s, home(allowed, c.key), 0
	}
	var shed time.Duration
	var ejected []cyclam.Endpoint
	for _, tier := range s.byTier(allowed, c.tried) {
		found := s.divide(now, tier)
		if len(found.usable) > 0 {
			return s.better(now, found.usable)
		}
		ejected = append(ejected, found.ejected...)
		if found.wait > 0 && (shed == 0 || found.wait < shed) {
			shed = found.wait
		}
	}
	if float64(len(ejected)) > doubtShare*float64(len(allowed)) {
		return s.better(now, ejected)
	}
	return s, cyclam.Endpoint{}, shed
}

// allowed returns the endpoints of the call's service that are ready and in a
// place that every rule allows.
func (s State) allowed(v View, c call) []cyclam.Endpoint {
	var out []cyclam.Endpoint
	for _, e := range v.Roster.Service(c.route.Service) {
		if e.State == cyclam.EndpointReady && v.Conf.Set.Allows(c.route.Service, e.Locality) {
			out = append(out, e)
		}
	}
	return out
}

func (s State) byTier(endpoints []cyclam.Endpoint, tried []cyclam.InstanceName) [tiers][]cyclam.Endpoint {
	var out [tiers][]cyclam.Endpoint
	for _, e := range endpoints {
		if slices.Contains(tried, e.Instance) {
			continue
		}
		t := s.tier(e.Locality)
		out[t] = append(out[t], e)
	}
	return out
}

func (s State) tier(at cyclam.Locality) int {
	switch {
	case at == s.Locality:
		return 0
	case at.Region == s.Locality.Region:
		return 1
	default:
		return 2
	}
}

// divided is a tier's endpoints by what this node has seen of them.
type divided struct {
	usable  []cyclam.Endpoint
	ejected []cyclam.Endpoint
	// wait is how soon the first overloaded endpoint may be tried again.
	wait time.Duration
}

func (s State) divide(now time.Time, tier []cyclam.Endpoint) divided {
	var out divided
	for _, e := range tier {
		p := s.peerOf(now, e)
		switch {
		case p.shed.After(now):
			if left := p.shed.Sub(now); out.wait == 0 || left < out.wait {
				out.wait = left
			}
		case p.ejected.After(now):
			out.ejected = append(out.ejected, e)
		default:
			out.usable = append(out.usable, e)
		}
	}
	return out
}

// better returns the less loaded of two random endpoints.
func (s State) better(now time.Time, usable []cyclam.Endpoint) (State, cyclam.Endpoint, time.Duration) {
	if len(usable) == 1 {
		return s, usable[0], 0
	}
	var i, j int
	s.rand, i = s.rand.IntN(len(usable))
	s.rand, j = s.rand.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	a, b := s.peerOf(now, usable[i]), s.peerOf(now, usable[j])
	if b.score(now, s.Tuning.Ramp) < a.score(now, s.Tuning.Ramp) {
		i = j
	}
	return s, usable[i], 0
}

// home returns the one endpoint that remembers a key (rendezvous hashing), so
// that a repeat meets the record of the first.
func home(endpoints []cyclam.Endpoint, key string) cyclam.Endpoint {
	var best cyclam.Endpoint
	var top uint64
	for _, e := range endpoints {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(e.Instance))
		if _, weight := cyclam.Rand(h.Sum64()).Next(); best.Instance == "" || weight > top {
			best, top = e, weight
		}
	}
	return best
}
