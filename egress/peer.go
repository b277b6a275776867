package egress

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// peer is what this node has itself seen of an upstream.
type peer struct {
	incarnation cyclam.Incarnation
	since       time.Time
	outstanding int
	failures    int
	ejected     time.Time
	shed        time.Time
}

// failuresToEject is how many failures in a row make an upstream avoided.
const failuresToEject = 2

// rampFloor is the share of calls that a new upstream starts with.
const rampFloor = 0.1

func (p peer) sent() peer {
	p.outstanding++
	return p
}

func (p peer) settled() peer {
	p.outstanding = max(0, p.outstanding-1)
	return p
}

// score is lower for the better choice of two.
func (p peer) score(now time.Time, ramp time.Duration) float64 {
	weight := 1.0
	if age := now.Sub(p.since); ramp > 0 && age < ramp {
		weight = max(rampFloor, float64(age)/float64(ramp))
	}
	return float64(p.outstanding+1) / weight
}

// peerOf returns what is known of an endpoint; another incarnation starts anew.
func (s State) peerOf(now time.Time, e cyclam.Endpoint) peer {
	p, ok := s.peers.Get(e.Instance)
	if ok && p.incarnation == e.Incarnation {
		return p
	}
	fresh := peer{
		incarnation: e.Incarnation,
		since:       now,
	}
	if !ok {
		fresh.since = time.Time{}
	}
	return fresh
}

func (s State) withPeer(now time.Time, e cyclam.Endpoint, change func(peer) peer) State {
	s.peers = s.peers.Set(e.Instance, change(s.peerOf(now, e)))
	return s
}

// learn records what the end of an attempt says of its endpoint.
func (s State) learn(now time.Time, endpoint cyclam.Endpoint, e cyclam.AttemptEnded) State {
	known, ok := s.peers.Get(endpoint.Instance)
	if !ok || known.incarnation != endpoint.Incarnation {
		return s
	}
	p := known.settled()
	switch {
	case e.Completion.Outcome == cyclam.OutcomeDone:
		p.failures = 0
		p.ejected = time.Time{}
	case e.Completion.Outcome == cyclam.OutcomeNotRun && e.Explicit:
		p = s.refused(now, p, e.Completion)
	default:
		p = s.failed(now, p)
	}
	s.peers = s.peers.Set(endpoint.Instance, p)
	return s
}

// refused avoids an endpoint for as long as its node asked for. One that drains
// never takes calls again, whether its announcement has come or not.
func (s State) refused(now time.Time, p peer, verdict cyclam.Completion) peer {
	switch verdict.Reason {
	case cyclam.ReasonDraining:
		p.shed = now.Add(s.Tuning.EjectMax)
	case cyclam.ReasonOverloaded:
		p.shed = now.Add(min(max(verdict.RetryAfter, time.Millisecond), s.Tuning.ShedMax))
	case cyclam.ReasonUpstreamDown, cyclam.ReasonWrongTarget:
		return s.failed(now, p)
	}
	return p
}

// failed avoids an endpoint for longer with each failure in a row.
func (s State) failed(now time.Time, p peer) peer {
	p.failures++
	if p.failures < failuresToEject {
		return p
	}
	span := s.Tuning.EjectBase
	for range min(p.failures-failuresToEject, 16) {
		span = min(2*span, s.Tuning.EjectMax)
	}
	p.ejected = now.Add(span)
	return p
}
