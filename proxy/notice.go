package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/cyclamensaddle/cyclam/wire"
)

// notice is what an upstream process has reported of itself, as the node beside it has
// passed it on. The other nodes return it with their attempts, so that it survives a
// restart of that node.
type notice struct {
	upstream  string
	startedAt time.Time
	limit     cyclam.RateLimit
	// leavingSince is when the leave was first known; zero if the process does not leave.
	leavingSince time.Time
	// receivedAt is when the notice was last received.
	receivedAt time.Time
}

// noticeTTL is how long a notice is kept that is not received again: longer than a leaving
// upstream serves, or a node takes to restart.
const noticeTTL = 2 * time.Minute

// empty reports whether the notice says nothing that binds anybody.
func (t notice) empty() bool {
	_, limited := t.limit.PerSecond()
	return !limited && t.leavingSince.IsZero()
}

// concerns reports whether the notice is of an upstream process. Processes without a known
// start time are told apart by their id alone.
func (t notice) concerns(id string, startedAt time.Time) bool {
	return t.upstream != "" && t.upstream == id &&
		(t.startedAt.IsZero() || startedAt.IsZero() || t.startedAt.Equal(startedAt))
}

// with returns the notice after another one of the same process, which is later.
func (t notice) with(later notice) notice {
	if !later.concerns(t.upstream, t.startedAt) {
		return later
	}
	if !t.leavingSince.IsZero() && (later.leavingSince.IsZero() || t.leavingSince.Before(later.leavingSince)) {
		later.leavingSince = t.leavingSince
	}
	if !later.limit.Known() {
		later.limit = t.limit
	}
	return later
}

// encode returns the message for other nodes; nil for an empty notice.
func (t notice) encode(now time.Time) *wire.UpstreamNotice {
	if t.empty() {
		return nil
	}
	perSecond, limited := t.limit.PerSecond()
	w := &wire.UpstreamNotice{
		Upstream:  []byte(t.upstream),
		Limited:   limited,
		RateLimit: perSecond,
	}
	if !t.startedAt.IsZero() {
		w.StartedMs = t.startedAt.UnixMilli()
	}
	if !t.leavingSince.IsZero() {
		w.Leaving, w.LeavingUs = true, now.Sub(t.leavingSince).Microseconds()
	}
	return w
}

// decodeNotice returns the notice in a message that was received at a time.
func decodeNotice(w *wire.UpstreamNotice, at time.Time) notice {
	t := notice{
		upstream:   string(w.GetUpstream()),
		receivedAt: at,
	}
	if w.GetLimited() {
		t.limit = cyclam.RateLimitOf(w.RateLimit)
	}
	if w.GetStartedMs() != 0 {
		t.startedAt = time.UnixMilli(w.StartedMs)
	}
	if w.GetLeaving() {
		t.leavingSince = at.Add(-max(0, microseconds(w.LeavingUs)))
	}
	return t
}

// updateNotice applies the notice in a node's load, which was received at a time. A load
// without a notice ends a limit if the node knows that there is none; it does not end a
// leave.
func (f *fleet) updateNotice(name cyclam.InstanceName, l *wire.Load, at time.Time) {
	known, ok := f.notices[name]
	if l.GetNotice() == nil && !ok {
		return
	}
	next := known
	if l.GetNotice() != nil {
		next = known.with(decodeNotice(l.Notice, at))
	}
	if l.GetLimitKnown() && !l.GetNotice().GetLimited() {
		next.limit = cyclam.RateLimit{}
	}
	if next.empty() {
		delete(f.notices, name)
		return
	}
	f.notices[name] = next
}

// noticeFor returns the notice that is known of a node's upstream; nil if there is none.
func (f *fleet) noticeFor(name cyclam.InstanceName, now time.Time) *wire.UpstreamNotice {
	return f.notices[name].encode(now)
}

// expireNotices drops the notices that have not been received for noticeTTL.
func (f *fleet) expireNotices(now time.Time) {
	for name, t := range f.notices {
		if now.Sub(t.receivedAt) > noticeTTL {
			delete(f.notices, name)
		}
	}
}

// ownNotice returns what is known of the local upstream process. The caller holds schedMu.
func (n *Node) ownNotice() notice {
	p := n.upstream.procs.Named()
	return notice{
		upstream:     p.ID,
		startedAt:    p.Start,
		limit:        n.upstream.reported.rateLimit,
		leavingSince: n.upstream.procs.LeavingSince(),
	}
}

// maxNotices bounds the notices that are kept of upstream processes other than the present
// one.
const maxNotices = 16

// acceptNotice keeps what another node was told of the local upstream by an earlier process
// of this node, and applies it if it is of the present upstream process. The caller holds
// schedMu.
func (n *Node) acceptNotice(w *wire.UpstreamNotice, now time.Time) {
	if len(w.GetUpstream()) == 0 {
		return
	}
	t := decodeNotice(w, now)
	if !t.leavingSince.IsZero() {
		p := processOf(t.upstream, w.GetStartedMs())
		n.changeUpstreamLocked("notice", func(_ time.Time, s procs.State) procs.State { return s.WithNotice(now, p, t.leavingSince) })
	}
	for id, known := range n.ownNotices {
		if now.Sub(known.receivedAt) > noticeTTL {
			delete(n.ownNotices, id)
		}
	}
	if known, ok := n.ownNotices[t.upstream]; ok {
		t = known.with(t)
	} else if len(n.ownNotices) >= maxNotices {
		return
	}
	n.ownNotices[t.upstream] = t
	n.applyLimitNotice(now)
}

// applyLimitNotice applies the limit that other nodes were told of the present upstream
// process, unless the process has answered this node. The caller holds schedMu.
func (n *Node) applyLimitNotice(now time.Time) {
	present := n.upstream.procs.Present()
	t, ok := n.ownNotices[present.ID]
	if !ok || !t.concerns(present.ID, present.Start) || n.upstream.reported.rateLimit.Known() || !t.limit.Known() {
		return
	}
	n.Log.Info("upstream-notice-received", "upstream", t.upstream, "limit", t.limit)
	n.setRateLimit(now, t.limit)
}
