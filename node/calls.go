package node

import (
	"bytes"
	"math"
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
)

// Headers that callers may send and that answers carry.
const (
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "X-Outcome"
	headerReason         = "X-Outcome-Reason"
	headerRetryAfter     = "Retry-After"
	headerRetryAfterMs   = "X-Retry-After-Ms"
)

// Headers between nodes. They are removed from the requests of callers, which
// could otherwise forge them.
const (
	headerAttempt      = "X-Cyclam-Attempt"
	headerTarget       = "X-Cyclam-Target"
	headerService      = "X-Cyclam-Service"
	headerRemaining    = "X-Cyclam-Remaining-Us"
	headerForwardedKey = "X-Cyclam-Key"
	internalPrefix     = "X-Cyclam-"
)

// effectBuffer is the largest number of effects that a call or an attempt can
// have pending. dispatch sends them under the node's lock and must not block.
const effectBuffer = 4

// handleCall serves one request of a caller, from its arrival to the final
// answer.
func (n *Node) handleCall(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	stripInternalHeaders(&ctx.Request.Header)
	span := n.tracer.StartSpan("call", &ctx.Request.Header)
	deadline, err := callerDeadline(ctx, start)
	if err != nil {
		refuse(ctx, err.Error(), fasthttp.StatusBadRequest)
		return
	}
	completion := n.runCall(ctx, cyclam.CallArrived{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Call:     cyclam.CallID(n.nextCall.Add(1)),
		Method:   string(ctx.Method()),
		Path:     string(ctx.Path()),
		Key:      string(ctx.Request.Header.Peek(headerIdempotencyKey)),
		Deadline: deadline,
	})
	n.countCall(completion, start)
	span.End(attribute.String("outcome", completion.Outcome.String()))
	writeCallAnswer(ctx, completion)
	if n.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// runCall performs the effects of a call until FinishCall and returns the
// call's result.
func (n *Node) runCall(ctx *fasthttp.RequestCtx, arrived cyclam.CallArrived) cyclam.Completion {
	effects := make(chan cyclam.Effect, effectBuffer)
	n.mu.Lock()
	n.calls[arrived.Call] = effects
	n.mu.Unlock()
	n.dispatch(arrived)
	for {
		switch e := (<-effects).(type) {
		case cyclam.FinishCall:
			return e.Completion
		case cyclam.SendAttempt:
			completion, explicit := n.sendAttempt(&ctx.Request, e, arrived.Key)
			n.dispatch(cyclam.AttemptEnded{
				Stamp:      stamp(),
				Call:       e.Call,
				Attempt:    e.Attempt,
				Completion: completion,
				Explicit:   explicit,
			})
		case cyclam.ConfirmCancel:
			n.dispatch(cyclam.CancelAnswered{
				Call:      e.Call,
				Attempt:   e.Attempt,
				Confirmed: n.confirmCancel(n.ctx, e),
				Stamp:     stamp(),
			})
		}
	}
}

// sendAttempt sends an attempt to the node of an endpoint, or runs it on the
// local upstream if the endpoint is this node. It reports whether the
// upstream's node stated the result, as opposed to a result inferred from a
// failure.
func (n *Node) sendAttempt(req *fasthttp.Request, e cyclam.SendAttempt, key string) (cyclam.Completion, bool) {
	n.meters.attemptsSent.Inc(1)
	if e.Endpoint.Identity == n.self.Identity {
		return n.runWork(req, cyclam.WorkArrived{
			Stamp:    stamp(),
			Attempt:  e.Attempt,
			Target:   e.Endpoint.Identity,
			Service:  e.Endpoint.Service,
			Key:      key,
			Deadline: e.Deadline,
		}), true
	}
	out := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(resp)
	req.CopyTo(out)
	out.UseHostHeader = true
	out.SetHost(e.Endpoint.Data)
	span := n.tracer.StartSpan("attempt", &out.Header)
	out.Header.Set(headerAttempt, e.Attempt.String())
	out.Header.Set(headerTarget, formatIdentity(e.Endpoint.Identity))
	out.Header.Set(headerService, string(e.Endpoint.Service))
	out.Header.Set(headerRemaining, strconv.FormatInt(time.Until(e.Deadline).Microseconds(), 10))
	if key != "" {
		out.Header.Set(headerForwardedKey, key)
	}
	err := n.clients.peer(e.Endpoint.Data).DoDeadline(out, resp, e.Deadline)
	completion, explicit := attemptCompletion(e, resp, err)
	if err != nil {
		n.Log.Warn("attempt-failed",
			"step", "send",
			"peer", e.Endpoint.Instance,
			"attempt", e.Attempt.String(),
			"outcome", completion.Outcome.String(),
			"error", err,
		)
	}
	span.End(
		attribute.String("peer", string(e.Endpoint.Instance)),
		attribute.String("outcome", completion.Outcome.String()),
	)
	return completion, explicit
}

// attemptCompletion derives the result of an attempt from the response and the
// transport error. A response counts only if it carries the ID of the attempt
// that was sent. The second result reports whether the upstream's node stated
// the outcome.
func attemptCompletion(e cyclam.SendAttempt, resp *fasthttp.Response, err error) (cyclam.Completion, bool) {
	if neverSent(err) {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeNotRun,
			Reason:  cyclam.ReasonUpstreamDown,
		}, false
	}
	if err != nil || string(resp.Header.Peek(headerAttempt)) != e.Attempt.String() {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  errorReason(err),
		}, false
	}
	completion := cyclam.Completion{
		Reason: cyclam.Reason(resp.Header.Peek(headerReason)),
	}
	if millis, err := strconv.ParseInt(string(resp.Header.Peek(headerRetryAfterMs)), 10, 64); err == nil {
		completion.RetryAfter = cyclam.Span(millis, time.Millisecond)
	}
	switch string(resp.Header.Peek(headerOutcome)) {
	case cyclam.OutcomeDone.String():
		completion.Outcome = cyclam.OutcomeDone
		completion.Answer = copyAnswer(resp)
	case cyclam.OutcomeNotRun.String():
		completion.Outcome = cyclam.OutcomeNotRun
	default:
		completion.Outcome = cyclam.OutcomeUnknown
	}
	return completion, true
}

