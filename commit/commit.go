// Package commit turns the operators' objects into accepted configuration versions.
// It is part of the reducer behind "cyclamensaddle node" and runs only on the
// holder of the root claim.
//
// A version is accepted when the conditional write of the head object takes effect.
// That write fails for a former holder that was paused and for a second holder.
package commit

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
)

// retryDelay is the delay before a failed platform request is retried.
const retryDelay = 500 * time.Millisecond

type phase uint8

const (
	phaseIdle phase = iota
	// phaseReadHead waits for the head object.
	phaseReadHead
	// phaseListObjects waits for the list of the operators' objects.
	phaseListObjects
	// phaseReady has the head and all objects, and waits for changes.
	phaseReady
	// phaseWriting waits for the result of writing a version.
	phaseWriting
	// phaseUnconfirmed waits for the head object to find out whether a failed write
	// took effect.
	phaseUnconfirmed
)

// State is the immutable state of the root: the objects, the accepted version and
// the version being written.
type State struct {
	Self cyclam.Identity

	phase phase
	// retryAt is when the request of the current phase is sent again; zero if no
	// retry is due.
	retryAt time.Time
	// rewatchAt is when a failed watch is restarted; zero if no restart is due.
	rewatchAt     time.Time
	headRevision  uint64
	watchRevision uint64
	watching      bool
	staging       conf.Staging
	pending       pending
	// token identifies the latest write, so that responses to earlier ones are
	// ignored.
	token       uint64
	convergence convergence
	published   statusCache
}

// pending is a version whose write is not confirmed yet.
type pending struct {
	state     conf.State
	delta     cyclam.Delta
	staging   conf.Staging
	decisions []conf.ObjectDecision
}

// New returns the idle state of a node that is not the root.
func New(self cyclam.Identity) State {
	return State{
		Self:      self,
		staging:   conf.NewStaging(),
		published: newStatusCache(),
	}
}

// reset returns an idle state that keeps only the token: a repeated token would match
// a late response to a write of an earlier term.
func (s State) reset() State {
	fresh := New(s.Self)
	fresh.token = s.token
	return fresh
}

// Active reports whether the node runs as the root.
func (s State) Active() bool { return s.phase != phaseIdle }

// Result is the outcome of one event: the new state, the configuration held and the
// effects to run.
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

// WithRole starts or stops the root's work when the root claim is won or lost.
func (s State) WithRole(root bool, held conf.State) (State, []cyclam.Effect) {
	switch {
	case root && s.phase == phaseIdle:
		s = s.reset()
		s.phase = phaseReadHead
		return s, []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case !root && s.phase != phaseIdle:
		return s.reset(), nil
	default:
		return s, nil
	}
}

// Reduce applies one event to the state and to the configuration held.
func Reduce(s State, held conf.State, event cyclam.Event) Result {
	if s.phase == phaseIdle {
		return s.result(held)
	}
	switch e := event.(type) {
	case cyclam.HeadRead:
		return s.headRead(held, e)
	case cyclam.ObjectsListed:
		return s.objectsListed(held, e)
	case cyclam.ObjectsChanged:
		return s.objectsChanged(held, e)
	case cyclam.VersionWritten:
		return s.versionWritten(held, e)
	case cyclam.Tick:
		return s.tick(held, e.Now)
	default:
		return s.result(held)
	}
}

// tick retries failed platform requests and restarts a failed watch when due.
func (s State) tick(held conf.State, now time.Time) Result {
	var effects []cyclam.Effect
	if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.retryAt = time.Time{}
		effects = s.retryEffects(held)
	}
	if !s.rewatchAt.IsZero() && !now.Before(s.rewatchAt) {
		s.rewatchAt = time.Time{}
		s.watching = true
		effects = append(effects, cyclam.WatchObjects{
			From: s.watchRevision,
		})
	}
	return s.result(held, effects...)
}

// retryEffects returns the request whose response the current phase waits for.
func (s State) retryEffects(held conf.State) []cyclam.Effect {
	switch s.phase {
	case phaseReadHead, phaseUnconfirmed:
		return []cyclam.Effect{cyclam.ReadHead{
			Held: held.Version,
		}}
	case phaseListObjects:
		return []cyclam.Effect{cyclam.ListObjects{}}
	default:
		return nil
	}
}

// headRead handles the head object, which names the accepted version.
func (s State) headRead(held conf.State, e cyclam.HeadRead) Result {
	if s.phase != phaseReadHead && s.phase != phaseUnconfirmed {
		return s.result(held)
	}
	if e.Err != nil && !errors.Is(e.Err, cyclam.ErrNotFound) {
		s.retryAt = e.Now.Add(retryDelay)
		return s.result(held, logFailure("read-head", e.Err))
	}
	if s.phase == phaseUnconfirmed {
		return s.resolveWrite(held, e)
	}
	return s.adoptHead(held, e)
}

// adoptHead adopts the version that the head names, whichever process wrote it, and
// lists the objects again.
func (s State) adoptHead(held conf.State, e cyclam.HeadRead) Result {
	s.headRevision = e.Revision
	if e.Head.Version > held.Version {
		next, err := held.WithSnapshot(e.Snapshot)
		if err != nil {
			s.retryAt = e.Now.Add(retryDelay)
			s.phase = phaseReadHead
			return s.result(held, logFailure("apply-head", err))
		}
		held = next
	}
	s.phase = phaseListObjects
	return s.result(held, cyclam.ListObjects{})
}

