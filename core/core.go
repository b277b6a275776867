// Package core combines the reducers of a node (tree, commit, admit, egress) into
// one reducer over all events. It runs on every event of a node, calls and ticks
// included, and has no side effects: it returns the effects to be carried out.
//
// Package node carries them out under "cyclamensaddle node". The sidecar command
// does not use this reducer: package proxy holds the state of its node.
package core

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/admit"
	"github.com/cyclamensaddle/cyclam/commit"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/egress"
	"github.com/cyclamensaddle/cyclam/tree"
)

var _ cyclam.Reducer[State] = Reduce

// Tuning holds the settings of all parts.
type Tuning struct {
	Tree   tree.Tuning
	Admit  admit.Tuning
	Egress egress.Tuning
	// LeaveWait is how long a stopping node stays up and refuses new work, so that
	// callers that missed its leaving announcement get a definite refusal.
	LeaveWait time.Duration
}

// State is the whole state on which a node bases its decisions.
type State struct {
	Tuning Tuning
	Tree   tree.State
	Commit commit.State
	Admit  admit.State
	Egress egress.State

	health  health
	leaving bool
	// leaveAt is when LeaveWait ends; from then on calls are refused.
	leaveAt  time.Time
	lastTick time.Time
	finished bool
}

// health counts the failed probes of the node's own upstream.
type health struct {
	failures int
}

// unhealthyThreshold is how many consecutive probes must fail before the upstream
// is announced as down. A single successful probe marks it as ready again.
const unhealthyThreshold = 2

// New returns the state of a node that has just started.
func New(self cyclam.Endpoint, tuning Tuning, now time.Time) State {
	return State{
		Tuning: tuning,
		Tree:   tree.New(self, tuning.Tree, now),
		Commit: commit.New(self.Identity),
		Admit:  admit.New(self.Identity, tuning.Admit, now),
		Egress: egress.New(self.Identity, self.Locality, tuning.Egress),
	}
}

// Conf returns the configuration in force.
func (s State) Conf() conf.State { return s.Tree.Conf }

func (s State) view() egress.View {
	return egress.View{
		Conf:   s.Tree.Conf,
		Roster: s.Tree.Roster,
	}
}

// Reduce applies one event to the state and returns the resulting effects.
func Reduce(s State, event cyclam.Event) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	switch e := event.(type) {
	case cyclam.CallArrived:
		if s.leaving && !e.Now.Before(s.leaveAt) {
			return s, []cyclam.Effect{refuseCall(e.Call, cyclam.ReasonDraining)}
		}
		if !s.Tree.Serving(e.Now) {
			return s, []cyclam.Effect{refuseCall(e.Call, cyclam.ReasonNoConfig)}
		}
		s.Egress, effects = s.Egress.Arrived(s.view(), e)
	case cyclam.AttemptEnded:
		s.Egress, effects = s.Egress.Ended(s.view(), e)
	case cyclam.CancelAnswered:
		s.Egress, effects = s.Egress.CancelReplied(s.view(), e)
	case cyclam.WorkArrived:
		s.Admit, effects = s.Admit.Arrived(e, s.refusalReason(e.Now, e.Service))
	case cyclam.WorkEnded:
		s.Admit, effects = s.Admit.Ended(e)
	case cyclam.CancelArrived:
		s.Admit, effects = s.Admit.Cancelled(e)
	case cyclam.UpstreamProbed:
		s = s.withProbe(e)
	case cyclam.StopRequested:
		return s.beginStop(e.Now)
	default:
		return s.reduceControl(event)
	}
	return s, effects
}

// Leaving reports whether a planned stop has begun.
func (s State) Leaving() bool { return s.leaving }

// refuseCall ends a call that this node can't serve at present; the caller may
// retry after one second.
func refuseCall(call cyclam.CallID, reason cyclam.Reason) cyclam.Effect {
	return cyclam.FinishCall{
		Call:       call,
		Completion: cyclam.Refused(reason, time.Second),
	}
}

