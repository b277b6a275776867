package relay

import (
	"context"
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/cyclamensaddle/cyclam/place"
	"github.com/cyclamensaddle/cyclam/table"
	"github.com/cyclamensaddle/cyclam/wire"
	"math/rand/v2"
)

// call is one caller's request on its way to an upstream.
type call struct {
	node  *Node
	offer *wire.Offer
	route cyclam.Route
	// service is the one that the route or its split chose.
	service    cyclam.ServiceName
	version    cyclam.Version
	idempotent bool
	arrived    time.Time
	goal       time.Time
	deadline   time.Time

	// refusals counts, by the node's process, the refusals of this call; reached
	// holds the upstreams that may have begun to work on it.
	refusals map[cyclam.Identity]int
	reached  map[cyclam.Identity]bool
	sends    int
	inFlight int
	// retryAfter is the shortest time that a refusal asked for.
	retryAfter time.Duration
	reason     cyclam.Reason
	// failed is the last answer of an upstream that failed.
	failed *result
}

// result is the end of one attempt.
type result struct {
	target  place.View
	verdict cyclam.Verdict
	// rest delivers what follows the verdict's body; nil if that is whole.
	rest *tail
	// suspect is set while an attempt goes on but its node has fallen silent.
	suspect bool
	// ran is set when the upstream may have begun to work.
	ran bool
}

const (
	// maxRefusals is how many nodes may refuse a call before its caller is told.
	maxRefusals = 6
	// resultBuffer holds what attempts report while the call is busy.
	resultBuffer = 16
)

// run sends the call until it has an answer, was refused by all, or time is up.
// The context ends at the deadline or when the caller leaves; what is under way
// ends with it.
func (c *call) run(ctx context.Context) result {
	results := make(chan result, resultBuffer)
	if !c.send(ctx, results) {
		return c.refusal()
	}
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			if end, ok := c.step(ctx, r, results); ok {
				return end
			}
		case <-hedge.C:
			c.hedge(ctx, results)
		case <-ctx.Done():
			return c.expired(results)
		}
	}
}

// step takes in one result; true means that the call has ended.
func (c *call) step(ctx context.Context, r result, results chan result) (result, bool) {
	name := r.target.Endpoint.Identity
	if r.suspect {
		if c.idempotent && c.mayRepeat() {
			c.send(ctx, results)
		}
		return result{}, false
	}
	c.inFlight--
	if !r.ran {
		delete(c.reached, name)
	}
	switch r.verdict.Outcome {
	case cyclam.Done:
		if r.verdict.Answer.Status < http.StatusInternalServerError || !c.idempotent {
			return r, true
		}
		c.failed = &r
	case cyclam.NotRun:
		c.refused(name, r.verdict)
		if c.inFlight > 0 || c.resend(ctx, r.verdict.Reason, results) {
			return result{}, false
		}
		return c.refusal(), true
	default:
		c.reason = r.verdict.Reason
	}
	if c.inFlight > 0 {
		return result{}, false
	}
	if c.idempotent && c.mayRepeat() && c.send(ctx, results) {
		return result{}, false
	}
	return c.refusal(), true
}

// resend tries another node after a refusal. Where the upstream itself refused,
// the request has arrived there, which the budget counts.
func (c *call) resend(ctx context.Context, reason cyclam.Reason, results chan<- result) bool {
	if reason == cyclam.ReasonUpstreamRefused {
		if !c.mayRepeat() {
			return false
		}
		c.node.spend(c.service)
	}
	return c.send(ctx, results)
}

func (c *call) refused(name cyclam.Identity, v cyclam.Verdict) {
	c.refusals[name]++
	c.reason = v.Reason
	if v.RetryAfter > 0 && (c.retryAfter == 0 || v.RetryAfter < c.retryAfter) {
		c.retryAfter = v.RetryAfter
	}
	c.node.refusedBy(name.Instance, v.Reason)
}

// refusal is the end of a call that gets no answer: an upstream's own failure if
// there is one, "not run" if that is certain.
func (c *call) refusal() result {
	if c.failed != nil {
		return *c.failed
	}
	if len(c.reached) > 0 {
		return result{
			verdict: cyclam.Verdict{
				Outcome: cyclam.Unknown,
				Reason:  c.reason,
			},
		}
	}
	reason := c.reason
	if reason == "" {
		reason = cyclam.ReasonNowhere
	}
	return result{
		verdict: cyclam.Refused(reason, max(c.retryAfter, leastRetryAfter)),
	}
}

// leastRetryAfter is told where no node gave a longer time.
const leastRetryAfter = 100 * time.Millisecond

// expired is the end of a call whose time is up or whose caller has left. An
// answer that is ready is still delivered.
func (c *call) expired(results chan result) result {
	for {
		select {
		case r := <-results:
			if r.verdict.Outcome == cyclam.Done {
				return r
			}
			if !r.suspect && !r.ran {
				delete(c.reached, r.target.Endpoint.Identity)
			}
			continue
		default:
		}
		c.reason = cyclam.ReasonExpired
		return c.refusal()
	}
}

