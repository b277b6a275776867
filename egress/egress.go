// Package egress decides where each call that entered at a node is sent, when
// it is sent again, and how it ends.
package egress

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/roster"
)

// Tuning holds the limits of sending.
type Tuning struct {
	// MaxSends is how often one call is sent at most.
	MaxSends int
	// RetryShare is how many retries one success pays for.
	RetryShare float64
	// RetryBurst is how many retries can be saved up.
	RetryBurst float64
	// Ramp is how long a new upstream takes to get its full share.
	Ramp time.Duration
	// EjectBase is the first time for which a failing upstream is avoided.
	EjectBase time.Duration
	// EjectMax bounds that time as it doubles.
	EjectMax time.Duration
	// ShedMax bounds the time for which an overloaded upstream is avoided.
	ShedMax time.Duration
}

// retryLater is what a caller is told where nothing better is known.
const retryLater = time.Second

type call struct {
	route    cyclam.Route
	key      string
	repeat   bool
	deadline time.Time
	tried    []cyclam.InstanceName
	attempt  cyclam.AttemptID
	endpoint cyclam.Endpoint
	last     cyclam.Completion
}

// State is what a node knows of the calls that it sends.
type State struct {
	Tuning   Tuning
	Self     cyclam.Identity
	Locality cyclam.Locality

	calls  *immutable.Map[cyclam.CallID, call]
	peers  *immutable.Map[cyclam.InstanceName, peer]
	budget float64
	rand   cyclam.Rand
	number uint64
}

// New returns a state in which nothing is sent.
func New(self cyclam.Identity, place cyclam.Locality, tuning Tuning) State {
	return State{
		Tuning:   tuning,
		Self:     self,
		Locality: place,
		calls:    immutable.NewMap[cyclam.CallID, call](nil),
		peers:    immutable.NewMap[cyclam.InstanceName, peer](nil),
		budget:   tuning.RetryBurst,
		rand:     cyclam.Rand(self.Incarnation),
	}
}

// Busy reports whether any call has no answer yet.
func (s State) Busy() bool { return s.calls.Len() > 0 }

// InFlight returns how many calls have no answer yet.
func (s State) InFlight() int { return s.calls.Len() }

// View is what the node knows of the fleet when it decides.
type View struct {
	Conf   conf.State
	Roster roster.Roster
}

// Arrived decides on a new call.
func (s State) Arrived(v View, e cyclam.CallArrived) (State, []cyclam.Effect) {
	route, ok := v.Conf.Set.Match(e.Path)
	if !ok {
		return s, finish(e.Call, cyclam.Refused(cyclam.ReasonNoRoute, 0))
	}
	c := call{
		route:    route,
		key:      e.Key,
		repeat:   route.Idempotent(e.Method),
		deadline: deadline(v.Conf.Set, route, e),
	}
	if !c.deadline.After(e.Now) {
		return s, finish(e.Call, cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0))
	}
	c.last = cyclam.Refused(cyclam.ReasonNoUpstream, retryLater)
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

// send picks an endpoint for the call, or ends the call with its last verdict.
func (s State) send(v View, now time.Time, id cyclam.CallID, c call) (State, []cyclam.Effect) {
	s, endpoint, retryAfter := s.pick(v, now, c)
	if endpoint.Instance == "" {
		if retryAfter > 0 && len(c.tried) == 0 {
			c.last = cyclam.Refused(cyclam.ReasonOverloaded, retryAfter)
		}
		s.calls = s.calls.Delete(id)
		return s, finish(id, c.last)
	}
	s.number++
	c.attempt = cyclam.AttemptID{
		Sender: s.Self,
		Number: s.number,
	}
	c.endpoint = endpoint
	c.tried = append(slices.Clip(c.tried), endpoint.Instance)
	s.calls = s.calls.Set(id, c)
	s = s.withPeer(now, endpoint, peer.sent)
	return s, []cyclam.Effect{cyclam.SendAttempt{
		Call:     id,
		Attempt:  c.attempt,
		Endpoint: endpoint,
		Deadline: c.deadline,
	}}
}

// Ended takes in how an attempt ended.
func (s State) Ended(v View, e cyclam.AttemptEnded) (State, []cyclam.Effect) {
	c, ok := s.calls.Get(e.Call)
	if !ok || c.attempt != e.Attempt {
		return s, nil
	}
	s = s.learn(e.Now, c.endpoint, e)
	switch e.Completion.Outcome {
	case cyclam.OutcomeDone:
		s.budget = min(s.Tuning.RetryBurst, s.budget+s.Tuning.RetryShare)
		return s.finish(e.Call, e.Completion)
	case cyclam.OutcomeNotRun:
		return s.again(v, e.Now, e.Call, c, e.Completion)
	default:
		return s.lost(v, e, c)
	}
}

// lost handles an attempt that may have run.
func (s State) lost(v View, e cyclam.AttemptEnded, c call) (State, []cyclam.Effect) {
	confirm := cyclam.ConfirmCancel{
		Call:     e.Call,
		Attempt:  c.attempt,
		Endpoint: c.endpoint,
	}
	late := !c.deadline.After(e.Now)
	switch {
	case c.repeat && !late:
		return s.again(v, e.Now, e.Call, c, e.Completion)
	case e.Explicit:
		return s.finish(e.Call, e.Completion)
	case late:
		s, effects := s.finish(e.Call, e.Completion)
		return s, append(effects, confirm)
	default:
		return s, []cyclam.Effect{confirm}
	}
}

// CancelReplied takes in the answer to a cancel: only a confirmed one makes an
// attempt that may not be repeated certain not to have run.
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
	return s.again(v, e.Now, e.Call, c, cyclam.Refused(cyclam.ReasonCancelled, retryLater))
}

// again sends the call to another endpoint where the budget, the deadline and
// the number of sends allow it, and otherwise ends it at once.
func (s State) again(v View, now time.Time, id cyclam.CallID, c call, last cyclam.Completion) (State, []cyclam.Effect) {
	c.last = c.worst(last)
	switch {
	case c.key != "" && !c.repeat:
		return s.finish(id, c.last)
	case !c.deadline.After(now), len(c.tried) >= s.Tuning.MaxSends:
		return s.finish(id, c.last)
	case s.budget < 1:
		return s.finish(id, c.last)
	}
	s.budget--
	return s.send(v, now, id, c)
}

// worst keeps an unknown outcome of an earlier send: a later refusal does not
// make the call not run.
func (c call) worst(last cyclam.Completion) cyclam.Completion {
	if len(c.tried) > 1 && c.last.Outcome == cyclam.OutcomeUnknown {
		return c.last
	}
	return last
}

func (s State) finish(id cyclam.CallID, verdict cyclam.Completion) (State, []cyclam.Effect) {
	s.calls = s.calls.Delete(id)
	return s, finish(id, verdict)
}

func finish(id cyclam.CallID, verdict cyclam.Completion) []cyclam.Effect {
	return []cyclam.Effect{cyclam.FinishCall{
		Call:       id,
		Completion: verdict,
	}}
}
