package proxy

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/poison"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// quarantine keeps requests that end upstreams from them. What an instance has seen reaches
// the others through its entry in the store, which also outlasts its process, and through
// the exchanges between nodes.
type quarantine struct {
	// known is replaced while mu is held.
	mu    sync.Mutex
	known atomic.Pointer[knownCrashes]
	// trial is the last attempt that was accepted to run alone. The next one may follow at
	// nextTrial, once it has ended. Both are guarded by Node.schedMu.
	trial     *job
	nextTrial time.Time
}

// knownCrashes is a table with the forms in which it is passed on; none of them changes.
type knownCrashes struct {
	poison.Table

	// stored holds this instance's reports for its entry, repeated those of all instances on
	// requests that have been suspects, for exchanges with other nodes.
	stored   string
	repeated []*wire.CrashReport
}

const (
	// maxStoredReports bounds the reports in an entry, to about 1.5 KB.
	maxStoredReports = 64
	// maxSentReports bounds the reports in one message, to about 2.5 KB.
	maxSentReports = 64
	// trialPause is the time between two attempts that run alone if the first one was
	// neither answered nor ended the process, so that others may run.
	trialPause = time.Second
	// spreadTimeout bounds one message with reports.
	spreadTimeout = time.Second
)

// Errors for which a request is not sent to the upstream.
var (
	errBanned    = errors.New("request has ended the upstreams that ran it")
	errSuspected = errors.New("request is suspected of ending upstreams and would not run alone")
)

// current returns what is known.
func (q *quarantine) current() knownCrashes {
	if k := q.known.Load(); k != nil {
		return *k
	}
	return knownCrashes{}
}

// update replaces the table by the result of change, unless that is false.
func (q *quarantine) update(self cyclam.InstanceName, change func(poison.Table) (poison.Table, bool)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next, changed := change(q.current().Table)
	if !changed {
		return
	}
	q.known.Store(&knownCrashes{
		Table:    next,
		stored:   poison.FormatReports(next.Own(self, maxStoredReports)),
		repeated: encodeReports(next.Repeated(maxSentReports)),
	})
}

// verdict returns how a request is to be treated.
func (n *Node) verdict(fingerprint func() poison.Fingerprint) poison.Verdict {
	known := n.quarantine.current()
	if known.Empty() {
		return poison.Verdict{}
	}
	return known.Verdict(time.Now(), fingerprint())
}

// noteCrash records that the upstream's process has ended, and tells the other nodes.
func (n *Node) noteCrash(c crash, sign string) {
	running := c.running
	if len(running) == 0 {
		return
	}
	now := time.Now()
	n.meters.upstreamCrashes.Inc(1)
	n.Log.Warn("upstream-crashed", "upstream", n.upstreamID(), "sign", sign, "running", len(running), "trial", c.trial, "requests", joinFingerprints(running))
	n.quarantine.update(n.self.Instance, func(t poison.Table) (poison.Table, bool) {
		if c.trial {
			return t.WithTrialCrash(now, n.self.Instance, running[0]), true
		}
		return t.WithCrash(now, n.self.Instance, running), true
	})
	n.requestEntryWrite()
	n.logVerdicts(now, running)
	n.spreadReports()
}

// noteAnswered records that the upstream has answered a job's request.
func (n *Node) noteAnswered(j *job) {
	if n.quarantine.current().Empty() {
		return
	}
	now, f := time.Now(), j.fingerprint()
	freed := false
	n.quarantine.update(n.self.Instance, func(t poison.Table) (poison.Table, bool) {
		freed = t.Verdict(now, f).Level != poison.Allowed
		return t.WithAnswer(now, n.self.Instance, f)
	})
	if freed {
		n.Log.Info("request-cleared", "id", string(j.offer.Id), "request", f)
		n.requestEntryWrite()
		n.spreadReports()
	}
}

// learnReports merges what other instances have seen.
func (n *Node) learnReports(reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	var changed []poison.Fingerprint
	n.quarantine.update(n.self.Instance, func(t poison.Table) (poison.Table, bool) {
		t, changed = t.WithReports(now, reports...)
		return t, len(changed) > 0
	})
	n.logVerdicts(now, changed)
}

// learnStored merges the reports in a stored entry.
func (n *Node) learnStored(name cyclam.InstanceName, text string) {
	reports, err := poison.ParseReports(name, text)
	if err != nil {
		n.Log.Warn("entry-crashes-unreadable", "peer", name, "error", err)
		return
	}
	n.learnReports(reports)
}

// logVerdicts logs the requests that are not to be treated like others.
func (n *Node) logVerdicts(now time.Time, requests []poison.Fingerprint) {
	known := n.quarantine.current()
	for _, f := range requests {
		switch v := known.Verdict(now, f); v.Level {
		case poison.Banned:
			n.Log.Warn("request-banned", "request", f, "for", v.Remaining)
		case poison.Suspected:
			n.Log.Warn("request-suspected", "request", f)
		}
	}
}

