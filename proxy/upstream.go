package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/pkg/errors"
)

// upstreamState is what is known of the upstream beside the node.
type upstreamState struct {
	// procs decides which process is at the upstream's address, and whether it leaves.
	procs procs.State
	// reported is what the process has reported of itself in its answers.
	reported answerReport
	// released is the id of the process that has named a release last, and release its name.
	released string
	release  string
	// warmUntil is when the process that has reported last is no longer slow after its start.
	warmUntil time.Time
}

// releaseOf returns the release that the process with an id runs; empty if it is not known.
func (u upstreamState) releaseOf(id string) string {
	if id != u.released {
		return ""
	}
	return u.release
}

// withRelease returns the state after the process with an id has named its release.
func (u upstreamState) withRelease(id, release string) upstreamState {
	if id != "" && release != "" {
		u.released, u.release = id, release
	}
	return u
}

// Errors for which a report of an upstream is not acknowledged.
var (
	// ErrForeignUpstream rejects a status of an upstream that does not run beside this
	// node.
	ErrForeignUpstream = errors.New("status is of an upstream that does not run beside this node")
	// ErrNotStarted rejects a status while the node is still initialising.
	ErrNotStarted = errors.New("node has not started yet")
)

// Errors for which a request is not sent to the upstream.
var (
	errAbsent  = errors.New("no process of the service is known to be at the upstream's address")
	errDrained = errors.New("upstream's drain time is over")
)

// Announce applies a status reported by the upstream. A status that is older than the
// known one is ignored without an error. If it is not certain that the status still holds,
// the upstream is asked for its health first.
func (n *Node) Announce(status cyclam.UpstreamStatus) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("announce", status.Address, ErrNotStarted)
	}
	if status.Address != n.Settings.Upstream || status.Service != n.Settings.Self.Service {
		return cyclam.AtStep("announce", status.Address, ErrForeignUpstream)
	}
	p := procs.Process{
		ID:    status.ID,
		Start: status.StartedAt,
	}
	n.changeUpstream("report", func(now time.Time, s procs.State) procs.State {
		return s.WithReport(now, p, status.Sequence, status.Leaving)
	})
	n.applySlots(status)
	if !status.Leaving {
		n.settleReport()
		n.applySlots(status)
	}
	return nil
}

// applySlots applies the number of slots in a status, if it is of the process that is taken to
// be at the address.
func (n *Node) applySlots(status cyclam.UpstreamStatus) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	before := n.scheduler.Tuning.Slots
	if n.upstream.procs.Present().ID != status.ID {
		return
	}
	n.scheduler = n.scheduler.WithSlots(status.Slots)
	known := n.upstream.releaseOf(status.ID)
	n.upstream = n.upstream.withRelease(status.ID, status.Release)
	if status.WarmUp > 0 {
		n.upstream.warmUntil = time.Now().Add(status.WarmUp)
	}
	if n.scheduler.Tuning.Slots != before || n.followsRollouts() && n.upstream.releaseOf(status.ID) != known {
		n.requestEntryWrite()
	}
}

// Withdraw records that the upstream process with this id and start time is about to
// exit. A zero start time matches any process with the id.
func (n *Node) Withdraw(id string, startedAt time.Time) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("withdraw", id, ErrNotStarted)
	}
	p := procs.Process{
		ID:    id,
		Start: startedAt,
	}
	n.Log.Info("upstream-leaves", "upstream", id, "current", n.upstreamID() == id)
	n.changeUpstream("deregistration", func(now time.Time, s procs.State) procs.State { return s.WithLeave(now, p) })
	return nil
}

// changeUpstream applies evidence of which process is at the upstream's address, and carries
// out what follows from it.
func (n *Node) changeUpstream(cause string, change func(time.Time, procs.State) procs.State) {
	n.schedMu.Lock()
	replaced := n.changeUpstreamLocked(cause, change)
	n.schedMu.Unlock()
	if replaced {
		n.noteCrash(n.crashes.noteReplaced(time.Now()), "replaced")
	}
}

// changeUpstreamLocked does the work of changeUpstream, and reports whether a process has come
// that was not there before. The caller holds schedMu.
func (n *Node) changeUpstreamLocked(cause string, change func(time.Time, procs.State) procs.State) bool {
	now := time.Now()
	before := n.upstream.procs
	after := change(now, before)
	n.upstream.procs = after
	roundBefore, _ := before.Asks()
	since := after.LeavingSince()
	if round, _ := after.Asks(); round == roundBefore && since.Equal(before.LeavingSince()) {
		return false
	}
	replaced := after.Count() != before.Count()
	if replaced {
		n.upstream.reported = answerReport{
			loggedLimit: n.upstream.reported.loggedLimit,
		}
		n.scheduler = n.scheduler.WithUpstream(0)
		n.applyLimitNotice(now)
	}
	n.scheduler = n.scheduler.WithKnown(after.Target() != "").WithoutLeaving()
	if !since.IsZero() {
		n.scheduler = n.scheduler.WithLeaving(since)
	}
	n.decideLocked(func(s sched.State) (sched.State, []sched.Decision) { return s.Tick(now) })
	if replaced || after.Target() != before.Target() || since.IsZero() != before.LeavingSince().IsZero() {
		p := after.Present()
		fields := []any{"upstream", p.ID, "born", startedMs(p), "cause", cause, "admitted", after.Target() != ""}
		if !since.IsZero() {
			fields = append(fields, "leaving-for", now.Sub(since))
		}
		n.Log.Info("upstream-changed", fields...)
	}
	n.requestEntryWrite()
	return replaced
}

// startedMs returns when a process started, in milliseconds since the Unix epoch by its own
// clock; zero if it is not known.
func startedMs(p procs.Process) int64 {
	if p.Start.IsZero() {
		return 0
	}
	return p.Start.UnixMilli()
}

// processOf returns the process with an id and a start in milliseconds, or zero.
func processOf(id string, startedMs int64) procs.Process {
	p := procs.Process{
		ID: id,
	}
	if startedMs != 0 {
		p.Start = time.UnixMilli(startedMs)
	}
	return p
}

// upstreamID returns the id of the process to which requests go; empty if there is none.
func (n *Node) upstreamID() string {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.upstream.procs.Target()
}

// addressee is the upstream process to which a request is sent.
type addressee struct {
	id string
	// number is how many processes this node has met at the address before it, and it.
	number uint64
}

// addressee returns the process to which a request may be sent now.
func (n *Node) addressee(now time.Time) (addressee, error) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	s := n.upstream.procs
	switch {
	case s.Target() == "":
		return addressee{}, errAbsent
	case n.scheduler.Drained(now):
		return addressee{}, errDrained
	}
	return addressee{
		id:     s.Target(),
		number: s.Count(),
	}, nil
}

// noteMisdirected records that a request for an upstream process has found another one at its
// address.
func (n *Node) noteMisdirected(to *addressee) {
	if to == nil {
		return
	}
	n.Log.Warn("upstream-replaced", "upstream", to.id, "address", n.Settings.Upstream)
	n.changeUpstream("misdirected request", func(now time.Time, s procs.State) procs.State { return s.WithMisdirected(now, to.id) })
	n.requestSettle()
}
