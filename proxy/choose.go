package proxy

import (
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/router"
)

// choose returns the node that takes the next attempt.
func (n *Node) choose(c *call) (picker.Candidate, bool) {
	now := time.Now()
	n.mu.Lock()
	views := n.fleet.serving(c.service)
	n.mu.Unlock()
	if own, ok := n.ownView(c.service, now); ok {
		views = append(views, own)
	}
	open := views[:0]
	for _, v := range views {
		name := v.Endpoint.Identity
		tried := c.failed != nil && c.failed.target.Endpoint.Identity == name
		if !c.reached[name] && !tried && c.refusals[name] == 0 {
			open = append(open, v)
		}
	}
	at, ok := n.placing.Pick(now, picker.Request{
		From:  n.Settings.Self.Locality,
		Bytes: n.size(c.route),
	}, open, rand.IntN)
	if !ok {
		return picker.Candidate{}, false
	}
	return open[at], true
}

// The sizes in bytes that are assumed of a route's requests with their answers.
const (
	firstSize         = 4000
	firstDownloadSize = 64000
)

// sizeWeight is the weight of a new size in the moving average.
const sizeWeight = 0.05

// size returns the expected bytes of a request of a route and its answer.
func (n *Node) size(route cyclam.Route) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if size, ok := n.sizes[route.Name]; ok {
		return int(size)
	}
	if route.Kind == cyclam.RouteDownload {
		return firstDownloadSize
	}
	return firstSize
}

// sized takes in the bytes of a request and its answer.
func (n *Node) sized(route cyclam.Route, bytes int) {
	before := float64(n.size(route))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sizes[route.Name] = before + sizeWeight*(float64(bytes)-before)
}

// ownView is the view of the upstream beside this node, which is never stale.
func (n *Node) ownView(service cyclam.ServiceName, now time.Time) (picker.Candidate, bool) {
	if service != n.Settings.Self.Service || n.closed(now) {
		return picker.Candidate{}, false
	}
	n.doorMu.Lock()
	defer n.doorMu.Unlock()
	if !n.door.Known() {
		return picker.Candidate{}, false
	}
	self := n.Settings.Self
	self.State = cyclam.EndpointReady
	return picker.Candidate{
		Endpoint: self,
		Load:     n.door.Load(now),
		LoadAt:   now,
	}, true
}

// part returns the service that takes a request of a route.
func (n *Node) part(route cyclam.Route) cyclam.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	split, ok := n.splits[route.Name]
	if !ok || !split.Matches(route.Split) {
		split = router.NewSplit(route.Split, rand.IntN(splitStarts))
	}
	next, service := split.Next()
	n.splits[route.Name] = next
	return service
}

// splitStarts is the range of points at which a split may begin.
const splitStarts = 1000
