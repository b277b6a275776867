// Package commit turns the operators' objects into accepted configurations.
//
// Only the holder of the root claim runs it. A configuration is accepted at the
// moment at which the conditional write of the head object takes effect; a
// holder that was paused, or a second one, is refused by that write.
package commit

import (
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

	phase phase
	// retry is when the platform is asked again for what this phase waits for.
	retry time.Time
	// rewatch is when a broken watch is taken up again.
	rewatch  time.Time
	revision uint64
	watched  uint64
	watching bool
	intake   conf.Staging
	pending  pending
	// token tells the answer to the latest write from answers to earlier ones.
	token uint64
	fleet fleet
	ruled ledger
}

// pending is a version that is being written.
type pending struct {
	state   conf.State
	delta   cyclam.Delta
	intake  conf.Staging
	rulings []conf.ObjectDecision
}

// New returns the state of a node that is not the root.
func New(self cyclam.Identity) State {
	return State{
		Self:   self,
		intake: conf.NewStaging(),
		ruled:  newLedger(),
	}
}

// reset forgets everything but the token, which must never repeat.
func (s State) reset() State {
	fresh := New(s.Self)
	fresh.token = s.token
	return fresh
}

// Active reports whether the node acts as the root.
func (s State) Active() bool { return s.phase != phaseIdle }

// Result is what a step of acceptance leads to.
type Result struct {
	State   State
	Conf    conf.State
	Effects []cyclam.Effect
}

func (s State) result(held conf.State, effects ...cyclam.Effect) Result {
	return Result{
		State:   s,
		Conf:    held,
		Effects: effects,
	}
}

// WithRole starts or stops acceptance as the root claim is won or lost.
func (s State) WithRole(root bool, held conf.State) (State, []cyclam.Effect) {
	switch {
	case root && s.phase == phaseIdle:
		s = s.reset()
		s.phase = phaseHead
		return s, []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case !root && s.phase != phaseIdle:
		return s.reset(), nil
	default:
		return s, nil
	}
}

// Reduce folds one event into the state and the configuration held.
func Reduce(s State, held conf.State, event cyclam.Event) Result {
	if s.phase == phaseIdle {
		return s.result(held)
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
		return s.result(held)
	}
}

// tick tries again what the platform did not answer.
func (s State) tick(held conf.State, now time.Time) Result {
	var effects []cyclam.Effect
	if !s.retry.IsZero() && !now.Before(s.retry) {
		s.retry = time.Time{}
		effects = s.askAgain(held)
	}
	if !s.rewatch.IsZero() && !now.Before(s.rewatch) {
		s.rewatch = time.Time{}
		s.watching = true
		effects = append(effects, cyclam.WatchObjects{
			From: s.watched,
		})
	}
	return s.result(held, effects...)
}

// askAgain repeats the question whose answer this phase waits for.
func (s State) askAgain(held conf.State) []cyclam.Effect {
	switch s.phase {
	case phaseHead, phaseUnsure:
		return []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case phaseList:
		return []cyclam.Effect{cyclam.ListObjects{}}
	default:
		return nil
	}
}

// headRead learns which version is the accepted one.
func (s State) headRead(held conf.State, e cyclam.HeadRead) Result {
	if s.phase != phaseHead && s.phase != phaseUnsure {
		return s.result(held)
	}
	if e.Err != nil && !errors.Is(e.Err, cyclam.ErrNotFound) {
		s.retry = e.Now.Add(retryPause)
		return s.result(held, failed("read-head", e.Err))
	}
	if s.phase == phaseUnsure {
		return s.resolved(held, e)
	}
	return s.follow(held, e)
}

// follow adopts the head, whoever wrote it, and reads the objects anew.
func (s State) follow(held conf.State, e cyclam.HeadRead) Result {
	s.revision = e.Revision
	if e.Head.Version > held.Version {
		next, err := held.WithSnapshot(e.Snapshot)
		if err != nil {
			s.retry = e.Now.Add(retryPause)
			s.phase = phaseHead
			return s.result(held, failed("apply-head", err))
		}
		held = next
	}
	s.phase = phaseList
	return s.result(held, cyclam.ListObjects{})
}

