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
	"github.com/cyclamensaddle/cyclam/poison"
	"github.com/cyclamensaddle/cyclam/wire"
)

// call is one caller's request while it is sent to upstreams.
type call struct {
	node *Node
	// offer is what is sent to each node; without the body, which all attempts share.
	offer *wire.Offer
	body  []byte
	route cyclam.Route
	// service is the service chosen by the route or its traffic split.
	service    cyclam.ServiceName
	version    cyclam.Version
	idempotent bool
	arrived    time.Time
	goal       time.Time
	deadline   time.Time

	// refusals counts the refusals of this call by node process, lost the attempts that
	// were lost on their way or withdrawn, which says nothing about the node.
	// maybeStarted holds the nodes whose upstreams may have started to work on it.
	refusals     map[cyclam.Identity]int
	lost         map[cyclam.Identity]int
	maybeStarted map[cyclam.Identity]bool
	// fingerprint returns that of the request.
	fingerprint func() poison.Fingerprint
	// suspected is set if the request may end its upstream: it is offered to run alone.
	suspected bool
	// refused decides from the refusals and losses whether the call is sent again.
	refused  picker.Refusals
	sends    int
	inFlight int
	// sampled is set once it is decided whether the call goes to a new release.
	sampled bool
	// retryAfter is the shortest retry delay that a refusal asked for.
	retryAfter time.Duration
	reason     cyclam.Reason
	// tried lists the attempts that ended without an answer as "node:reason".
	tried []string
	// lastFailure is the most recent 5xx answer from an upstream.
	lastFailure *result
	// held counts the memory of the answers that are received for the call.
	held heldAnswers
	// chosen is the candidate picked last; viewAge is the age of its load report at
	// that time.
	chosen  picker.Candidate
	viewAge string
}

// result is the outcome of one attempt, or a notice that it is suspect.
type result struct {
	target     picker.Candidate
	completion cyclam.Completion
	// rest streams the part of the answer's body after completion.Answer.Body; nil if
	// the body is complete.
	rest *answerRest
	// suspect marks a notice that the connection to the node was interrupted; the
	// attempt goes on and reports its outcome later.
	suspect bool
	// mayHaveRun is set if the upstream may have started to work.
	mayHaveRun bool
	// called holds the requests that the run has made, as far as is known.
	called []*wire.Called
}

const (
	// maxLost is how many attempts may be lost at one node.
	maxLost = 2
	// resultBuffer lets attempts report while the call handles another result.
	resultBuffer = 16
)

// run sends the call until it has an answer, no further attempt is allowed, or ctx
// ends. The context ends at the deadline or when the caller disconnects, and
// cancels the attempts in flight.
func (c *call) run(ctx context.Context) result {
	results := make(chan result, resultBuffer)
	if !c.send(ctx, results) {
		return c.failureResult()
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			if end, ok := c.handleResult(ctx, r, results); ok {
				return end
			}
		case <-hedge.C:
			c.hedge(ctx, results)
		case <-ctx.Done():
			return c.finishExpired(results)
		}
	}
}

// handleResult processes one attempt's result; true means that the call has ended.
func (c *call) handleResult(ctx context.Context, r result, results chan result) (result, bool) {
	name := r.target.Endpoint.Identity
	if r.suspect {
		if c.idempotent && c.mayRetry() {
			c.send(ctx, results)
		}
		return result{}, false
	}
	c.inFlight--
	if r.completion.Outcome == cyclam.OutcomeDone {
		c.node.learnCalls(c.route.Name, r.called)
	}
	if !r.mayHaveRun {
		delete(c.maybeStarted, name)
	}
	if r.completion.Outcome != cyclam.OutcomeDone {
		c.tried = append(c.tried, string(name.Instance)+":"+string(r.completion.Reason))
	}
	switch r.completion.Outcome {
	case cyclam.OutcomeDone:
		if r.completion.Answer.Status < http.StatusInternalServerError || !c.idempotent {
			return r, true
		}
		c.lastFailure = &r
	case cyclam.OutcomeNotRun:
		c.recordRefusal(name, r.completion)
		if c.inFlight > 0 || c.resend(ctx, r.completion.Reason, results) {
			return result{}, false
		}
		return c.failureResult(), true
	default:
		c.reason = r.completion.Reason
	}
	if c.inFlight > 0 {
		return result{}, false
	}
	if c.idempotent && c.mayRetry() && c.send(ctx, results) {
		return result{}, false
	}
	return c.failureResult(), true
}

// resend tries another node after a refusal. A refusal by the upstream itself is
// charged to the retry budget, since the request has already put load on it.
func (c *call) resend(ctx context.Context, reason cyclam.Reason, results chan<- result) bool {
	if reason == cyclam.ReasonBanned || c.suspected && !movesSuspect(reason) {
		return false
	}
	if reason == cyclam.ReasonUpstreamRefused {
		if !c.mayRetry() {
			return false
		}
		c.countRetry()
	}
	return c.send(ctx, results)
}

// movesSuspect reports whether a suspect that was refused is offered to run alone elsewhere.
// If it waits for its turn at one upstream, it must not run at a second one meanwhile.
func movesSuspect(reason cyclam.Reason) bool {
	switch reason {
	case cyclam.ReasonSuspected, cyclam.ReasonUpstreamDown, cyclam.ReasonDraining, cyclam.ReasonWrongTarget:
		return true
	default:
		return false
	}
}

func (c *call) recordRefusal(name cyclam.Identity, v cyclam.Completion) {
	switch v.Reason {
	case cyclam.ReasonCancelled:
		c.lost[name]++
	case cyclam.ReasonSuspected:
		c.suspected = true
	default:
		c.refusals[name]++
	}
	c.refused = c.refused.With(v.Reason)
	c.reason = v.Reason
	c.noteRetryAfter(v.RetryAfter)
	c.node.noteRefusal(name.Instance, v.Reason)
}

