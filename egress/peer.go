package egress

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// peer holds this node's own observations of an upstream, for outlier ejection and
// load balancing.
type peer struct {
	incarnation  cyclam.Incarnation
	rampStart    time.Time
	outstanding  int
	failures     int
	ejectedUntil time.Time
	shedUntil    time.Time
}

// ejectThreshold is the number of failures in a row after which an upstream is
// ejected.
const ejectThreshold = 2

// minRampWeight is the load-balancing weight at the beginning of the slow-start
// period.
const minRampWeight = 0.1

func (p peer) withAttemptSent() peer {
	p.outstanding++
	return p
}

func (p peer) withAttemptEnded() peer {
	p.outstanding = max(0, p.outstanding-1)
	return p
}

// score returns the attempts in flight, including the next one, divided by the
// slow-start weight; a lower score is better.
func (p peer) score(now time.Time, ramp time.Duration) float64 {
	weight := 1.0
	if age := now.Sub(p.rampStart); ramp > 0 && age < ramp {
		weight = max(minRampWeight, float64(age)/float64(ramp))
	}
	return float64(p.outstanding+1) / weight
}

// peerOf returns the observations of an endpoint. A restarted endpoint begins with
// empty ones and a slow start; one that is new to this node has no slow start.
func (s State) peerOf(now time.Time, e cyclam.Endpoint) peer {
	p, ok := s.peers.Get(e.Instance)
	if ok && p.incarnation == e.Incarnation {
		return p
	}
	fresh := peer{
		incarnation: e.Incarnation,
		rampStart:   now,
	}
	if !ok {
		fresh.rampStart = time.Time{}
	}
	return fresh
}

func (s State) withPeer(now time.Time, e cyclam.Endpoint, change func(peer) peer) State {
	s.peers = s.peers.Set(e.Instance, change(s.peerOf(now, e)))
	return s
}

// recordResult updates the observations of an endpoint when an attempt ends.
func (s State) recordResult(now time.Time, endpoint cyclam.Endpoint, e cyclam.AttemptEnded) State {
	known, ok := s.peers.Get(endpoint.Instance)
	if !ok || known.incarnation != endpoint.Incarnation {
		return s
	}
	p := known.withAttemptEnded()
	switch {
	case e.Completion.Outcome == cyclam.OutcomeDone:
		p.failures = 0
		p.ejectedUntil = time.Time{}
	case e.Completion.Outcome == cyclam.OutcomeNotRun && e.Explicit:
		p = s.applyRefusal(now, p, e.Completion)
	default:
		p = s.applyFailure(now, p)
	}
	s.peers = s.peers.Set(endpoint.Instance, p)
	return s
}

// applyRefusal stops sending to an overloaded endpoint for its retry-after time. A
// draining process never takes calls again, so it is avoided for EjectMax, also while
// the membership does not show it as draining yet.
func (s State) applyRefusal(now time.Time, p peer, completion cyclam.Completion) peer {
	switch completion.Reason {
	case cyclam.ReasonDraining:
		p.shedUntil = now.Add(s.Tuning.EjectMax)
	case cyclam.ReasonOverloaded:
		p.shedUntil = now.Add(min(max(completion.RetryAfter, time.Millisecond), s.Tuning.ShedMax))
	case cyclam.ReasonUpstreamDown, cyclam.ReasonWrongTarget:
		return s.applyFailure(now, p)
	}
	return p
}

// applyFailure ejects an endpoint after ejectThreshold failures in a row. The
// duration doubles with each further failure, from EjectBase up to EjectMax.
func (s State) applyFailure(now time.Time, p peer) peer {
	p.failures++
	if p.failures < ejectThreshold {
		return p
	}
	duration := s.Tuning.EjectBase
	for range min(p.failures-ejectThreshold, 16) {
		duration = min(2*duration, s.Tuning.EjectMax)
	}
	p.ejectedUntil = now.Add(duration)
	return p
}