// resolved settles a write whose answer was lost or that met a conflict: the
// head itself says whether this process wrote it.
func (s State) resolved(held conf.State, e cyclam.HeadRead) Result {
	p := s.pending.state
	if e.Head.Version == p.Version && e.Head.Result == p.Set.Digest().String() {
		return s.accepted(e.Now, e.Revision)
	}
	if e.Revision == s.revision {
		s.phase = phaseWriting
		return s.result(held, s.write())
	}
	s.pending = pending{}
	return s.follow(held, e)
}

func (s State) write() cyclam.Effect {
	return cyclam.WriteVersion{
		Token:    s.token,
		Delta:    s.pending.delta,
		Snapshot: s.pending.state.Snapshot(),
		Writer:   s.Self,
		Revision: s.revision,
	}
}

// listed takes in all objects and starts to watch them.
func (s State) listed(held conf.State, e cyclam.ObjectsListed) Result {
	if s.phase != phaseList {
		return s.result(held)
	}
	if e.Err != nil {
		s.retry = e.Now.Add(retryPause)
		return s.result(held, failed("list-objects", e.Err))
	}
	s.intake = conf.NewStaging().WithList(e.List.Objects, held.Set)
	s.ruled = newLedger().withList(e.List.Objects)
	s.watched = e.List.Revision
	s.phase = phaseReady
	var effects []cyclam.Effect
	if !s.watching {
		s.watching = true
		effects = append(effects, cyclam.WatchObjects{
			From: s.watched,
		})
	}
	return s.decide(held, effects)
}

// changed takes in what a watch saw.
func (s State) changed(held conf.State, e cyclam.ObjectsChanged) Result {
	s.watching = false
	switch {
	case errors.Is(e.Err, cyclam.ErrCompacted):
		return s.relist(held, e.Now)
	case e.Err != nil:
		s.rewatch = e.Now.Add(retryPause)
		return s.result(held, failed("watch-objects", e.Err))
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
	return s.decide(held, []cyclam.Effect{cyclam.WatchObjects{
		From: s.watched,
	}})
}

// relist starts over where the watch has lost its place; a write that is under
// way is settled first.
func (s State) relist(held conf.State, now time.Time) Result {
	if s.phase != phaseReady {
		s.rewatch = now.Add(retryPause)
		return s.result(held)
	}
	s.phase = phaseList
	return s.result(held, cyclam.ListObjects{})
}

// decide judges what has changed, and writes a version if anything is new.
func (s State) decide(held conf.State, effects []cyclam.Effect) Result {
	if s.phase != phaseReady {
		return s.result(held, effects...)
	}
	intake, set, rulings := s.intake.Decide(held.Set)
	if set.Digest() == held.Set.Digest() {
		s.intake = intake
		s, more := s.statuses(rulings, held.Version)
		return s.result(held, append(effects, more...)...)
	}
	keys := make([]cyclam.Key, 0, len(rulings))
	for _, r := range rulings {
		keys = append(keys, r.Object)
	}
	upserts, deletes := conf.Difference(held.Set, set, keys)
	delta := cyclam.Delta{
		From:    held.Version,
		To:      held.Version + 1,
		Upserts: upserts,
		Deletes: deletes,
		Result:  set.Digest(),
	}
	next, err := held.WithDelta(delta)
	if err != nil {
		return s.result(held, append(effects, failed("build-version", err))...)
	}
	s.token++
	s.pending = pending{
		state:   next,
		delta:   delta,
		intake:  intake,
		rulings: rulings,
	}
	s.phase = phaseWriting
	s.intake = intake
	return s.result(held, append(effects, s.write())...)
}

// written takes in the result of writing a version.
func (s State) written(held conf.State, e cyclam.VersionWritten) Result {
	if s.phase != phaseWriting || e.Token != s.token {
		return s.result(held)
	}
	if e.Err == nil {
		return s.accepted(e.Now, e.Revision)
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
func (s State) accepted(now time.Time, revision uint64) Result {
	p := s.pending
	s.pending = pending{}
	s.revision = revision
	s.phase = phaseReady
	s.fleet = s.fleet.accepted(now, p.state.Version)
	effects := []cyclam.Effect{cyclam.WriteLog{
		Event:  "version-accepted",
		Fields: []any{"version", p.state.Version, "objects", len(p.rulings)},
	}}
	s, more := s.statuses(p.rulings, p.state.Version)
	effects = append(effects, more...)
	return s.decide(p.state, effects)
}

func failed(step string, err error) cyclam.Effect {
	return cyclam.WriteLog{
		Event:  "platform-failed",
		Fields: []any{"step", step, "error", err},
	}
}
