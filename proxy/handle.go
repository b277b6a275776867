package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/teams"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// defaultTimeout bounds a request if neither the caller nor its route sets a limit.
const defaultTimeout = 30 * time.Second

// handle serves one HTTP request of a caller.
func (n *Node) handle(w http.ResponseWriter, r *http.Request) {
	n.callersInFlight.Add(1)
	defer n.callersInFlight.Add(-1)
	began := time.Now()
	meta := n.Dialect.ParseCall(r.Header)
	if meta.ID == "" {
		meta.ID = newRequestID()
	}
	t := n.awaitConfig(r.Context(), meta.Remaining)
	if t == nil {
		n.skipBody(w, r)
		n.answer(w, r, meta.ID, began, nil, result{
			completion: cyclam.Refused(cyclam.ReasonNoConfig, minRetryAfter),
		})
		return
	}
	age := time.Duration(0)
	if t.Teams != nil {
		t, age = n.tableWithAge()
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := t.Lookup(r.Host, path)
	if !ok && t.Teams != nil && !n.gate().MayDeny(age) {
		n.refuseAccess(w, r, meta.ID, began, teams.Verdict{
			Reason: cyclam.ReasonUncertainRoute,
		})
		return
	}
	if !ok {
		n.skipBody(w, r)
		n.reject(w, meta.ID, http.StatusNotFound, cyclam.ReasonNoRoute)
		return
	}
	access := n.authorize(t, age, route, meta)
	if access.Reason != "" {
		n.refuseBody(w, r)
		n.refuseAccess(w, r, meta.ID, began, access)
		return
	}
	spent, ok := n.spendQuota(w, r, meta.ID, access)
	if !ok {
		return
	}
	defer spent.settle()
	if access.Keyed {
		n.Dialect.RemoveCredential(r.Header)
	}
	c := n.newCall(r, meta, route, began)
	c.setTeam(access)
	body, share, ok := n.receive(w, r, meta.ID, began, t.Config.Limits, c.deadline)
	if !ok {
		return
	}
	defer share.release()
	access = n.authorizeAgain(access, r, route, meta)
	if access.Reason != "" {
		n.refuseAccess(w, r, meta.ID, began, access)
		return
	}
	c.setTeam(access)
	if n.outlastsProcess(began, c) {
		n.answer(w, r, meta.ID, began, nil, result{
			completion: cyclam.Refused(cyclam.ReasonDraining, minRetryAfter),
		})
		return
	}
	n.endByExit(c)
	c.version = t.Config.Version
	c.service = n.serviceFor(route)
	c.offer.Target = []byte(target)
	c.offer.Route = route.Name
	c.offer.Nested = n.isRunning(meta.Parent)
	c.refused.Nested = c.offer.Nested
	c.body = body
	c.fingerprint = fingerprintOf(c.offer, func() []byte { return body })
	if c.offer.Nested {
		n.noteCalled(meta.Parent, c.service)
	} else {
		n.countRequest(c.service)
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(n.calls, cancel)()
	defer c.held.release()
	n.beginNested(c, meta.Parent)
	end := c.run(ctx)
	if c.offer.Nested {
		n.endNested(meta.Parent, end)
	}
	spent.mayHaveRun = end.completion.Outcome != cyclam.OutcomeNotRun
	if end.completion.Outcome == cyclam.OutcomeDone {
		n.recordExchange(route, len(body)+len(end.completion.Answer.Body)+headerOverhead)
	}
	n.answer(w, r, meta.ID, began, c, end)
}

// headerOverhead is the bytes added per exchange for the header fields of the
// request and its answer between nodes.
const headerOverhead = 1000

// A node that has just started holds requests while it reads the configuration, or waits for
// the word on it, for at most configWait and at most the share configShare of the caller's
// time.
const (
	configWait  = 400 * time.Millisecond
	configShare = 0.25
	configPause = 5 * time.Millisecond
)

// awaitConfig returns the routing table in force, or nil if none arrives in time.
func (n *Node) awaitConfig(ctx context.Context, remaining time.Duration) *router.Table {
	wait := configWait
	if remaining > 0 {
		wait = min(wait, time.Duration(configShare*float64(remaining)))
	}
	until := time.Now().Add(wait)
	for {
		t := n.current.Load()
		if t != nil && n.hasWord() || time.Now().After(until) || time.Since(n.startTime) > time.Second {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(configPause):
		}
	}
}

func (n *Node) newCall(r *http.Request, meta cyclam.CallMeta, route cyclam.Route, began time.Time) *call {
	timeout := defaultTimeout
	if meta.Remaining > 0 {
		timeout = meta.Remaining
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	goal := timeout
	if route.TargetLatency > 0 {
		goal = min(goal, route.TargetLatency)
	}
	idempotent := route.Idempotent(r.Method)
	return &call{
		node:  n,
		route: route,
		held: heldAnswers{
			memory: &n.answers,
		},
		idempotent:   idempotent,
		arrived:      began,
		goal:         began.Add(goal),
		deadline:     began.Add(timeout),
		refusals:     map[cyclam.Identity]int{},
		lost:         map[cyclam.Identity]int{},
		maybeStarted: map[cyclam.Identity]bool{},
		offer: &wire.Offer{
			Id:            []byte(meta.ID),
			Method:        r.Method,
			Host:          r.Host,
			Headers:       forwardedFields(r.Header),
			Priority:      uint32(max(0, route.Priority)),
			Idempotent:    idempotent,
			CallerService: string(n.Settings.Self.Service),
		},
	}
}

func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// hopByHop lists the header fields that apply to a single connection and are not
// forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// forwardedFields returns the header fields to forward: all but the hop-by-hop
// fields and those that the Connection header lists.
func forwardedFields(header http.Header) []*wire.Field {
	connectionFields := map[string]bool{}
	for _, value := range header["Connection"] {
		for part := range strings.SplitSeq(value, ",") {
			connectionFields[http.CanonicalHeaderKey(strings.TrimSpace(part))] = true
		}
	}
	var fields []*wire.Field
	for name, values := range header {
		if hopByHop[name] || connectionFields[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &wire.Field{
				Name:  name,
				Value: []byte(value),
			})
		}
	}
	return fields
}

// reject answers a request that no upstream can serve, however often it is retried.
func (n *Node) reject(w http.ResponseWriter, id string, code int, reason cyclam.Reason) {
	n.meters.countRefusal(reason)
	n.Log.Info("request-rejected", "id", id, "status", code, "reason", reason, "version", n.version())
	n.writePlain(w, code, reason)
}

func (n *Node) writePlain(w http.ResponseWriter, code int, reason cyclam.Reason) {
	header := w.Header()
	header["Date"] = nil
	header.Set("Content-Type", "text/plain; charset=utf-8")
	n.setConnectionClose(header)
	w.WriteHeader(code)
	if _, err := io.WriteString(w, string(reason)+"\n"); err != nil {
		n.Log.Debug("caller-gone", "step", "write refusal", "error", err)
	}
}

// setConnectionClose asks the caller to close its connection if the node is
// stopping.
func (n *Node) setConnectionClose(header http.Header) {
	if n.stopping.Load() {
		header.Set("Connection", "close")
	}
}

// answer records the result of a request and writes the response to the caller.
func (n *Node) answer(w http.ResponseWriter, r *http.Request, id string, began time.Time, c *call, end result) {
	took := time.Since(began)
	n.recordEnd(r, id, took, c, end)
	v := end.completion
	switch v.Outcome {
	case cyclam.OutcomeDone:
		n.writeAnswer(w, r, id, end)
	case cyclam.OutcomeNotRun:
		w.Header().Set("Retry-After", formatSeconds(v.RetryAfter))
		n.writePlain(w, http.StatusServiceUnavailable, v.Reason)
	default:
		code := http.StatusBadGateway
		if v.Reason == cyclam.ReasonDeadlineExceeded {
			code = http.StatusGatewayTimeout
		}
		n.writePlain(w, code, v.Reason)
	}
}

// formatSeconds formats a duration as decimal seconds with millisecond precision.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// writeAnswer writes an upstream's answer. If the answer turns out to be truncated,
// the connection is aborted, so that the caller can't take it for complete.
func (n *Node) writeAnswer(w http.ResponseWriter, r *http.Request, id string, end result) {
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = nil
	answer := end.completion.Answer
	seen := map[string]bool{}
	for _, h := range answer.Headers {
		if hopByHop[h.Name] {
			continue
		}
		if !seen[h.Name] {
			seen[h.Name] = true
			header[h.Name] = nil
		}
		header[h.Name] = append(header[h.Name], h.Value)
	}
	if end.rest == nil && bodyAllowed(answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	n.setConnectionClose(header)
	w.WriteHeader(answer.Status)
	paced := &pacedWriter{
		ctx:   r.Context(),
		pacer: &n.pacer,
		dst:   w,
	}
	_, err := paced.Write(answer.Body)
	if err == nil && end.rest != nil {
		err = end.rest.copyTo(paced)
	} else if end.rest != nil {
		end.rest.finish()
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		n.Log.Info("answer-cut", "id", id, "step", "write answer", "error", err)
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordEnd counts and logs the result of a request. Failures are always logged,
// successes only at debug level.
func (n *Node) recordEnd(r *http.Request, id string, took time.Duration, c *call, end result) {
	n.meters.recordOutcome(end.completion, took)
	v := end.completion
	if c == nil {
		n.Log.Warn("request-refused", "id", id, "reason", v.Reason)
		return
	}
	done := v.Outcome == cyclam.OutcomeDone && v.Answer.Status < http.StatusInternalServerError
	if done && !n.Log.IsDebug() {
		return
	}
	fields := []any{
		"id", id,
		"route", c.route.Name,
		"service", c.service,
		"version", c.version,
		"outcome", v.Outcome.String(),
		"reason", v.Reason,
		"status", v.Answer.Status,
		"peer", end.target.Endpoint.Instance,
		"sends", c.sends,
		"refusals", len(c.refusals),
		"lost", len(c.lost),
		"tried", strings.Join(c.tried, ","),
		"chosen", c.chosen.Endpoint.Instance,
		"view-age", c.viewAge,
		"view-running", c.chosen.Load.Running,
		"view-waiting", c.chosen.Load.Waiting,
		"view-limit", c.chosen.Load.Limit,
		"budget-left", c.budgetLeft(),
		"took", took,
		"left", time.Until(c.deadline),
		"retry-after", v.RetryAfter,
		"caller", r.RemoteAddr,
		"caller-gone", r.Context().Err() != nil,
	}
	if v.Outcome != cyclam.OutcomeDone {
		fields = append(fields, "awaited", c.unanswered())
	}
	if done {
		n.Log.Debug("request-done", fields...)
		return
	}
	n.Log.Warn("request-failed", fields...)
}

// newRequestID returns a random id for a request that came without one.
func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