func errorReason(err error) cyclam.Reason {
	if errors.Is(err, fasthttp.ErrTimeout) {
		return cyclam.ReasonDeadlineExceeded
	}
	return cyclam.ReasonAnswerLost
}

// copyAnswer copies a response into an Answer. The memory of resp is reused by
// fasthttp after its release.
func copyAnswer(resp *fasthttp.Response) cyclam.Answer {
	answer := cyclam.Answer{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		if forwardable(name) {
			answer.Headers = append(answer.Headers, cyclam.Header{
				Name:  string(name),
				Value: string(value),
			})
		}
	}
	return answer
}

// forwardable reports whether a header, given in canonical form, is passed on
// to the caller. Hop-by-hop headers are not, and neither are those that
// fasthttp or the node writes itself.
func forwardable(name []byte) bool {
	switch string(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Date", "Server", headerOutcome, headerReason:
		return false
	default:
		return !bytes.HasPrefix(name, []byte(internalPrefix))
	}
}

func stripInternalHeaders(header *fasthttp.RequestHeader) {
	var names []string
	for name := range header.All() {
		if bytes.HasPrefix(name, []byte(internalPrefix)) {
			names = append(names, string(name))
		}
	}
	for _, name := range names {
		header.Del(name)
	}
}

func callerDeadline(ctx *fasthttp.RequestCtx, now time.Time) (time.Time, error) {
	text := string(ctx.Request.Header.Peek(headerTimeout))
	if text == "" {
		return time.Time{}, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return time.Time{}, errors.Errorf("%s: got %q, want a duration such as 800ms", headerTimeout, text)
	}
	return now.Add(timeout), nil
}

// writeCallAnswer writes the final answer to the caller. A call without an
// answer of the upstream gets a status code and a text body with outcome and
// reason.
func writeCallAnswer(ctx *fasthttp.RequestCtx, completion cyclam.Completion) {
	writeAnswer(ctx, completion)
	if completion.Outcome == cyclam.OutcomeDone {
		return
	}
	ctx.SetStatusCode(callStatus(completion))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(completion.Outcome.String() + ": " + string(completion.Reason) + "\n")
	if completion.RetryAfter > 0 {
		seconds := int(math.Ceil(completion.RetryAfter.Seconds()))
		ctx.Response.Header.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
}

func callStatus(completion cyclam.Completion) int {
	switch {
	case completion.Reason == cyclam.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case completion.Reason == cyclam.ReasonDeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case completion.Outcome == cyclam.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadGateway
	}
}

// writeAnswer writes the outcome headers and, if the call is done, the answer.
// Callers and other nodes get the same headers.
func writeAnswer(ctx *fasthttp.RequestCtx, completion cyclam.Completion) {
	if completion.Outcome == cyclam.OutcomeDone {
		ctx.SetStatusCode(completion.Answer.Status)
		for _, h := range completion.Answer.Headers {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
		ctx.SetBody(completion.Answer.Body)
	}
	ctx.Response.Header.Set(headerOutcome, completion.Outcome.String())
	if completion.Reason != "" {
		ctx.Response.Header.Set(headerReason, string(completion.Reason))
	}
	if completion.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfterMs, strconv.FormatInt(completion.RetryAfter.Milliseconds(), 10))
	}
}

func (n *Node) countCall(completion cyclam.Completion, start time.Time) {
	n.meters.callTime.UpdateSince(start)
	switch completion.Outcome {
	case cyclam.OutcomeDone:
		n.meters.callsDone.Inc(1)
	case cyclam.OutcomeNotRun:
		n.meters.callsNotRun.Inc(1)
	default:
		n.meters.callsUnknown.Inc(1)
	}
}

// refuseMalformed answers a request that could not be parsed. Nothing was run.
func (n *Node) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &bufferErr):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	refuse(ctx, err.Error(), status)
	ctx.SetConnectionClose()
}

// refuse answers a request that is invalid and therefore was not run.
func refuse(ctx *fasthttp.RequestCtx, reason string, status int) {
	ctx.Error(reason, status)
	ctx.Response.Header.Set(headerOutcome, cyclam.OutcomeNotRun.String())
}
