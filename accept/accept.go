// Package accept turns the operators' objects into accepted configurations.
//
// Only the holder of the root claim runs it. A configuration is accepted at the
// moment at which the conditional write of the head object takes effect; a
// holder that was paused, or a second one, is refused by that write.
package accept

import (
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
)

// retryPause is the time between tries while the platform does not answer.
const retryPause = 500 * time.Millisecond

type phase uint8

const (
	phaseIdle phase = iota
	// phaseHead waits for the head to be read.
	phaseHead
	// phaseList waits for the operators' objects.
	phaseList
	// phaseReady has seen everything.
	phaseReady
	// phaseWriting waits for a version to be written.
	phaseWriting
	// phaseUnsure waits to see whether a write took effect.
	phaseUnsure
)

// State is what the root knows of the objects and of the accepted version.
type State struct {
	Self cyclam.Identity

	phase    phase
	retry    time.Time
	revision uint64
	watched  uint64
	watching bool
	intake   conf.Intake
	pending  pending
	fleet    fleet
}

// pending is a version that is being written.
type pending struct {
	state   conf.State
	intake  conf.Intake
	rulings []conf.Ruling
}

// New returns the state of a node that is not the root.
func New(self cyclam.Identity) State {
	return State{
		Self:   self,
		intake: conf.NewIntake(),
	}
}

// Active reports whether the node acts as the root.
func (s State) Active() bool { return s.phase != phaseIdle }

// Result is what a step of acceptance leads to.
type Result struct {
	State   State
	Conf    conf.State
	Effects []cyclam.Effect
}

// WithRole starts or stops acceptance as the root claim is won or lost.
func (s State) WithRole(root bool, held conf.State) (State, []cyclam.Effect) {
	switch {
	case root && s.phase == phaseIdle:
		s = New(s.Self)
		s.phase = phaseHead
		return s, []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case !root && s.phase != phaseIdle:
		return New(s.Self), nil
	default:
		return s, nil
	}
}

// Reduce folds one event into the state and the configuration held.
func Reduce(s State, held conf.State, event cyclam.Event) Result {
	if s.phase == phaseIdle {
		return Result{
			State: s,
			Conf:  held,
		}
	}
	switch e := event.(type) {
	case cyclam.HeadRead:
		return s.headRead(held, e)
	case cyclam.ObjectsListed:
		return s.listed(held, e)
	case cyclam.ObjectsChanged:
		return s.changed(held, e)
	case cyclam.VersionWritten:
		return s.written(held, e)
	case cyclam.Tick:
		return s.tick(held, e.Now)
	default:
		return Result{
			State: s,
			Conf:  held,
		}
	}
}

// tick tries again what the platform did not answer.
func (s State) tick(held conf.State, now time.Time) Result {
	if s.retry.IsZero() || now.Before(s.retry) {
		return Result{
			State: s,
			Conf:  held,
		}
	}
	s.retry = time.Time{}
	result := Result{
		State: s,
		Conf:  held,
	}
	switch {
	case s.phase == phaseHead || s.phase == phaseUnsure:
		result.Effects = []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case s.phase == phaseList:
		result.Effects = []cyclam.Effect{cyclam.ListObjects{}}
	case !s.watching:
		result.State.watching = true
		result.Effects = []cyclam.Effect{cyclam.WatchObjects{
			From: s.watched,
		}}
	}
	return result
}

// headRead learns which version is the accepted one.
func (s State) headRead(held conf.State, e cyclam.HeadRead) Result {
	if s.phase != phaseHead && s.phase != phaseUnsure {
		return Result{
			State: s,
			Conf:  held,
		}
	}
	if e.Err != nil && !errors.Is(e.Err, cyclam.ErrNotFound) {
		s.retry = e.Now.Add(retryPause)
		return Result{
			State:   s,
			Conf:    held,
			Effects: []cyclam.Effect{failed("read-head", e.Err)},
		}
	}
	if s.phase == phaseUnsure {
		return s.resolved(held, e)
	}
	return s.follow(held, e)
}

