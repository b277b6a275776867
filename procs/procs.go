// Package procs decides which process of the upstream is at the address beside a node, and
// whether a leave that was heard of binds that process. It does no input or output.
//
// The evidence is contradictory at times. A report may arrive seconds after its process has
// ended or has said that it leaves. A process may start again under its id, the address may
// go to another service, and start times come from a clock that may jump. The node itself may
// have been restarted, and then knows only what the store, other nodes and the upstream tell
// it. A report is therefore believed only if nothing that may have happened after it speaks
// against it; otherwise a health check decides. Requests go to a process by its id, and only
// once a report has proved that it belongs to the node's service. A leave holds from the first
// word of it until a process that did not say it is known to be at the address.
package procs

import (
	"slices"
	"time"
)

const (
	// lateness is the longest time that a report is expected to be on its way.
	lateness = 10 * time.Second
	// recallTime is how long a node that has just started waits for what its former process
	// has stored.
	recallTime = time.Second
	// maxRecords bounds the processes that are remembered.
	maxRecords = 16
)

// Process is one process of the upstream.
type Process struct {
	// ID is what the process is addressed by. A process may start again under the id that it
	// had.
	ID string
	// Start is when the process started, by its own clock; zero if not known. As the clock may
	// jump, it tells processes of one id apart, but does not order them for certain.
	Start time.Time
}

// is reports whether two processes are the same as far as is known.
func (p Process) is(other Process) bool { return p.ID == other.ID && p.Start.Equal(other.Start) }

// record is what is known of one process of the node's service.
type record struct {
	Process
	// reported is set once the process has reported itself to this node; sequence is that of
	// its last report.
	reported bool
	sequence uint64
	// readyAt is when the process last reported that it is ready, readyBefore the time before.
	readyAt     time.Time
	readyBefore time.Time
	// leftAt is since when it is known that the process leaves, zero if it is not known to
	// leave, and heardAt when that was last heard. presumed is set if the leave named no start,
	// so that it may be that of another process with the same id.
	leftAt   time.Time
	heardAt  time.Time
	presumed bool
	// refutedAt is when another process was found at the address.
	refutedAt time.Time
	// admitted is set once the process was admitted.
	admitted bool
}

func (r record) hasLeft() bool { return !r.leftAt.IsZero() }

// Round numbers the states of the evidence: the answer to a health check decides only in the
// round in which it was asked.
type Round uint64

// State is what is known of the processes at the address. It is immutable.
type State struct {
	// began is when the node started. It has forgotten what its former process knew, except
	// for what was stored, which it knows once recalled is set.
	began    time.Time
	recalled bool
	// records are ordered by when they last changed.
	records []record
	// present is the process that is taken to be at the address; without an id there is none.
	// Requests go to it if admitted is set.
	present  Process
	admitted bool
	// asks is set if a health check is to decide.
	asks  bool
	round Round
	// count is the number of processes that have been present and admitted.
	count uint64
}

// New returns the state of a node that has started at a time.
func New(began time.Time) State {
	return State{
		began: began,
	}
}

// Present returns the process that is taken to be at the address; its id is empty if there is
// none.
func (s State) Present() Process { return s.present }

// Target returns the id of the process to which requests go; empty if there is none.
func (s State) Target() string {
	if !s.admitted {
		return ""
	}
	return s.present.ID
}

// LeavingSince returns since when it is known that the present process leaves; zero if it is
// not known to leave.
func (s State) LeavingSince() time.Time {
	r, _ := s.find(s.present)
	return r.leftAt
}

// Named returns the present process as far as it may be told to others: without its start if
// it was said to leave without one, and may be another process.
func (s State) Named() Process {
	if r, _ := s.find(s.present); r.presumed {
		return Process{
			ID: r.ID,
		}
	}
	return s.present
}

// Count returns how many processes have been admitted.
func (s State) Count() uint64 { return s.count }

// Asks reports whether a health check is to decide, and the round of its answer.
func (s State) Asks() (Round, bool) { return s.round, s.asks }

// Left returns the processes that have said that they leave, the latest last.
func (s State) Left() []Process {
	var left []Process
	for _, r := range s.records {
		if r.hasLeft() && !r.presumed {
			left = append(left, r.Process)
		}
	}
	return left
}

