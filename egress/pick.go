package egress

import (
	"hash/fnv"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// tierCount is the number of locality tiers: the same data centre, the same region,
// other regions.
const tierCount = 3

// panicThreshold is the fraction of ejected upstreams above which ejections are
// ignored if no other upstream is usable: failures of so many upstreams are likely
// not their own fault.
const panicThreshold = 0.5

// pick selects an endpoint among those that the placement rules allow: the nearest
// locality tier with a usable endpoint, then the better of two random choices. Calls
// with an idempotency key that are not idempotent go to the key's own endpoint. If
// none is usable it returns a zero endpoint, and the shortest retry-after time of the
// overloaded ones.
func (s State) pick(v View, now time.Time, c call) (State, cyclam.Endpoint, time.Duration) {
	allowed := s.allowed(v, c)
	if c.key != "" && !c.idempotent {
		return s, rendezvous(allowed, c.key), 0
	}
	var retryAfter time.Duration
	var ejected []cyclam.Endpoint
	for _, tier := range s.byTier(allowed, c.tried) {
		parts := s.partition(now, tier)
		if len(parts.usable) > 0 {
			return s.pickLeastLoaded(now, parts.usable)
		}
		ejected = append(ejected, parts.ejected...)
		if parts.minRetryAfter > 0 && (retryAfter == 0 || parts.minRetryAfter < retryAfter) {
			retryAfter = parts.minRetryAfter
		}
	}
	if float64(len(ejected)) > panicThreshold*float64(len(allowed)) {
		return s.pickLeastLoaded(now, ejected)
	}
	return s, cyclam.Endpoint{}, retryAfter
}

// allowed returns the ready endpoints of the call's service in localities that its
// placement rules allow.
func (s State) allowed(v View, c call) []cyclam.Endpoint {
	var out []cyclam.Endpoint
	for _, e := range v.Roster.Service(c.route.Service) {
		if e.State == cyclam.EndpointReady && v.Conf.Set.Allows(c.route.Service, e.Locality) {
			out = append(out, e)
		}
	}
	return out
}

func (s State) byTier(endpoints []cyclam.Endpoint, tried []cyclam.InstanceName) [tierCount][]cyclam.Endpoint {
	var out [tierCount][]cyclam.Endpoint
	for _, e := range endpoints {
		if slices.Contains(tried, e.Instance) {
			continue
		}
		t := s.tier(e.Locality)
		out[t] = append(out[t], e)
	}
	return out
}

func (s State) tier(locality cyclam.Locality) int {
	switch {
	case locality == s.Locality:
		return 0
	case locality.Region == s.Locality.Region:
		return 1
	default:
		return 2
	}
}

// tierPartition holds the endpoints of a tier by this node's observations of them.
type tierPartition struct {
	usable  []cyclam.Endpoint
	ejected []cyclam.Endpoint
	// minRetryAfter is the shortest time until an overloaded endpoint may be tried
	// again; zero if none is overloaded.
	minRetryAfter time.Duration
}

func (s State) partition(now time.Time, tier []cyclam.Endpoint) tierPartition {
	var out tierPartition
	for _, e := range tier {
		p := s.peerOf(now, e)
		switch {
		case p.shedUntil.After(now):
			if remaining := p.shedUntil.Sub(now); out.minRetryAfter == 0 || remaining < out.minRetryAfter {
				out.minRetryAfter = remaining
			}
		case p.ejectedUntil.After(now):
			out.ejected = append(out.ejected, e)
		default:
			out.usable = append(out.usable, e)
		}
	}
	return out
}

// pickLeastLoaded returns the endpoint with the lower score of two random ones.
func (s State) pickLeastLoaded(now time.Time, usable []cyclam.Endpoint) (State, cyclam.Endpoint, time.Duration) {
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

// rendezvous returns the endpoint that holds the record of an idempotency key
// (rendezvous hashing), so that repeats of the key reach the record of the first.
func rendezvous(endpoints []cyclam.Endpoint, key string) cyclam.Endpoint {
	var best cyclam.Endpoint
	var bestWeight uint64
	for _, e := range endpoints {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(e.Instance))
		if _, weight := cyclam.Rand(h.Sum64()).Next(); best.Instance == "" || weight > bestWeight {
			best, bestWeight = e, weight
		}
	}
	return best
}
