package node

import (
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
)

// headerNotStarted is set to "no" by an upstream that refused a call before
// any work; no other answer of an upstream proves that.
const headerNotStarted = "X-Work-Started"

// maxRemaining bounds the deadline that another node may state.
const maxRemaining = time.Hour

// handleData serves one attempt that another node sent.
func (n *Node) handleData(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	attempt, ok := cyclam.ParseAttemptID(string(header.Peek(headerAttempt)))
	remaining, err := strconv.ParseInt(string(header.Peek(headerRemaining)), 10, 64)
	if !ok || err != nil {
		refuse(ctx, "attempt or deadline header is malformed", fasthttp.StatusBadRequest)
		return
	}
	span := n.tracer.StartSpan("work", header)
	now := time.Now()
	verdict := n.work(&ctx.Request, cyclam.WorkArrived{
		Stamp: cyclam.Stamp{
			Now: now,
		},
		Attempt:  attempt,
		Target:   parseIdentity(string(header.Peek(headerTarget))),
		Service:  cyclam.ServiceName(header.Peek(headerService)),
		Key:      string(header.Peek(headerWorkKey)),
		Deadline: now.Add(min(time.Duration(remaining)*time.Microsecond, maxRemaining)),
	})
	span.End(attribute.String("outcome", verdict.Outcome.String()))
	writeAnswer(ctx, verdict)
	ctx.Response.Header.Set(headerAttempt, attempt.String())
	if n.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// work runs one attempt for the own upstream from its arrival to its verdict.
func (n *Node) work(req *fasthttp.Request, arrived cyclam.WorkArrived) cyclam.Completion {
	effects := make(chan cyclam.Effect, callEffects)
	if !n.claimWork(arrived.Attempt, effects) {
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
			n.meters.starts.Inc(1)
			verdict := n.callUpstream(req, e)
			n.dispatch(cyclam.WorkEnded{
				Stamp:      stamp(),
				Attempt:    e.Attempt,
				Completion: verdict,
			})
		}
	}
}

// claimWork registers an attempt, unless the same one is under way.
func (n *Node) claimWork(attempt cyclam.AttemptID, effects chan cyclam.Effect) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, busy := n.works[attempt]; busy {
		return false
	}
	n.works[attempt] = effects
	return true
}

// callUpstream passes an attempt to the own upstream.
func (n *Node) callUpstream(req *fasthttp.Request, e cyclam.StartWork) cyclam.Completion {
	out := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(resp)
	req.CopyTo(out)
	span := n.tracer.StartSpan("upstream", &out.Header)
	stripInternal(&out.Header)
	out.UseHostHeader = true
	out.SetHost(n.Settings.Upstream.Address)
	out.Header.Set(headerAttempt, e.Attempt.String())
	out.Header.Set(headerTimeout, time.Until(e.Deadline).Round(time.Microsecond).String())
	err := n.clients.upstream.DoDeadline(out, resp, e.Deadline)
	verdict := upstreamVerdict(resp, err)
	span.End(attribute.String("outcome", verdict.Outcome.String()))
	return verdict
}

func upstreamVerdict(resp *fasthttp.Response, err error) cyclam.Completion {
	switch {
	case neverSent(err):
		return cyclam.Refused(cyclam.ReasonUpstreamDown, time.Second)
	case err != nil:
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  lostReason(err),
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

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(headerRetryAfter)))
	if err != nil || seconds < 0 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