// WithReport returns the state after a report of a process of the node's service that it is
// ready, or that it leaves. A report that is older than the known one of the same process
// changes nothing.
func (s State) WithReport(now time.Time, p Process, sequence uint64, leaving bool) State {
	r, _ := s.find(p)
	if r.reported && sequence <= r.sequence {
		return s
	}
	first := !r.reported
	r.reported, r.sequence = true, sequence
	if leave, ok := s.find(unnamed(p)); ok && first && leave.hasLeft() && !r.hasLeft() && !p.Start.After(leave.leftAt) {
		r.leftAt, r.heardAt, r.presumed = leave.leftAt, leave.heardAt, true
	}
	if leaving {
		return s.with(r).withLeave(now, p)
	}
	r.readyBefore, r.readyAt = r.readyAt, now
	s = s.with(r)
	switch {
	case r.hasLeft() && !r.presumed:
		return s
	case s.admitted && s.present.is(p) && !r.presumed:
		return s
	case s.isDoubtful(now, r):
		s.asks = true
		s.round++
		if !s.admitted {
			s.present = p
		}
		return s
	case s.admitted && !s.follows(r, first):
		if s.present.ID != p.ID {
			s.asks = true
			s.round++
		}
		return s
	default:
		return s.withAdmitted(r)
	}
}

// unnamed returns the process as which a leave is known that did not name its start.
func unnamed(p Process) Process {
	p.Start = time.Time{}
	return p
}

// isDoubtful reports whether something that may have happened after the report of a process
// speaks against it.
func (s State) isDoubtful(now time.Time, r record) bool {
	if s.AwaitsRecall(now) || r.presumed || now.Sub(r.refutedAt) < lateness {
		return true
	}
	if !r.admitted && now.Sub(s.began) < lateness {
		// The process may have said to the node's former process that it leaves.
		return true
	}
	return slices.ContainsFunc(s.records, func(other record) bool {
		return other.ID == r.ID && !other.is(r.Process) && other.hasLeft() && now.Sub(other.heardAt) < lateness
	})
}

// AwaitsRecall reports whether what the node's former process has stored is still awaited. A
// health check decides nothing until then.
func (s State) AwaitsRecall(now time.Time) bool {
	return !s.recalled && now.Sub(s.began) < recallTime
}

// follows reports whether a process that has reported itself has taken the place of the
// present one: it has started later, or has reported itself twice since the present one last
// did. The clock may have jumped, and the first report may be late.
func (s State) follows(r record, first bool) bool {
	present, _ := s.find(s.present)
	return first && r.Start.After(present.Start) || r.readyBefore.After(present.readyAt)
}

// WithLeave returns the state after a process has said in another way than by a report that
// it leaves. Without a start it may be any process with its id.
func (s State) WithLeave(now time.Time, p Process) State {
	if r, _ := s.find(p); r.hasLeft() && !r.presumed && !p.Start.IsZero() && !p.is(s.present) {
		return s
	}
	return s.withLeave(now, p)
}

// withLeave returns the state after word of a leave that may be news.
func (s State) withLeave(now time.Time, p Process) State {
	s = s.withLeft(now, now, p)
	if s.present.ID == "" || s.present.ID == p.ID && s.LeavingSince().IsZero() {
		s.present = p
	}
	return s
}

// withLeft records that a process leaves. If it is not told which one of an id, it may be any
// of those that are known.
func (s State) withLeft(now, since time.Time, p Process) State {
	s.round++
	if p.Start.IsZero() {
		for _, r := range s.records {
			if r.ID == p.ID && !r.hasLeft() {
				r.leftAt, r.heardAt, r.presumed = since, now, true
				s = s.with(r)
			}
		}
	}
	r, _ := s.find(p)
	if !r.hasLeft() {
		r.leftAt = since
	}
	r.heardAt, r.presumed = now, false
	return s.with(r).withEarlierLeave(p, since)
}

// withEarlierLeave records that a leave was known at a time already.
func (s State) withEarlierLeave(p Process, since time.Time) State {
	for _, r := range s.records {
		if r.ID == p.ID && (p.Start.IsZero() || r.is(p)) && since.Before(r.leftAt) {
			r.leftAt = since
			s = s.with(r)
		}
	}
	return s
}

// WithNotice returns the state after another node, or the store, has told that a process
// leaves since a time, as a former process of this node knew. It binds the process at the
// address unless that is known to be another one.
func (s State) WithNotice(now time.Time, p Process, since time.Time) State {
	r, known := s.find(p)
	if known && r.hasLeft() && !r.presumed {
		return s.withEarlierLeave(p, since)
	}
	s = s.withLeft(now, since, p)
	if s.present.ID == "" || s.present.ID == p.ID && s.present.Start.IsZero() {
		s.present = p
	}
	return s
}

// WithStored returns the state after the node has read which process its former process knew
// last; an empty id means that nothing is stored.
func (s State) WithStored(p Process) State {
	s.recalled = true
	if p.ID == "" || p.Start.IsZero() {
		return s
	}
	if _, known := s.find(p); !known {
		s = s.with(record{
			Process: p,
		})
	}
	if s.present.ID == "" {
		s.present = p
	}
	if !s.admitted {
		s.asks = true
		s.round++
	}
	return s
}

