package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
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
	// trail lists the nodes that gave no answer, each with its reason.
	trail []string
	// failed is the last answer of an upstream that failed.
	failed *result
	// chosen is the view of the node that was chosen last, viewAge its age then.
	chosen  picker.Candidate
	viewAge string
}

// result is the end of one attempt.
type result struct {
	target  picker.Candidate
	verdict cyclam.Completion
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
	if r.verdict.Outcome != cyclam.OutcomeDone {
		c.trail = append(c.trail, string(name.Instance)+":"+string(r.verdict.Reason))
	}
	switch r.verdict.Outcome {
	case cyclam.OutcomeDone:
		if r.verdict.Answer.Status < http.StatusInternalServerError || !c.idempotent {
			return r, true
		}
		c.failed = &r
	case cyclam.OutcomeNotRun:
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

func (c *call) refused(name cyclam.Identity, v cyclam.Completion) {
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
			verdict: cyclam.Completion{
				Outcome: cyclam.OutcomeUnknown,
				Reason:  c.reason,
			},
		}
	}
	reason := c.reason
	if reason == "" {
		reason = cyclam.ReasonNoUpstream
	}
	return result{
		verdict: cyclam.Refused(reason, spread(max(c.retryAfter, leastRetryAfter))),
	}
}

// retrySpread is the part of a time to come back by which it is spread out, so
// that callers refused together do not return together.
const retrySpread = 0.5

func spread(d time.Duration) time.Duration {
	return d + time.Duration(retrySpread*rand.Float64()*float64(d))
}

// leastRetryAfter is told where no node gave a longer time.
const leastRetryAfter = 100 * time.Millisecond

// expired is the end of a call whose time is up or whose caller has left. An
// answer that is ready is still delivered.
func (c *call) expired(results chan result) result {
	for {
		select {
		case r := <-results:
			if r.verdict.Outcome == cyclam.OutcomeDone {
				return r
			}
			if !r.suspect && !r.ran {
				delete(c.reached, r.target.Endpoint.Identity)
			}
			continue
		default:
		}
		c.reason = cyclam.ReasonDeadlineExceeded
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
	c.chosen, c.viewAge = target, viewAge(target)
	c.sends++
	c.inFlight++
	c.reached[name] = true
	n.sent(name.Instance)
	offer := c.sending(target)
	go func() {
		a := &attempt{
			node:     n,
			target:   target,
			offer:    offer,
			results:  results,
			patience: c.patience(),
		}
		a.run(ctx, c.deadline)
	}()
	return true
}

// patience is how many interruptions of an attempt let another node be asked as
// well. A second copy of a large answer would fill the same links.
func (c *call) patience() int {
	if c.route.Kind == cyclam.RouteDownload {
		return 2
	}
	return 1
}

// viewAge is the age of a view in logs.
func viewAge(v picker.Candidate) string {
	if v.LoadAt.IsZero() {
		return "none"
	}
	return time.Since(v.LoadAt).Round(time.Millisecond).String()
}

// awaited names the nodes that may have begun to work and have not answered.
func (c *call) awaited() string {
	var names []string
	for name := range c.reached {
		names = append(names, string(name.Instance))
	}
	slices.Sort(names)
	return strings.Join(names, ",")
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
	if target, ok := c.node.choose(c); !ok || !target.HasFreeSlot() {
		return
	}
	if c.send(ctx, results) {
		c.node.meters.hedges.Inc(1)
	}
}
