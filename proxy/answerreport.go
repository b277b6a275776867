package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/cyclamensaddle/cyclam/sched"
)

// answerReport is what an upstream process has reported of itself in its answers.
type answerReport struct {
	rateLimit cyclam.RateLimit
	// limitSince is when rateLimit last changed, confirmedAt when the process last
	// answered or was asked whether the limit still holds.
	limitSince  time.Time
	confirmedAt time.Time
	// loggedLimit is the last limit that was logged.
	loggedLimit cyclam.RateLimit
}

// observeAnswer applies what an answer to a request says of the upstream process to which
// the request was sent. An answer with 421 comes from another one.
func (n *Node) observeAnswer(from *addressee, meta cyclam.AnswerMeta) {
	if meta.Misdirected || from == nil {
		return
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if n.upstream.procs.Count() != from.number {
		return
	}
	now := time.Now()
	n.upstream.reported.confirmedAt = now
	n.setRateLimit(now, meta.RateLimit)
	n.observeLeaving(now, meta)
}

// observeHealth applies what the answer to a health check says of the known upstream
// process. It may not name a limit that requests are subject to, so that without one a
// request has to tell. The caller holds schedMu.
func (n *Node) observeHealth(now time.Time, meta cyclam.AnswerMeta) {
	if _, limited := meta.RateLimit.PerSecond(); limited {
		n.setRateLimit(now, meta.RateLimit)
	} else {
		n.decideLocked(func(s sched.State) (sched.State, []sched.Decision) { return s.WithTrial(now).Tick(now) })
	}
	n.observeLeaving(now, meta)
}

// setRateLimit applies a limit that the upstream has named. The caller holds schedMu.
func (n *Node) setRateLimit(now time.Time, limit cyclam.RateLimit) {
	reported := &n.upstream.reported
	if !limit.Known() || limit == reported.rateLimit {
		return
	}
	reported.rateLimit, reported.limitSince = limit, now
	n.decideLocked(func(s sched.State) (sched.State, []sched.Decision) {
		return s.WithRateLimit(now, limit).Tick(now)
	})
}

// observeLeaving records that the upstream says that it leaves. The caller holds schedMu.
func (n *Node) observeLeaving(now time.Time, meta cyclam.AnswerMeta) {
	present := n.upstream.procs.Present()
	if !meta.Leaving || !n.upstream.procs.LeavingSince().IsZero() {
		return
	}
	n.Log.Info("upstream-says-leaving", "upstream", present.ID)
	n.changeUpstreamLocked("answer", func(_ time.Time, s procs.State) procs.State { return s.WithLeave(now, present) })
}

// limitRecheck is the time without an answer after which an upstream with a rate limit is
// asked by a health check whether the limit still holds: a low limit leaves few answers
// that could tell.
const limitRecheck = 2 * time.Second

// recheckRateLimit starts a health check if work is refused or waits because of a limit
// that no answer has confirmed for limitRecheck.
func (n *Node) recheckRateLimit(ctx context.Context, now time.Time) {
	n.schedMu.Lock()
	reported := &n.upstream.reported
	_, limited := reported.rateLimit.PerSecond()
	due := limited && now.Sub(reported.confirmedAt) >= limitRecheck && n.scheduler.HeldBack(now, limitRecheck)
	if due {
		reported.confirmedAt = now
	}
	n.schedMu.Unlock()
	if due {
		go n.probe(ctx)
	}
}

// logRateLimit logs a change of the limit that the upstream names. It is called once a
// second, because a limit may change with every answer.
func (n *Node) logRateLimit(now time.Time) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	reported := &n.upstream.reported
	limit, limited := reported.rateLimit.PerSecond()
	_, wasLimited := reported.loggedLimit.PerSecond()
	if reported.rateLimit == reported.loggedLimit || !limited && !wasLimited {
		return
	}
	if limited {
		n.meters.rateLimit.Update(limit)
	} else {
		n.meters.rateLimit.Update(noRateLimitGauge)
	}
	n.Log.Info("upstream-rate-limit",
		"upstream", n.upstream.procs.Target(),
		"limit", reported.rateLimit,
		"before", reported.loggedLimit,
		"age", now.Sub(reported.limitSince),
		"requests-sent", n.meters.upstreamRequests.Count(),
	)
	reported.loggedLimit = reported.rateLimit
}

// noRateLimitGauge is the value of the gauge of the rate limit while there is none.
const noRateLimitGauge = -1
