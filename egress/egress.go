// Package egress routes the calls that enter at a node: it selects an endpoint,
// retries within a retry budget and determines the outcome. It runs for every
// call of the node's own callers and for every attempt that ends.
//
// It is part of the reducer behind "cyclamensaddle node". Its counterparts under
// "cyclamensaddle sidecar" are the packages router, picker and budget, which
// package proxy calls.
package egress

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/roster"
)

// Tuning holds the limits of retries, outlier ejection and load balancing.
type Tuning struct {
	// MaxSends is the maximum number of attempts of one call, the first included.
	MaxSends int
	// RetryShare is the number of retries that each successful call adds to the
	// retry budget.
	RetryShare float64
	// RetryBurst is the initial and maximum retry budget.
	RetryBurst float64
	// Ramp is the slow-start period after which a restarted upstream gets its full
	// share of calls.
	Ramp time.Duration
	// EjectBase is the duration of the first ejection of a failing upstream; each
	// further failure in a row doubles it.
	EjectBase time.Duration
	// EjectMax bounds the duration of an ejection.
	EjectMax time.Duration
	// ShedMax bounds the retry-after time of an overloaded upstream for which no
	// calls are sent to it.
	ShedMax time.Duration
}

// defaultRetryAfter is the retry-after time of a refusal for which no endpoint gave
// one.
const defaultRetryAfter = time.Second

type call struct {
	route      cyclam.Route
	key        string
	idempotent bool
	deadline   time.Time
	tried      []cyclam.InstanceName
	attempt    cyclam.AttemptID
	endpoint   cyclam.Endpoint
	last       cyclam.Completion
}

// State is the immutable state of a node's outgoing calls and of the endpoints that
// they were sent to.
type State struct {
	Tuning   Tuning
	Self     cyclam.Identity
	Locality cyclam.Locality

	calls             *immutable.Map[cyclam.CallID, call]
	peers             *immutable.Map[cyclam.InstanceName, peer]
	budget            float64
	rand              cyclam.Rand
	lastAttemptNumber uint64
}

// New returns a state without calls.
func New(self cyclam.Identity, locality cyclam.Locality, tuning Tuning) State {
	return State{
		Tuning:   tuning,
		Self:     self,
		Locality: locality,
		calls:    immutable.NewMap[cyclam.CallID, call](nil),
		peers:    immutable.NewMap[cyclam.InstanceName, peer](nil),
		budget:   tuning.RetryBurst,
		rand:     cyclam.Rand(self.Incarnation),
	}
}

// Busy reports whether any call is in flight.
func (s State) Busy() bool { return s.calls.Len() > 0 }

// InFlight returns the number of calls in flight.
func (s State) InFlight() int { return s.calls.Len() }

// View is the configuration and the membership on which a routing decision is
// based.
type View struct {
	Conf   conf.State
	Roster roster.Roster
}

// Arrived routes a new call: it sends the first attempt or finishes the call at
// once.
func (s State) Arrived(v View, e cyclam.CallArrived) (State, []cyclam.Effect) {
	route, ok := v.Conf.Set.Match(e.Path)
	if !ok {
		return s, finish(e.Call, cyclam.Refused(cyclam.ReasonNoRoute, 0))
	}
	c := call{
		route:      route,
		key:        e.Key,
		idempotent: route.Idempotent(e.Method),
		deadline:   deadline(v.Conf.Set, route, e),
	}
	if !c.deadline.After(e.Now) {
		return s, finish(e.Call, cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0))
	}
	c.last = cyclam.Refused(cyclam.ReasonNoUpstream, defaultRetryAfter)
	return s.send(v, e.Now, e.Call, c)
}

// deadline returns the earlier of the caller's deadline and the route's.
func deadline(set conf.Set, route cyclam.Route, e cyclam.CallArrived) time.Time {
	timeout := route.Timeout
	if service, ok := set.Service(route.Service); ok && timeout == 0 {
		timeout = service.Timeout
	}
	bound := e.Now.Add(timeout)
	if !e.Deadline.IsZero() && e.Deadline.Before(bound) {
		return e.Deadline
	}
	return bound
}

