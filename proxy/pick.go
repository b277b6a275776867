package proxy

import (
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/router"
)

// pickTarget returns the best node for the next attempt. It skips nodes that refused
// the call, failed it last or may already be working on it. A node on the way to which an
// attempt was lost comes after the others. If there are nodes and none can be expected to
// answer in time, it returns the reason.
func (n *Node) pickTarget(c *call) (picker.Candidate, cyclam.Reason) {
	now := time.Now()
	n.mu.Lock()
	candidates := n.fleet.candidates(c.service)
	n.mu.Unlock()
	if own, ok := n.localCandidate(c.service, now); ok {
		candidates = append(candidates, own)
	}
	candidates, fresh := n.allowedReleases(c, candidates, now)
	if fresh != nil {
		return *fresh, ""
	}
	open := candidates[:0]
	var lost []picker.Candidate
	for _, cand := range candidates {
		name := cand.Endpoint.Identity
		failedHere := c.lastFailure != nil && c.lastFailure.target.Endpoint.Identity == name
		switch {
		case c.maybeStarted[name], failedHere, c.refusals[name] > 0, c.lost[name] >= maxLost:
		case c.lost[name] > 0:
			lost = append(lost, cand)
		default:
			open = append(open, cand)
		}
	}
	if len(open) == 0 {
		open = lost
	}
	if len(open) == 0 {
		return picker.Candidate{}, cyclam.ReasonNoUpstream
	}
	if c.suspected {
		return trialTarget(c.fingerprint(), open), ""
	}
	request := picker.Request{
		From:          n.Settings.Self.Locality,
		Bytes:         n.expectedBytes(c.route),
		TargetLatency: c.route.TargetLatency,
		Goal:          c.goal,
		Deadline:      c.deadline,
		Refusals:      c.refused,
	}
	if len(c.body) >= grantedBytes {
		request.Body = len(c.body)
		request.Bytes = max(request.Bytes, len(c.body))
	}
	i, ok := n.pickTuning.Pick(now, request, open, rand.IntN)
	if !ok {
		c.noteRetryAfter(n.pickTuning.ShortestWait(now, request, open))
		return picker.Candidate{}, cyclam.ReasonOverloaded
	}
	return open[i], ""
}

// Bytes of a request plus its answer that are assumed for a route without samples.
const (
	defaultExchangeBytes = 4000
	defaultDownloadBytes = 64000
)

// bytesWeight is the weight of a new sample in the moving average of bytes.
const bytesWeight = 0.05

// expectedBytes returns the expected bytes of a route's request plus its answer.
func (n *Node) expectedBytes(route cyclam.Route) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if size, ok := n.exchangeBytes[route.Name]; ok {
		return int(size)
	}
	if route.Kind == cyclam.RouteDownload {
		return defaultDownloadBytes
	}
	return defaultExchangeBytes
}

// recordExchange updates a route's mean with the bytes of one request and its answer.
func (n *Node) recordExchange(route cyclam.Route, bytes int) {
	before := float64(n.expectedBytes(route))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exchangeBytes[route.Name] = before + bytesWeight*(float64(bytes)-before)
}

// localCandidate returns the local upstream as a candidate; its load is current. It
// returns false if the upstream is not known yet, serves another service, or the
// node is closed to new attempts.
func (n *Node) localCandidate(service cyclam.ServiceName, now time.Time) (picker.Candidate, bool) {
	if service != n.Settings.Self.Service || n.closedToPeers(now) {
		return picker.Candidate{}, false
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if !n.scheduler.Known() {
		return picker.Candidate{}, false
	}
	self := n.Settings.Self
	self.State = cyclam.EndpointReady
	self.Release = n.upstream.releaseOf(n.upstream.procs.Present().ID)
	return picker.Candidate{
		Endpoint: self,
		Load:     n.scheduler.Load(now),
		LoadAt:   now,
	}, true
}

// serviceFor returns the service for the next request of a route, by the route's
// traffic split if it has one.
func (n *Node) serviceFor(route cyclam.Route) cyclam.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	split, ok := n.splits[route.Name]
	if !ok || !split.Matches(route.Split) {
		split = router.NewSplit(route.Split, rand.IntN(splitStartRange))
	}
	next, service := split.Next()
	n.splits[route.Name] = next
	return service
}

// splitStartRange is the number of positions from which a node picks a random start
// in a traffic split, so that nodes do not choose the same service in step.
const splitStartRange = 1000