// expireReports forgets requests that have ended nothing for long.
func (n *Node) expireReports(now time.Time) {
	if !n.quarantine.current().Empty() {
		n.quarantine.update(n.self.Instance, func(t poison.Table) (poison.Table, bool) { return t.WithoutExpired(now) })
	}
}

// spreadReports sends the reports to the nodes to which there is a connection. The others
// get them with their next exchange, or from the store.
func (n *Node) spreadReports() {
	newest := n.configHistory.newest()
	message := &wire.Knowledge{
		Version:      uint64(newest.version),
		ConfigDigest: newest.digest,
		ConfigEra:    newest.era,
		Crashes:      encodeReports(n.quarantine.current().All(maxSentReports)),
	}
	n.spread(message, "reports-not-sent")
}

// spread sends a message to the nodes to which there is a connection. A failure is logged as an
// event.
func (n *Node) spread(message *wire.Knowledge, event string) {
	n.linkMu.Lock()
	defer n.linkMu.Unlock()
	for _, l := range n.links {
		conn := l.established()
		if conn == nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
			defer cancel()
			if _, err := wire.NewDoorClient(conn).Exchange(ctx, message); err != nil {
				n.Log.Debug(event, "peer", l.address, "error", err)
			}
		}()
	}
}

// established returns the link's connection unless connecting has failed or it has none.
func (l *link) established() *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return nil
	}
	return l.conn
}

// encodeReports returns the reports for a message to another node.
func encodeReports(reports []poison.Report) []*wire.CrashReport {
	var messages []*wire.CrashReport
	for _, r := range reports {
		messages = append(messages, &wire.CrashReport{
			Instance:    string(r.Instance),
			Fingerprint: uint64(r.Fingerprint),
			Crashes:     r.Crashes,
			Answered:    r.Answered,
			Bans:        r.Bans,
		})
	}
	return messages
}

// decodeReports returns the reports in a message.
func decodeReports(messages []*wire.CrashReport) []poison.Report {
	var reports []poison.Report
	for _, m := range messages {
		if m.GetInstance() == "" {
			continue
		}
		reports = append(reports, poison.Report{
			Instance:    cyclam.InstanceName(m.Instance),
			Fingerprint: poison.Fingerprint(m.Fingerprint),
			Crashes:     m.Crashes,
			Answered:    m.Answered,
			Bans:        m.Bans,
		})
	}
	return reports
}

// screen decides whether a job may run here, and whether alone. If it may not, it returns the
// reply. The caller holds schedMu.
func (n *Node) screen(j *job, now time.Time) *wire.Reply {
	v := n.verdict(j.fingerprint)
	q := &n.quarantine
	reason, after := cyclam.Reason(""), time.Duration(0)
	switch {
	case v.Level == poison.Banned:
		reason, after = cyclam.ReasonBanned, v.Remaining
	case v.Level == poison.Suspected && !j.offer.Alone:
		reason = cyclam.ReasonSuspected
	case j.offer.Alone && (q.trial != nil && !q.trial.hasEnded() || now.Before(q.nextTrial)):
		reason, after = cyclam.ReasonOverloaded, trialPause
	default:
		j.alone = j.offer.Alone
		return nil
	}
	n.meters.countRefusal(reason)
	n.Log.Info("attempt-restricted", append(n.jobFields(j), "request", j.fingerprint(), "reason", reason, "retry-after", after)...)
	return declined(reason, after)
}

// mayRun returns nil if the job's request may be sent to the upstream as things stand: more
// may be known of it than when it was accepted.
func (n *Node) mayRun(j *job) error {
	switch v := n.verdict(j.fingerprint); {
	case v.Level == poison.Banned:
		return errBanned
	case v.Level == poison.Suspected && !j.alone:
		return errSuspected
	default:
		return nil
	}
}

// awaitQuiet waits until no run that was given up can end the process any more, so that its
// end would be put down to the job that runs alone.
func (n *Node) awaitQuiet(j *job) {
	if wait := quietTime - time.Since(n.crashes.lastLost()); wait > 0 {
		sleep(j.ctx, wait)
	}
}

// endTrial ends the time in which other requests may not run alone.
func (n *Node) endTrial(j *job, answered bool) {
	if !j.alone {
		return
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if !answered {
		n.quarantine.nextTrial = time.Now().Add(trialPause)
	}
}

// trialRank orders the nodes at which a suspect may run alone: all nodes choose the same one
// first, so that it runs at one upstream at a time.
func trialRank(f poison.Fingerprint, name cyclam.InstanceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.String()))
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// trialTarget returns the candidate at which a suspect may run alone.
func trialTarget(f poison.Fingerprint, candidates []picker.Candidate) picker.Candidate {
	return slices.MinFunc(candidates, func(a, b picker.Candidate) int {
		rankA, rankB := trialRank(f, a.Endpoint.Instance), trialRank(f, b.Endpoint.Instance)
		switch {
		case rankA < rankB:
			return -1
		case rankA > rankB:
			return 1
		default:
			return 0
		}
	})
}