// noteRetryAfter records a time after which an upstream may take the call; zero for none.
func (c *call) noteRetryAfter(after time.Duration) {
	if after > 0 && (c.retryAfter == 0 || after < c.retryAfter) {
		c.retryAfter = after
	}
}

// failureResult returns the result of a call that got no usable answer: the last
// 5xx answer of an upstream if there was one, "unknown" if an upstream may have
// started to work, otherwise "not run".
func (c *call) failureResult() result {
	if c.lastFailure != nil {
		return *c.lastFailure
	}
	if len(c.maybeStarted) > 0 {
		return result{
			completion: cyclam.Completion{
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
		completion: cyclam.Refused(reason, jitter(max(c.retryAfter, minRetryAfter))),
	}
}

// retryJitter is the fraction by which a retry delay is randomly extended, so that
// callers refused together do not retry together.
const retryJitter = 0.5

func jitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

// minRetryAfter is the shortest retry delay sent to a caller.
const minRetryAfter = 100 * time.Millisecond

// finishExpired ends a call whose deadline has passed or whose caller has
// disconnected. It still returns an answer that is already in results.
func (c *call) finishExpired(results chan result) result {
	for {
		select {
		case r := <-results:
			if r.completion.Outcome == cyclam.OutcomeDone {
				return r
			}
			if !r.suspect && !r.mayHaveRun {
				delete(c.maybeStarted, r.target.Endpoint.Identity)
			}
			continue
		default:
		}
		c.reason = cyclam.ReasonDeadlineExceeded
		return c.failureResult()
	}
}

// send starts an attempt at the best candidate; false means that no attempt is
// allowed or no candidate is left.
func (c *call) send(ctx context.Context, results chan<- result) bool {
	n := c.node
	if c.attemptsExhausted() || !c.mayRun() {
		return false
	}
	target, reason := n.pickTarget(c)
	if reason != "" {
		if c.reason == "" {
			c.reason = reason
		}
		return false
	}
	name := target.Endpoint.Identity
	if c.inFlight > 0 || c.sends > 0 {
		n.meters.resends.Inc(1)
	}
	if len(c.maybeStarted) > 0 || c.lastFailure != nil {
		c.countRetry()
	}
	c.chosen, c.viewAge = target, viewAge(target)
	c.sends++
	c.inFlight++
	c.maybeStarted[name] = true
	n.countInFlight(name.Instance)
	n.meters.countSent(wayName(n.Settings.Self.Locality, target.Endpoint.Locality))
	offer := c.offerFor(target)
	go func() {
		a := &attempt{
			node:         n,
			target:       target,
			offer:        offer,
			results:      results,
			goal:         c.goal,
			deadline:     c.deadline,
			held:         &c.held,
			suspectAfter: c.suspectAfter(),
		}
		a.run(ctx)
	}()
	return true
}

// mayRun reports whether the request is not kept from upstreams. A suspect is sent once: it
// may have ended an upstream.
func (c *call) mayRun() bool {
	switch v := c.node.verdict(c.fingerprint); v.Level {
	case poison.Banned:
		c.reason = cyclam.ReasonBanned
		c.noteRetryAfter(v.Remaining)
		return false
	case poison.Suspected:
		c.suspected = true
	}
	return !c.suspected || len(c.maybeStarted) == 0
}

// suspectAfter returns how many disturbances make an attempt suspect, so that
// another node may be tried as well. Downloads get one more, because a second copy
// of a large answer would fill the same links.
func (c *call) suspectAfter() int32 {
	if c.route.Kind == cyclam.RouteDownload {
		return 2
	}
	return 1
}

// viewAge formats the age of a candidate's load report for logs.
func viewAge(v picker.Candidate) string {
	if v.LoadAt.IsZero() {
		return "none"
	}
	return time.Since(v.LoadAt).Round(time.Millisecond).String()
}

// unanswered lists the nodes that may have started to work and have not answered.
func (c *call) unanswered() string {
	var names []string
	for name := range c.maybeStarted {
		names = append(names, string(name.Instance))
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// attemptsExhausted reports whether the call has reached its limit of refusals or
// of upstreams that may have worked on it.
func (c *call) attemptsExhausted() bool {
	if c.refused.Exhausted() {
		return true
	}
	limit := c.route.Attempts
	if limit <= 0 {
		limit = defaultAttempts
	}
	used := len(c.maybeStarted)
	if c.lastFailure != nil && !c.maybeStarted[c.lastFailure.target.Endpoint.Identity] {
		used++
	}
	return used >= limit
}

// defaultAttempts is the limit for routes that set none.
const defaultAttempts = 2

// hedgeDelay returns how long to wait for an answer before a hedged attempt is
// sent. Downloads and calls that are not idempotent are never hedged.
func (c *call) hedgeDelay() time.Duration {
	if !c.idempotent || c.route.Kind == cyclam.RouteDownload || len(c.body) >= grantedBytes {
		return time.Hour
	}
	return time.Duration(hedgeShare * float64(c.goal.Sub(c.arrived)))
}

// hedgeShare is the fraction of the latency goal after which a call is hedged.
// Hedging earlier used more slots than it gained answers in time.
const hedgeShare = 0.75

func (c *call) hedge(ctx context.Context, results chan<- result) {
	if c.inFlight != 1 || c.suspected || !c.mayHedge() {
		return
	}
	// A hedged attempt that has to queue would delay other work and answer no sooner.
	if target, reason := c.node.pickTarget(c); reason != "" || !target.HasFreeSlot() {
		return
	}
	if c.send(ctx, results) {
		c.node.meters.hedges.Inc(1)
	}
}
