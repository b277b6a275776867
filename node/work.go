package node

import (
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
)

// headerNotStarted is set to "no" by an upstream that rejected a request before
// it began any work. No other response of an upstream proves that.
const headerNotStarted = "X-Work-Started"

// maxRemaining is an upper limit for the time to the deadline that another node
// states.
const maxRemaining = time.Hour

// handleData serves one attempt sent by another node.
func (n *Node) handleData(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	attempt, ok := cyclam.ParseAttemptID(string(header.Peek(headerAttempt)))
	remaining, err := strconv.ParseInt(string(header.Peek(headerRemaining)), 10, 64)
	if !ok || err != nil {
		refuse(ctx, "malformed X-Cyclam-Attempt or X-Cyclam-Remaining-Us header", fasthttp.StatusBadRequest)
		return
	}
	span := n.tracer.StartSpan("work", header)
	now := time.Now()
	completion := n.runWork(&ctx.Request, cyclam.WorkArrived{
		Stamp: cyclam.Stamp{
			Now: now,
		},
		Attempt:  attempt,
		Target:   parseIdentity(string(header.Peek(headerTarget))),
		Service:  cyclam.ServiceName(header.Peek(headerService)),
		Key:      string(header.Peek(headerForwardedKey)),
		Deadline: now.Add(min(cyclam.Span(remaining, time.Microsecond), maxRemaining)),
	})
	span.End(attribute.String("outcome", completion.Outcome.String()))
	writeAnswer(ctx, completion)
	ctx.Response.Header.Set(headerAttempt, attempt.String())
	if n.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// runWork runs one attempt on the local upstream, from its arrival to its
// result. A duplicate of an attempt in progress gets the outcome unknown.
func (n *Node) runWork(req *fasthttp.Request, arrived cyclam.WorkArrived) cyclam.Completion {
	effects := make(chan cyclam.Effect, effectBuffer)
	if !n.registerWork(arrived.Attempt, effects) {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonDuplicate,
		}
	}
	n.dispatch(arrived)
	for {
		switch e := (<-effects).(type) {
		case cyclam.FinishWork:
			return e.Completion
		case cyclam.StartWork:
			n.meters.workStarted.Inc(1)
			completion := n.callUpstream(req, e)
			n.dispatch(cyclam.WorkEnded{
				Stamp:      stamp(),
				Attempt:    e.Attempt,
				Completion: completion,
			})
		}
	}
}

// registerWork registers an attempt and reports false if the same attempt is
// already in progress.
func (n *Node) registerWork(attempt cyclam.AttemptID, effects chan cyclam.Effect) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, busy := n.attempts[attempt]; busy {
		return false
	}
	n.attempts[attempt] = effects
	return true
}

// callUpstream sends an attempt to the local upstream.
func (n *Node) callUpstream(req *fasthttp.Request, e cyclam.StartWork) cyclam.Completion {
	out := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(resp)
	req.CopyTo(out)
	span := n.tracer.StartSpan("upstream", &out.Header)
	stripInternalHeaders(&out.Header)
	out.UseHostHeader = true
	out.SetHost(n.Settings.Upstream.Address)
	out.Header.Set(headerAttempt, e.Attempt.String())
	out.Header.Set(headerTimeout, time.Until(e.Deadline).Round(time.Microsecond).String())
	err := n.clients.upstream.DoDeadline(out, resp, e.Deadline)
	completion := upstreamCompletion(resp, err)
	span.End(attribute.String("outcome", completion.Outcome.String()))
	return completion
}

// upstreamCompletion derives the result of an attempt from the upstream's response
// and the transport error.
func upstreamCompletion(resp *fasthttp.Response, err error) cyclam.Completion {
	switch {
	case neverSent(err):
		return cyclam.Refused(cyclam.ReasonUpstreamDown, time.Second)
	case err != nil:
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  errorReason(err),
		}
	case string(resp.Header.Peek(headerNotStarted)) == "no":
		return cyclam.Refused(cyclam.ReasonOverloaded, retryAfter(resp))
	default:
		return cyclam.Completion{
			Outcome: cyclam.OutcomeDone,
			Answer:  copyAnswer(resp),
		}
	}
}

// retryAfter returns the Retry-After time of a response, 1 s if it has none.
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.ParseInt(string(resp.Header.Peek(headerRetryAfter)), 10, 64)
	if err != nil || seconds < 0 {
		return time.Second
	}
	return cyclam.Span(seconds, time.Second)
}
