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

// The headers that callers may send and that answers carry.
const (
	headerTimeout    = "X-Request-Timeout"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "X-Outcome"
	headerReason     = "X-Outcome-Reason"
	headerRetryAfter = "Retry-After"
	headerRetryIn    = "X-Retry-After-Ms"
)

// The headers between nodes; they are removed from what callers send.
const (
	headerAttempt   = "X-Cyclam-Attempt"
	headerTarget    = "X-Cyclam-Target"
	headerService   = "X-Cyclam-Service"
	headerRemaining = "X-Cyclam-Remaining-Us"
	headerWorkKey   = "X-Cyclam-Key"
	internalPrefix  = "X-Cyclam-"
)

// callEffects is how many effects a call or an attempt has under way at most.
const callEffects = 4

// handleCall serves one call of a caller from its arrival to its final answer.
func (n *Node) handleCall(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	stripInternal(&ctx.Request.Header)
	span := n.tracer.StartSpan("call", &ctx.Request.Header)
	deadline, err := callerDeadline(ctx, start)
	if err != nil {
		refuse(ctx, err.Error(), fasthttp.StatusBadRequest)
		return
	}
	verdict := n.runCall(ctx, cyclam.CallArrived{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Call:     cyclam.CallID(n.nextCall.Add(1)),
		Method:   string(ctx.Method()),
		Path:     string(ctx.Path()),
		Key:      string(ctx.Request.Header.Peek(headerKey)),
		Deadline: deadline,
	})
	n.countCall(verdict, start)
	span.End(attribute.String("outcome", verdict.Outcome.String()))
	writeCallAnswer(ctx, verdict)
	if n.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// runCall performs a call's effects until one of them is its end.
func (n *Node) runCall(ctx *fasthttp.RequestCtx, arrived cyclam.CallArrived) cyclam.Completion {
	effects := make(chan cyclam.Effect, callEffects)
	n.mu.Lock()
	n.calls[arrived.Call] = effects
	n.mu.Unlock()
	n.dispatch(arrived)
	for {
		switch e := (<-effects).(type) {
		case cyclam.FinishCall:
			return e.Completion
		case cyclam.SendAttempt:
			verdict, explicit := n.sendAttempt(&ctx.Request, e, arrived.Key)
			n.dispatch(cyclam.AttemptEnded{
				Stamp:      stamp(),
				Call:       e.Call,
				Attempt:    e.Attempt,
				Completion: verdict,
				Explicit:   explicit,
			})
		case cyclam.ConfirmCancel:
			n.dispatch(cyclam.CancelAnswered{
				Call:      e.Call,
				Attempt:   e.Attempt,
				Confirmed: n.confirm(n.ctx, e),
				Stamp:     stamp(),
			})
		}
	}
}

// sendAttempt sends a call to an endpoint's node, or to the own upstream.
func (n *Node) sendAttempt(req *fasthttp.Request, e cyclam.SendAttempt, key string) (cyclam.Completion, bool) {
	n.meters.sends.Inc(1)
	if e.Endpoint.Identity == n.self.Identity {
		return n.work(req, cyclam.WorkArrived{
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
	out.Header.Set(headerTarget, identityText(e.Endpoint.Identity))
	out.Header.Set(headerService, string(e.Endpoint.Service))
	out.Header.Set(headerRemaining, strconv.FormatInt(time.Until(e.Deadline).Microseconds(), 10))
	if key != "" {
		out.Header.Set(headerWorkKey, key)
	}
	err := n.clients.peer(e.Endpoint.Data).DoDeadline(out, resp, e.Deadline)
	verdict, explicit := attemptVerdict(e, resp, err)
	if err != nil {
		n.Log.Warn("attempt-failed",
			"step", "send",
			"peer", e.Endpoint.Instance,
			"attempt", e.Attempt.String(),
			"outcome", verdict.Outcome.String(),
			"error", err,
		)
	}
	span.End(
		attribute.String("peer", string(e.Endpoint.Instance)),
		attribute.String("outcome", verdict.Outcome.String()),
	)
	return verdict, explicit
}

// attemptVerdict reads how an attempt ended. An answer counts only if it names
// the attempt that was sent.
func attemptVerdict(e cyclam.SendAttempt, resp *fasthttp.Response, err error) (cyclam.Completion, bool) {
	if neverSent(err) {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeNotRun,
			Reason:  cyclam.ReasonUpstreamDown,
		}, false
	}
	if err != nil || string(resp.Header.Peek(headerAttempt)) != e.Attempt.String() {
		return cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  lostReason(err),
		}, false
	}
	verdict := cyclam.Completion{
		Reason: cyclam.Reason(resp.Header.Peek(headerReason)),
	}
	if millis, err := strconv.Atoi(string(resp.Header.Peek(headerRetryIn))); err == nil {
		verdict.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	switch string(resp.Header.Peek(headerOutcome)) {
	case cyclam.OutcomeDone.String():
		verdict.Outcome = cyclam.OutcomeDone
		verdict.Answer = copyAnswer(resp)
	case cyclam.OutcomeNotRun.String():
		verdict.Outcome = cyclam.OutcomeNotRun
	default:
		verdict.Outcome = cyclam.OutcomeUnknown
	}
	return verdict, true
}

func lostReason(err error) cyclam.Reason {
	if errors.Is(err, fasthttp.ErrTimeout) {
		return cyclam.ReasonDeadlineExceeded
	}
	return cyclam.ReasonAnswerLost
}

// copyAnswer copies an answer out of the library's memory.
func copyAnswer(resp *fasthttp.Response) cyclam.Answer {
	answer := cyclam.Answer{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		if passes(name) {
			answer.Headers = append(answer.Headers, cyclam.Header{
				Name:  string(name),
				Value: string(value),
			})
		}
	}
	return answer
}

// passes reports whether a header field, in its normal case, is passed on. Those
// of one connection are not, nor those that the library or the node writes.
func passes(name []byte) bool {
	switch string(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Date", "Server", headerOutcome, headerReason:
		return false
	default:
		return !bytes.HasPrefix(name, []byte(internalPrefix))
	}
}

func stripInternal(header *fasthttp.RequestHeader) {
	var drop []string
	for name := range header.All() {
		if bytes.HasPrefix(name, []byte(internalPrefix)) {
			drop = append(drop, string(name))
		}
	}
	for _, name := range drop {
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

// writeCallAnswer tells the caller how the call ended.
func writeCallAnswer(ctx *fasthttp.RequestCtx, verdict cyclam.Completion) {
	writeAnswer(ctx, verdict)
	if verdict.Outcome == cyclam.OutcomeDone {
		return
	}
	ctx.SetStatusCode(callStatus(verdict))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(verdict.Outcome.String() + ": " + string(verdict.Reason) + "\n")
	if verdict.RetryAfter > 0 {
		seconds := int(math.Ceil(verdict.RetryAfter.Seconds()))
		ctx.Response.Header.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
}

func callStatus(verdict cyclam.Completion) int {
	switch {
	case verdict.Reason == cyclam.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case verdict.Reason == cyclam.ReasonDeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case verdict.Outcome == cyclam.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadGateway
	}
}

// writeAnswer writes outcome and answer, for callers and for other nodes.
func writeAnswer(ctx *fasthttp.RequestCtx, verdict cyclam.Completion) {
	if verdict.Outcome == cyclam.OutcomeDone {
		ctx.SetStatusCode(verdict.Answer.Status)
		for _, h := range verdict.Answer.Headers {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
		ctx.SetBody(verdict.Answer.Body)
	}
	ctx.Response.Header.Set(headerOutcome, verdict.Outcome.String())
	if verdict.Reason != "" {
		ctx.Response.Header.Set(headerReason, string(verdict.Reason))
	}
	if verdict.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryIn, strconv.FormatInt(verdict.RetryAfter.Milliseconds(), 10))
	}
}

func (n *Node) countCall(verdict cyclam.Completion, start time.Time) {
	n.meters.calls.UpdateSince(start)
	switch verdict.Outcome {
	case cyclam.OutcomeDone:
		n.meters.done.Inc(1)
	case cyclam.OutcomeNotRun:
		n.meters.notRun.Inc(1)
	default:
		n.meters.unknown.Inc(1)
	}
}

// refuseMalformed answers what could not be read as a request; nothing was run.
func (n *Node) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	refuse(ctx, err.Error(), status)
	ctx.SetConnectionClose()
}

// refuse answers a request that was not understood, and so was not run.
func refuse(ctx *fasthttp.RequestCtx, reason string, status int) {
	ctx.Error(reason, status)
	ctx.Response.Header.Set(headerOutcome, cyclam.OutcomeNotRun.String())
}
