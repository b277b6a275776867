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
	// table is replaced while mu is held.
	mu    sync.Mutex
	table atomic.Pointer[poison.Table]
	// stored is the text of this instance's reports in its entry.
	stored atomic.Pointer[string]
	// trial is the last attempt that was accepted to run alone. The next one may follow at
	// nextTrial, once it has ended. Both are guarded by Node.schedMu.
	trial     *job
	nextTrial time.Time
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

// current returns the table.
func (q *quarantine) current() poison.Table {
	if t := q.table.Load(); t != nil {
		return *t
	}
	return poison.Table{}
}

// storedText returns the reports of this instance for its entry.
func (q *quarantine) storedText() string {
	if text := q.stored.Load(); text != nil {
		return *text
	}
	return ""
}

// update replaces the table by the result of change.
func (q *quarantine) update(self cyclam.InstanceName, change func(poison.Table) poison.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := change(q.current())
	text := poison.FormatReports(next.Own(self, maxStoredReports))
	q.table.Store(&next)
	q.stored.Store(&text)
}

// verdict returns how an offer's request is to be treated.
func (n *Node) verdict(o *wire.Offer) poison.Verdict {
	t := n.quarantine.current()
	if t.Empty() {
		return poison.Verdict{}
	}
	return t.Verdict(time.Now(), poison.FingerprintOf(o.Method, o.Host, string(o.Target), o.Body))
}

// noteCrash records that the upstream's process has ended while it ran these requests, and
// tells the other nodes if some of them are not to be treated like others any more.
func (n *Node) noteCrash(running []poison.Fingerprint, sign string) {
	if len(running) == 0 {
		return
	}
	now := time.Now()
	n.meters.upstreamCrashes.Inc(1)
	n.Log.Warn("upstream-crashed", "upstream", n.upstreamID(), "sign", sign, "running", len(running), "requests", joinFingerprints(running))
	n.quarantine.update(n.self.Instance, func(t poison.Table) poison.Table {
		return t.WithCrash(now, n.self.Instance, running)
	})
	n.requestEntryWrite()
	n.noteVerdicts(now, running)
	if n.anyRestricted(now, running) {
		n.spreadReports()
	}
}

// noteAnswered records that the upstream has answered a request.
func (n *Node) noteAnswered(o *wire.Offer) {
	if n.quarantine.current().Empty() {
		return
	}
	now := time.Now()
	f := poison.FingerprintOf(o.Method, o.Host, string(o.Target), o.Body)
	freed := false
	n.quarantine.update(n.self.Instance, func(t poison.Table) poison.Table {
		next, changed := t.WithAnswer(now, n.self.Instance, f)
		freed = changed
		return next
	})
	if freed {
		n.Log.Info("request-cleared", "request", f)
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
	n.quarantine.update(n.self.Instance, func(t poison.Table) poison.Table {
		next, news := t.WithReports(now, reports...)
		changed = news
		return next
	})
	if len(changed) > 0 {
		n.noteVerdicts(now, changed)
	}
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

// noteVerdicts logs the requests that are restricted.
func (n *Node) noteVerdicts(now time.Time, requests []poison.Fingerprint) {
	t := n.quarantine.current()
	for _, f := range requests {
		switch v := t.Verdict(now, f); v.Level {
		case poison.Banned:
			n.Log.Warn("request-banned", "request", f, "for", v.Remaining)
		case poison.Suspected:
			n.Log.Warn("request-suspected", "request", f)
		}
	}
}

// expireReports forgets requests that have ended nothing for long.
func (n *Node) expireReports(now time.Time) {
	if n.quarantine.current().Empty() {
		return
	}
	n.quarantine.update(n.self.Instance, func(t poison.Table) poison.Table { return t.WithoutExpired(now) })
	n.requestEntryWrite()
}

func (n *Node) anyRestricted(now time.Time, requests []poison.Fingerprint) bool {
	t := n.quarantine.current()
	return slices.ContainsFunc(requests, func(f poison.Fingerprint) bool {
		return t.Verdict(now, f).Level != poison.Allowed
	})
}

// spreadReports sends the reports to the nodes to which there is a connection. The others
// get them with their next exchange, or from the store.
func (n *Node) spreadReports() {
	message := &wire.Knowledge{
		Version: uint64(n.version()),
		Crashes: n.encodeReports(),
	}
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
				n.Log.Debug("reports-not-sent", "peer", l.address, "error", err)
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
func (n *Node) encodeReports() []*wire.CrashReport {
	var messages []*wire.CrashReport
	for _, r := range n.quarantine.current().All(maxSentReports) {
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

// screen decides whether an offered request may run here and whether alone. If it may not,
// it returns the reply. The caller holds schedMu.
func (n *Node) screen(offer *wire.Offer, now time.Time) (alone bool, refusal *wire.Reply) {
	v := n.verdict(offer)
	switch {
	case v.Level == poison.Banned:
		return false, n.declineRestricted(offer, cyclam.ReasonBanned, v.Remaining)
	case v.Level == poison.Suspected && !offer.Alone:
		return false, n.declineRestricted(offer, cyclam.ReasonSuspected, 0)
	case !offer.Alone:
		return false, nil
	}
	q := &n.quarantine
	if q.trial != nil && !q.trial.hasEnded() || now.Before(q.nextTrial) {
		return false, n.declineRestricted(offer, cyclam.ReasonOverloaded, trialPause)
	}
	return true, nil
}

func (n *Node) declineRestricted(offer *wire.Offer, reason cyclam.Reason, after time.Duration) *wire.Reply {
	n.meters.countRefusal(reason)
	n.Log.Info("attempt-restricted", "id", string(offer.Id), "service", offer.Service, "reason", reason, "retry-after", after)
	return declined(reason, after)
}

// maySend returns nil if the job's request may be sent to the upstream as things stand: more
// may be known of it than when it was accepted.
func (n *Node) maySend(j *job) error {
	switch v := n.verdict(j.offer); {
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
	if wait := crashDelay - time.Since(n.crashes.lastLost()); wait > 0 {
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