// resolveWrite determines the result of a write whose response was lost or that met a
// conflict. The head shows it: the pending version is in force, or the head is
// unchanged and the write is sent again, or another version is adopted.
func (s State) resolveWrite(held conf.State, e cyclam.HeadRead) Result {
	p := s.pending.state
	if e.Head.Version == p.Version && e.Head.Result == p.Set.Digest().String() {
		return s.commitPending(e.Now, e.Revision)
	}
	if e.Revision == s.headRevision {
		s.phase = phaseWriting
		return s.result(held, s.writeEffect())
	}
	s.pending = pending{}
	return s.adoptHead(held, e)
}

func (s State) writeEffect() cyclam.Effect {
	return cyclam.WriteVersion{
		Token:    s.token,
		Delta:    s.pending.delta,
		Snapshot: s.pending.state.Snapshot(),
		Writer:   s.Self,
		Revision: s.headRevision,
	}
}

// objectsListed replaces the staged objects by the list and starts to watch them.
func (s State) objectsListed(held conf.State, e cyclam.ObjectsListed) Result {
	if s.phase != phaseListObjects {
		return s.result(held)
	}
	if e.Err != nil {
		s.retryAt = e.Now.Add(retryDelay)
		return s.result(held, logFailure("list-objects", e.Err))
	}
	s.staging = conf.NewStaging().WithList(e.List.Objects, held.Set)
	s.published = newStatusCache().withList(e.List.Objects)
	s.watchRevision = e.List.Revision
	s.phase = phaseReady
	var effects []cyclam.Effect
	if !s.watching {
		s.watching = true
		effects = append(effects, cyclam.WatchObjects{
			From: s.watchRevision,
		})
	}
	return s.decide(held, effects)
}

// objectsChanged stages the changes that a watch reports and continues the watch.
func (s State) objectsChanged(held conf.State, e cyclam.ObjectsChanged) Result {
	s.watching = false
	switch {
	case errors.Is(e.Err, cyclam.ErrCompacted):
		return s.relist(held, e.Now)
	case e.Err != nil:
		s.rewatchAt = e.Now.Add(retryDelay)
		return s.result(held, logFailure("watch-objects", e.Err))
	}
	s.watching = true
	if e.From != s.watchRevision {
		return Result{
			State: s,
			Conf:  held,
			Effects: []cyclam.Effect{cyclam.WatchObjects{
				From: s.watchRevision,
			}},
		}
	}
	for _, event := range e.Changes.Events {
		s.staging = s.staging.WithEvent(event)
	}
	s.watchRevision = e.Changes.Revision
	return s.decide(held, []cyclam.Effect{cyclam.WatchObjects{
		From: s.watchRevision,
	}})
}

// relist lists the objects again after the watch's revision was compacted. In other
// phases than phaseReady, such as during a write, it only schedules a new watch.
func (s State) relist(held conf.State, now time.Time) Result {
	if s.phase != phaseReady {
		s.rewatchAt = now.Add(retryDelay)
		return s.result(held)
	}
	s.phase = phaseListObjects
	return s.result(held, cyclam.ListObjects{})
}

// decide validates the staged changes and writes a new version if the set changes.
func (s State) decide(held conf.State, effects []cyclam.Effect) Result {
	if s.phase != phaseReady {
		return s.result(held, effects...)
	}
	staging, set, decisions := s.staging.Decide(held.Set)
	if set.Digest() == held.Set.Digest() {
		s.staging = staging
		s, more := s.statusWrites(decisions, held.Version)
		return s.result(held, append(effects, more...)...)
	}
	keys := make([]cyclam.Key, 0, len(decisions))
	for _, d := range decisions {
		keys = append(keys, d.Object)
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
		return s.result(held, append(effects, logFailure("build-version", err))...)
	}
	s.token++
	s.pending = pending{
		state:     next,
		delta:     delta,
		staging:   staging,
		decisions: decisions,
	}
	s.phase = phaseWriting
	s.staging = staging
	return s.result(held, append(effects, s.writeEffect())...)
}

// versionWritten handles the result of writing a version. After any error the head is
// read, as the write may have taken effect nevertheless.
func (s State) versionWritten(held conf.State, e cyclam.VersionWritten) Result {
	if s.phase != phaseWriting || e.Token != s.token {
		return s.result(held)
	}
	if e.Err == nil {
		return s.commitPending(e.Now, e.Revision)
	}
	s.phase = phaseUnconfirmed
	return Result{
		State: s,
		Conf:  held,
		Effects: []cyclam.Effect{
			logFailure("write-version", e.Err),
			cyclam.ReadHead{
				Held: held.Version,
			},
		},
	}
}

// commitPending puts the written version in force and decides on the changes that
// arrived during the write.
func (s State) commitPending(now time.Time, revision uint64) Result {
	p := s.pending
	s.pending = pending{}
	s.headRevision = revision
	s.phase = phaseReady
	s.convergence = s.convergence.withAccepted(now, p.state.Version)
	effects := []cyclam.Effect{cyclam.WriteLog{
		Event:  "version-accepted",
		Fields: []any{"version", p.state.Version, "objects", len(p.decisions)},
	}}
	s, more := s.statusWrites(p.decisions, p.state.Version)
	effects = append(effects, more...)
	return s.decide(p.state, effects)
}

func logFailure(step string, err error) cyclam.Effect {
	return cyclam.WriteLog{
		Event:  "platform-failed",
		Fields: []any{"step", step, "error", err},
	}
}