// refusalReason returns why work for a service must not start on this node, or
// the empty reason. It checks placement again, because the sender may have chosen
// this node by another version of the configuration.
func (s State) refusalReason(now time.Time, service cyclam.ServiceName) cyclam.Reason {
	self := s.Tree.Self
	switch {
	case s.Tree.Superseded(), service != self.Service:
		return cyclam.ReasonWrongTarget
	case !s.Tree.Serving(now):
		return cyclam.ReasonNoConfig
	case !s.Tree.Conf.Set.Allows(service, self.Locality):
		return cyclam.ReasonPlacement
	default:
		return ""
	}
}

// reduceControl applies an event of the control plane, ticks included.
func (s State) reduceControl(event cyclam.Event) (State, []cyclam.Effect) {
	var effects, more []cyclam.Effect
	s.Tree, effects = tree.Reduce(s.Tree, event)
	s.Commit, more = s.Commit.WithRole(s.Tree.Holds(cyclam.RoleRoot), s.Tree.Conf)
	effects = append(effects, more...)
	result := commit.Reduce(s.Commit, s.Tree.Conf, event)
	s.Commit = result.State
	effects = append(effects, result.Effects...)
	s.Tree, more = s.Tree.Adopt(result.Conf)
	effects = append(effects, more...)
	s, more = s.evictWaiting(event.At())
	effects = append(effects, more...)
	if tick, ok := event.(cyclam.Tick); ok {
		s, more = s.tick(tick.Now)
		effects = append(effects, more...)
	}
	return s, effects
}

// evictWaiting refuses all queued work once this node must not start it any more.
func (s State) evictWaiting(now time.Time) (State, []cyclam.Effect) {
	if s.Admit.Waiting() == 0 {
		return s, nil
	}
	reason := s.refusalReason(now, s.Tree.Self.Service)
	if reason == "" {
		return s, nil
	}
	var effects []cyclam.Effect
	s.Admit, effects = s.Admit.Evicted(reason)
	return s, effects
}

func (s State) tick(now time.Time) (State, []cyclam.Effect) {
	var effects, more []cyclam.Effect
	s.Admit, effects = s.Admit.Tick(now)
	if s.Commit.Active() {
		s.Commit, more = s.Commit.WithReport(now, s.Tree.Conf.Version, s.Tree.Report())
		effects = append(effects, more...)
	}
	s = s.withPauseCheck(now)
	if !s.drained(now) {
		return s, effects
	}
	s.finished = true
	return s, append(effects, cyclam.Exit{
		Reason: "stopped",
	})
}

// pauseThreshold is the gap between two ticks above which the process counts as
// having been paused. Ticks normally arrive several times within this interval.
const pauseThreshold = 200 * time.Millisecond

// withPauseCheck restarts LeaveWait if a stopping node was paused: calls may have
// arrived during the pause that it has not processed yet.
func (s State) withPauseCheck(now time.Time) State {
	if s.leaving && now.Sub(s.lastTick) > pauseThreshold {
		s.leaveAt = now.Add(s.Tuning.LeaveWait)
	}
	s.lastTick = now
	return s
}

// drained reports whether a stopping node has waited for LeaveWait and has no work
// left.
func (s State) drained(now time.Time) bool {
	return s.leaving && !s.finished && !now.Before(s.leaveAt) && !s.Admit.Busy() && !s.Egress.Busy()
}

// beginStop begins a planned stop: the node accepts no new work and finishes what
// is in flight.
func (s State) beginStop(now time.Time) (State, []cyclam.Effect) {
	if s.leaving {
		return s, nil
	}
	s.leaving = true
	s.leaveAt = now.Add(s.Tuning.LeaveWait)
	s.Admit = s.Admit.WithDraining()
	var effects, more []cyclam.Effect
	s.Tree, effects = s.Tree.Leave(now)
	s.Commit, more = s.Commit.WithRole(false, s.Tree.Conf)
	return s, append(effects, more...)
}

// withProbe records the result of a probe of the node's own upstream.
func (s State) withProbe(e cyclam.UpstreamProbed) State {
	if e.Healthy {
		s.health.failures = 0
	} else {
		s.health.failures++
	}
	up := s.health.failures < unhealthyThreshold
	s.Admit = s.Admit.WithHealth(e.Now, up)
	s.Tree = s.Tree.WithHealth(e.Now, up)
	return s
}
