// Package core joins the decisions of a node into one reducer over all events.
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

// Tuning holds the knobs of all parts.
type Tuning struct {
	Tree   tree.Tuning
	Admit  admit.Tuning
	Egress egress.Tuning
	// LeaveWait is how long a stopping node keeps refusing new work, so that
	// callers that missed the announcement are told.
	LeaveWait time.Duration
}

// State is everything that a node decides upon.
type State struct {
	Tuning Tuning
	Tree   tree.State
	Commit commit.State
	Admit  admit.State
	Egress egress.State

	health   health
	leaving  bool
	leaveAt  time.Time
	ticked   time.Time
	finished bool
}

// health follows the probes of the own upstream.
type health struct {
	failures int
}

// failuresToDown is how many probes in a row must fail before the upstream is
// announced as down; one answer brings it back.
const failuresToDown = 2

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

// Reduce folds one event into the state.
func Reduce(s State, event cyclam.Event) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	switch e := event.(type) {
	case cyclam.CallArrived:
		if s.leaving && !e.Now.Before(s.leaveAt) {
			return s, []cyclam.Effect{refusal(e.Call, cyclam.ReasonDraining)}
		}
		if !s.Tree.Serving(e.Now) {
			return s, []cyclam.Effect{refusal(e.Call, cyclam.ReasonNoConfig)}
		}
		s.Egress, effects = s.Egress.Arrived(s.view(), e)
	case cyclam.AttemptEnded:
		s.Egress, effects = s.Egress.Ended(s.view(), e)
	case cyclam.CancelAnswered:
		s.Egress, effects = s.Egress.CancelReplied(s.view(), e)
	case cyclam.WorkArrived:
		s.Admit, effects = s.Admit.Arrived(e, s.barrier(e.Now, e.Service))
	case cyclam.WorkEnded:
		s.Admit, effects = s.Admit.Ended(e)
	case cyclam.CancelArrived:
		s.Admit, effects = s.Admit.Cancelled(e)
	case cyclam.UpstreamProbed:
		s = s.probed(e)
	case cyclam.StopRequested:
		return s.stop(e.Now)
	default:
		return s.control(event)
	}
	return s, effects
}

// Leaving reports whether a planned stop has begun.
func (s State) Leaving() bool { return s.leaving }

// refusal answers a call that this node can't serve for now.
func refusal(call cyclam.CallID, reason cyclam.Reason) cyclam.Effect {
	return cyclam.FinishCall{
		Call:       call,
		Completion: cyclam.Refused(reason, time.Second),
	}
}

// barrier says why work for a service must not start here, or nothing. Placement
// is checked once more, by the configuration in force here.
func (s State) barrier(now time.Time, service cyclam.ServiceName) cyclam.Reason {
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

// control folds an event of the control plane.
func (s State) control(event cyclam.Event) (State, []cyclam.Effect) {
	var effects, more []cyclam.Effect
	s.Tree, effects = tree.Reduce(s.Tree, event)
	s.Commit, more = s.Commit.WithRole(s.Tree.Holds(cyclam.RoleRoot), s.Tree.Conf)
	effects = append(effects, more...)
	result := commit.Reduce(s.Commit, s.Tree.Conf, event)
	s.Commit = result.State
	effects = append(effects, result.Effects...)
	s.Tree, more = s.Tree.Adopt(result.Conf)
	effects = append(effects, more...)
	s, more = s.evict(event.At())
	effects = append(effects, more...)
	if tick, ok := event.(cyclam.Tick); ok {
		s, more = s.tick(tick.Now)
		effects = append(effects, more...)
	}
	return s, effects
}

// evict refuses the work that waits once this node may not start it any more.
func (s State) evict(now time.Time) (State, []cyclam.Effect) {
	if s.Admit.Waiting() == 0 {
		return s, nil
	}
	reason := s.barrier(now, s.Tree.Self.Service)
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
	s = s.woken(now)
	if !s.drained(now) {
		return s, effects
	}
	s.finished = true
	return s, append(effects, cyclam.Exit{
		Reason: "stopped",
	})
}

// pauseSign is the time between two ticks that shows that the process was
// paused; the shell sends them several times as often.
const pauseSign = 200 * time.Millisecond

// woken lets a stopping node that was paused wait once more: calls may have come
// in meanwhile that it has not seen yet.
func (s State) woken(now time.Time) State {
	if s.leaving && now.Sub(s.ticked) > pauseSign {
		s.leaveAt = now.Add(s.Tuning.LeaveWait)
	}
	s.ticked = now
	return s
}

// drained reports whether a stopping node has nothing left to do.
func (s State) drained(now time.Time) bool {
	return s.leaving && !s.finished && !now.Before(s.leaveAt) && !s.Admit.Busy() && !s.Egress.Busy()
}

// stop begins a planned stop: nothing new is taken, all in flight is finished.
func (s State) stop(now time.Time) (State, []cyclam.Effect) {
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

// probed takes in a probe of the own upstream.
func (s State) probed(e cyclam.UpstreamProbed) State {
	if e.Healthy {
		s.health.failures = 0
	} else {
		s.health.failures++
	}
	up := s.health.failures < failuresToDown
	s.Admit = s.Admit.WithHealth(e.Now, up)
	s.Tree = s.Tree.WithHealth(e.Now, up)
	return s
}