// follow adopts the head, whoever wrote it, and reads the objects anew.
func (s State) follow(held conf.State, e cyclam.HeadRead) Result {
	s.revision = e.Revision
	var effects []cyclam.Effect
	if e.Snapshot.Version > held.Version {
		next, err := held.WithSnapshot(e.Snapshot)
		if err != nil {
			s.retry = e.Now.Add(retryPause)
			s.phase = phaseHead
			return Result{
				State:   s,
				Conf:    held,
				Effects: []cyclam.Effect{failed("apply-head", err)},
			}
		}
		held = next
	}
	s.phase = phaseList
	return Result{
		State:   s,
		Conf:    held,
		Effects: append(effects, cyclam.ListObjects{}),
	}
}

// resolved settles a write whose answer was lost or that met a conflict: the
// head itself says whether this process wrote it.
func (s State) resolved(held conf.State, e cyclam.HeadRead) Result {
	p := s.pending.state
	if e.Head.Writer == s.Self && e.Head.Version == p.Version {
		return s.accepted(held, e.Now, e.Revision)
	}
	if e.Revision == s.revision {
		s.phase = phaseWriting
		return Result{
			State:   s,
			Conf:    held,
			Effects: []cyclam.Effect{s.write()},
		}
	}
	s.pending = pending{}
	return s.follow(held, e)
}

func (s State) write() cyclam.Effect {
	return cyclam.WriteVersion{
		Snapshot: s.pending.state.Snapshot(),
		Writer:   s.Self,
		Revision: s.revision,
	}
}

// listed takes in all objects and starts to watch them.
func (s State) listed(held conf.State, e cyclam.ObjectsListed) Result {
	if s.phase != phaseList {
		return Result{
			State: s,
			Conf:  held,
		}
	}
	if e.Err != nil {
		s.retry = e.Now.Add(retryPause)
		return Result{
			State:   s,
			Conf:    held,
			Effects: []cyclam.Effect{failed("list-objects", e.Err)},
		}
	}
	s.intake = conf.NewIntake().WithList(e.List.Objects, held.Set)
	s.watched = e.List.Revision
	s.phase = phaseReady
	var effects []cyclam.Effect
	if !s.watching {
		s.watching = true
		effects = append(effects, cyclam.WatchObjects{
			From: s.watched,
		})
	}
	return s.decide(held, e.Now, effects)
}

// changed takes in what a watch saw.
func (s State) changed(held conf.State, e cyclam.ObjectsChanged) Result {
	s.watching = false
	switch {
	case errors.Is(e.Err, cyclam.ErrCompacted):
		return s.relist(held, e.Now)
	case e.Err != nil:
		s.retry = e.Now.Add(retryPause)
		return Result{
			State:   s,
			Conf:    held,
			Effects: []cyclam.Effect{failed("watch-objects", e.Err)},
		}
	}
	s.watching = true
	if e.From != s.watched {
		return Result{
			State: s,
			Conf:  held,
			Effects: []cyclam.Effect{cyclam.WatchObjects{
				From: s.watched,
			}},
		}
	}
	for _, event := range e.Changes.Events {
		s.intake = s.intake.WithEvent(event)
	}
	s.watched = e.Changes.Revision
	return s.decide(held, e.Now, []cyclam.Effect{cyclam.WatchObjects{
		From: s.watched,
	}})
}

// relist starts over where the watch has lost its place; a write that is under
// way is settled first.
func (s State) relist(held conf.State, now time.Time) Result {
	if s.phase != phaseReady {
		s.retry = now.Add(retryPause)
		return Result{
			State: s,
			Conf:  held,
		}
	}
	s.phase = phaseList
	return Result{
		State:   s,
		Conf:    held,
		Effects: []cyclam.Effect{cyclam.ListObjects{}},
	}
}