// WithoutStored returns the state after the node has found that it can't read now what its
// former process has stored.
func (s State) WithoutStored() State {
	s.recalled = true
	return s
}

// WithHealth returns the state after a health check that was asked in a round: a process with
// an id is at the address, and says whether it is healthy. A process that leaves does not.
func (s State) WithHealth(now time.Time, asked Round, id string, healthy bool) State {
	if id == "" || asked != s.round || s.AwaitsRecall(now) {
		return s
	}
	s = s.withRefuted(now, func(r record) bool { return r.ID != id })
	if s.admitted {
		s.asks = false
		if r, ok := s.successor(id); ok && healthy {
			return s.withAdmitted(r)
		}
		return s
	}
	r, ok := s.candidate(id)
	switch {
	case !ok:
		s.asks = false
		return s
	case healthy, r.admitted && !r.hasLeft():
		return s.withAdmitted(r)
	default:
		s.present, s.asks = r.Process, true
		return s
	}
}

// WithoutHealthCheck is WithHealth for a service that has no health check: the process that
// reported itself last is taken to be at the address, unless another one was found there since.
func (s State) WithoutHealthCheck(now time.Time) State {
	var latest record
	for _, r := range s.records {
		if r.readyAt.After(latest.readyAt) {
			latest = r
		}
	}
	if !s.asks || !latest.readyAt.After(latest.refutedAt) {
		return s
	}
	return s.WithHealth(now, s.round, latest.ID, true)
}

// candidate returns the process with an id that may be at the address: the one that was heard
// of last among those that are not known to have left.
func (s State) candidate(id string) (record, bool) {
	return s.last(func(r record) bool {
		return r.ID == id && (!r.hasLeft() || r.presumed && r.readyAt.After(r.heardAt))
	})
}

// successor returns the process with the id of the present one that has reported itself since
// a leave under that id was last heard of, and that has not left.
func (s State) successor(id string) (record, bool) {
	var heardAt time.Time
	for _, r := range s.records {
		if r.ID == id && r.heardAt.After(heardAt) {
			heardAt = r.heardAt
		}
	}
	present, _ := s.find(s.present)
	return s.last(func(r record) bool {
		return r.ID == id && r.readyAt.After(heardAt) && !r.readyAt.Before(present.readyAt) && (!r.hasLeft() || r.presumed)
	})
}

// WithMisdirected returns the state after a request for the process with an id has found
// another process at the address.
func (s State) WithMisdirected(now time.Time, id string) State {
	s.asks = s.asks || s.admitted && s.present.ID == id
	return s.withRefuted(now, func(r record) bool { return r.ID == id })
}

// withRefuted records that some processes are not at the address.
func (s State) withRefuted(now time.Time, refuted func(record) bool) State {
	s.records = slices.Clone(s.records)
	for i, r := range s.records {
		if refuted(r) {
			s.records[i].refutedAt = now
			if r.is(s.present) {
				s.admitted = false
			}
		}
	}
	s.round++
	return s
}

// withAdmitted returns the state after a process has been found to be at the address and not
// to leave.
func (s State) withAdmitted(r record) State {
	if !r.admitted {
		s.count++
	}
	r.admitted, r.refutedAt = true, time.Time{}
	r.leftAt, r.presumed = time.Time{}, false
	s.present, s.admitted, s.asks = r.Process, true, false
	s.round++
	return s.with(r)
}

// find returns the record of a process, a new one if it is not known.
func (s State) find(p Process) (record, bool) {
	if i := s.index(p); i >= 0 {
		return s.records[i], true
	}
	return record{
		Process: p,
	}, false
}

func (s State) index(p Process) int {
	return slices.IndexFunc(s.records, func(r record) bool { return r.is(p) })
}

// last returns the record that changed last among some.
func (s State) last(among func(record) bool) (record, bool) {
	for _, r := range slices.Backward(s.records) {
		if among(r) {
			return r, true
		}
	}
	return record{}, false
}

// with returns the state with a record as the one that changed last. Beyond maxRecords the
// oldest is dropped.
func (s State) with(r record) State {
	records := make([]record, 0, len(s.records)+1)
	for _, other := range s.records {
		if !other.is(r.Process) {
			records = append(records, other)
		}
	}
	s.records = append(records, r)
	if len(s.records) > maxRecords {
		oldest := slices.IndexFunc(s.records, func(other record) bool { return !other.is(s.present) })
		s.records = slices.Delete(s.records, oldest, oldest+1)
	}
	return s
}