// send sends an attempt to a selected endpoint. Without an endpoint it finishes the
// call with the completion of its last attempt.
func (s State) send(v View, now time.Time, id cyclam.CallID, c call) (State, []cyclam.Effect) {
	s, endpoint, retryAfter := s.pick(v, now, c)
	if endpoint.Instance == "" {
		if retryAfter > 0 && len(c.tried) == 0 {
			c.last = cyclam.Refused(cyclam.ReasonOverloaded, retryAfter)
		}
		s.calls = s.calls.Delete(id)
		return s, finish(id, c.last)
	}
	s.lastAttemptNumber++
	c.attempt = cyclam.AttemptID{
		Sender: s.Self,
		Number: s.lastAttemptNumber,
	}
	c.endpoint = endpoint
	c.tried = append(slices.Clip(c.tried), endpoint.Instance)
	s.calls = s.calls.Set(id, c)
	s = s.withPeer(now, endpoint, peer.withAttemptSent)
	return s, []cyclam.Effect{cyclam.SendAttempt{
		Call:     id,
		Attempt:  c.attempt,
		Endpoint: endpoint,
		Deadline: c.deadline,
	}}
}

// Ended handles the end of an attempt: it finishes the call, retries it or asks for
// a confirmed cancel.
func (s State) Ended(v View, e cyclam.AttemptEnded) (State, []cyclam.Effect) {
	c, ok := s.calls.Get(e.Call)
	if !ok || c.attempt != e.Attempt {
		return s, nil
	}
	s = s.recordResult(e.Now, c.endpoint, e)
	switch e.Completion.Outcome {
	case cyclam.OutcomeDone:
		s.budget = min(s.Tuning.RetryBurst, s.budget+s.Tuning.RetryShare)
		return s.finish(e.Call, e.Completion)
	case cyclam.OutcomeNotRun:
		return s.retry(v, e.Now, e.Call, c, e.Completion)
	default:
		return s.handleUnknown(v, e, c)
	}
}

// handleUnknown handles an attempt with an unknown outcome, which may have run. Only
// an idempotent call is retried; for other calls a cancel has to be confirmed first.
func (s State) handleUnknown(v View, e cyclam.AttemptEnded, c call) (State, []cyclam.Effect) {
	confirm := cyclam.ConfirmCancel{
		Call:     e.Call,
		Attempt:  c.attempt,
		Endpoint: c.endpoint,
	}
	expired := !c.deadline.After(e.Now)
	switch {
	case c.idempotent && !expired:
		return s.retry(v, e.Now, e.Call, c, e.Completion)
	case e.Explicit:
		return s.finish(e.Call, e.Completion)
	case expired:
		s, effects := s.finish(e.Call, e.Completion)
		return s, append(effects, confirm)
	default:
		return s, []cyclam.Effect{confirm}
	}
}

// CancelReplied handles the reply to a cancel request. Only a confirmed cancel proves
// that a non-idempotent attempt has not run, so that it may be retried.
func (s State) CancelReplied(v View, e cyclam.CancelAnswered) (State, []cyclam.Effect) {
	c, ok := s.calls.Get(e.Call)
	if !ok || c.attempt != e.Attempt {
		return s, nil
	}
	if !e.Confirmed {
		return s.finish(e.Call, cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		})
	}
	return s.retry(v, e.Now, e.Call, c, cyclam.Refused(cyclam.ReasonCancelled, defaultRetryAfter))
}

// retry sends the call to another endpoint if the retry budget, the deadline and
// MaxSends allow it, and otherwise finishes it at once. Calls that are bound to one
// endpoint by an idempotency key are not retried.
func (s State) retry(v View, now time.Time, id cyclam.CallID, c call, last cyclam.Completion) (State, []cyclam.Effect) {
	c.last = c.mergeCompletion(last)
	switch {
	case c.key != "" && !c.idempotent:
		return s.finish(id, c.last)
	case !c.deadline.After(now), len(c.tried) >= s.Tuning.MaxSends:
		return s.finish(id, c.last)
	case s.budget < 1:
		return s.finish(id, c.last)
	}
	s.budget--
	return s.send(v, now, id, c)
}

// mergeCompletion returns the completion of the call so far. An unknown outcome of an
// earlier attempt is kept, as that attempt may have run even if a later one is refused.
func (c call) mergeCompletion(last cyclam.Completion) cyclam.Completion {
	if len(c.tried) > 1 && c.last.Outcome == cyclam.OutcomeUnknown {
		return c.last
	}
	return last
}

func (s State) finish(id cyclam.CallID, completion cyclam.Completion) (State, []cyclam.Effect) {
	s.calls = s.calls.Delete(id)
	return s, finish(id, completion)
}

func finish(id cyclam.CallID, completion cyclam.Completion) []cyclam.Effect {
	return []cyclam.Effect{cyclam.FinishCall{
		Call:       id,
		Completion: completion,
	}}
}