// send starts an attempt at the best node; false means that there is none.
func (c *call) send(ctx context.Context, results chan<- result) bool {
	n := c.node
	if c.maxed() {
		return false
	}
	target, ok := n.choose(c)
	if !ok {
		return false
	}
	name := target.Endpoint.Identity
	if c.inFlight > 0 || c.sends > 0 {
		n.meters.resends.Inc(1)
	}
	if len(c.reached) > 0 || c.failed != nil {
		n.spend(c.service)
	}
	c.sends++
	c.inFlight++
	c.reached[name] = true
	n.sent(name.Instance)
	offer := c.sending(target)
	go func() {
		a := &attempt{
			node:    n,
			target:  target,
			offer:   offer,
			results: results,
		}
		a.run(ctx, c.deadline)
	}()
	return true
}

// maxed reports whether the call was sent often enough.
func (c *call) maxed() bool {
	total := 0
	for _, count := range c.refusals {
		total += count
	}
	if total >= maxRefusals {
		return true
	}
	limit := c.route.Attempts
	if limit <= 0 {
		limit = defaultAttempts
	}
	used := len(c.reached)
	if c.failed != nil && !c.reached[c.failed.target.Endpoint.Identity] {
		used++
	}
	return used >= limit
}

// defaultAttempts holds where a route says nothing.
const defaultAttempts = 2

// mayRepeat reports whether another upstream may be sent the call although one
// may have begun to work on it.
func (c *call) mayRepeat() bool {
	n := c.node
	now := time.Now()
	if c.deadline.Sub(now) < leastTry {
		return false
	}
	nodes := n.nodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	allowed := n.budgetOf(c.service).Allows(now, nodes)
	if !allowed {
		n.meters.budgetSpent.Inc(1)
	}
	return allowed
}

// mayHedge reports the same where nothing has failed: a part of the budget is
// kept for what has.
func (c *call) mayHedge() bool {
	n := c.node
	nodes := n.nodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budgetOf(c.service).AllowsHedge(time.Now(), nodes)
}

// leastTry is the least time for which another attempt is worth making.
const leastTry = 60 * time.Millisecond

// spend counts a repeat against the budget.
func (n *Node) spend(service cyclam.ServiceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets[service] = n.budgetOf(service).WithRepeat(time.Now())
}

// earn counts a first sending.
func (n *Node) earn(service cyclam.ServiceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets[service] = n.budgetOf(service).WithRequest(time.Now())
}

func (n *Node) budgetOf(service cyclam.ServiceName) budget.State {
	if state, ok := n.budgets[service]; ok {
		return state
	}
	return budget.New(n.Settings.Budget)
}

// hedgeAfter is how long an answer may take before a second upstream is asked.
func (c *call) hedgeAfter() time.Duration {
	if !c.idempotent || c.route.Kind == cyclam.RouteDownload {
		return time.Hour
	}
	return time.Duration(hedgeShare * float64(c.goal.Sub(c.arrived)))
}

// hedgeShare is the part of the goal after which a slow answer is not waited for
// alone any more. Asking earlier cost more slots than it won answers.
const hedgeShare = 0.75

func (c *call) hedge(ctx context.Context, results chan<- result) {
	if c.inFlight != 1 || !c.mayHedge() {
		return
	}
	// A second run in place of work that waits would serve nobody sooner.
	if target, ok := c.node.choose(c); !ok || !target.HasRoom() {
		return
	}
	if c.send(ctx, results) {
		c.node.meters.hedges.Inc(1)
	}
}

// choose returns the node that takes the next attempt.
func (n *Node) choose(c *call) (place.View, bool) {
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
	at, ok := n.placing.Choose(now, place.Request{
		From:  n.Settings.Self.Place,
		Bytes: n.size(c.route),
	}, open, rand.IntN)
	if !ok {
		return place.View{}, false
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
func (n *Node) ownView(service cyclam.ServiceName, now time.Time) (place.View, bool) {
	if service != n.Settings.Self.Service || n.closed(now) {
		return place.View{}, false
	}
	n.doorMu.Lock()
	defer n.doorMu.Unlock()
	if !n.door.Known() {
		return place.View{}, false
	}
	self := n.Settings.Self
	self.State = cyclam.EndpointReady
	return place.View{
		Endpoint: self,
		Load:     n.door.Load(now),
		LoadAt:   now,
	}, true
}

// part returns the service that takes a request of a route.
func (n *Node) part(t *table.Table, route cyclam.Route) cyclam.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	split, ok := n.splits[route.Name]
	if !ok || !split.Over(route.Split) {
		split = table.NewSplit(route.Split, rand.IntN(splitStarts))
	}
	next, service := split.Next()
	n.splits[route.Name] = next
	return service
}

// splitStarts is the range of points at which a split may begin.
const splitStarts = 1000