// decide judges what has changed, and writes a version if anything is new.
func (s State) decide(held conf.State, now time.Time, effects []cyclam.Effect) Result {
	if s.phase != phaseReady {
		return Result{
			State:   s,
			Conf:    held,
			Effects: effects,
		}
	}
	intake, set, rulings := s.intake.Decide(held.Set)
	if set.Digest() == held.Set.Digest() {
		s.intake = intake
		return Result{
			State:   s,
			Conf:    held,
			Effects: append(effects, statuses(rulings, held.Version)...),
		}
	}
	keys := make([]cyclam.Key, 0, len(rulings))
	for _, r := range rulings {
		keys = append(keys, r.Object)
	}
	upserts, deletes := conf.Difference(held.Set, set, keys)
	next, err := held.WithDelta(cyclam.Delta{
		From:    held.Version,
		To:      held.Version + 1,
		Upserts: upserts,
		Deletes: deletes,
		Result:  set.Digest(),
	})
	if err != nil {
		return Result{
			State:   s,
			Conf:    held,
			Effects: append(effects, failed("build-version", err)),
		}
	}
	s.pending = pending{
		state:   next,
		intake:  intake,
		rulings: rulings,
	}
	s.phase = phaseWriting
	s.intake = intake
	return Result{
		State:   s,
		Conf:    held,
		Effects: append(effects, s.write()),
	}
}

// written takes in the result of writing a version.
func (s State) written(held conf.State, e cyclam.VersionWritten) Result {
	if s.phase != phaseWriting || e.Version != s.pending.state.Version {
		return Result{
			State: s,
			Conf:  held,
		}
	}
	if e.Err == nil {
		return s.accepted(held, e.Now, e.Revision)
	}
	s.phase = phaseUnsure
	return Result{
		State: s,
		Conf:  held,
		Effects: []cyclam.Effect{
			failed("write-version", e.Err),
			cyclam.ReadHead{
				Held: held.Version,
			},
		},
	}
}

// accepted puts the written version in force and judges what came meanwhile.
func (s State) accepted(held conf.State, now time.Time, revision uint64) Result {
	p := s.pending
	s.pending = pending{}
	s.revision = revision
	s.phase = phaseReady
	s.fleet = s.fleet.accepted(now, p.state.Version)
	effects := []cyclam.Effect{cyclam.Note{
		Event:  "version-accepted",
		Fields: []any{"version", p.state.Version, "objects", len(p.rulings)},
	}}
	effects = append(effects, statuses(p.rulings, p.state.Version)...)
	return s.decide(p.state, now, effects)
}

func failed(step string, err error) cyclam.Effect {
	return cyclam.Note{
		Event:  "platform-failed",
		Fields: []any{"step", step, "error", err},
	}
}

// ObjectStatus is the value of the status object of an operator's object.
type ObjectStatus struct {
	Object   string          `json:"object"`
	Revision uint64          `json:"revision"`
	State    conf.Decision   `json:"state"`
	Version  cyclam.Version  `json:"version"`
	Problems []StatusProblem `json:"problems,omitempty"`
}

// StatusProblem is one reason for which an object was refused.
type StatusProblem struct {
	Object string `json:"object"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// StatusName returns the name of the status object of an operator's object.
func StatusName(key cyclam.Key) string {
	return strings.ReplaceAll(key.String(), "/", ".")
}

func statuses(rulings []conf.Ruling, version cyclam.Version) []cyclam.Effect {
	var effects []cyclam.Effect
	for _, r := range rulings {
		status := ObjectStatus{
			Object:   r.Object.String(),
			Revision: r.Revision,
			State:    r.Decision,
			Version:  version,
		}
		for _, p := range r.Problems {
			status.Problems = append(status.Problems, StatusProblem(p))
		}
		effects = append(effects, cyclam.WriteStatus{
			Name:  StatusName(r.Object),
			Value: status,
		})
	}
	return effects
}
