package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// upstreamSaid is what an upstream process has said of itself in its answers.
type upstreamSaid struct {
	rateLimit cyclam.RateLimit
	// since is when rateLimit last changed.
	since   time.Time
	leaving bool
	// loggedLimit is the last limit that was logged.
	loggedLimit cyclam.RateLimit
}

// beginProcess resets what belongs to one upstream process.
func (u *upstreamState) beginProcess() {
	u.process++
	u.said = upstreamSaid{
		loggedLimit: u.said.loggedLimit,
	}
}

// upstreamProcess returns the id of the upstream process and its number on this node.
func (n *Node) upstreamProcess() (string, uint64) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.upstream.id, n.upstream.process
}

// observeAnswer records what an answer to a request that was sent to an upstream process
// says of that process. An answer with 421 comes from another one.
func (n *Node) observeAnswer(process uint64, meta cyclam.AnswerMeta) {
	if meta.Misdirected {
		return
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if n.upstream.process != process {
		return
	}
	said := &n.upstream.said
	if meta.RateLimit.Known() && meta.RateLimit != said.rateLimit {
		said.rateLimit, said.since = meta.RateLimit, time.Now()
	}
	if meta.Leaving && !said.leaving {
		said.leaving = true
		n.Log.Info("upstream-says-leaving", "upstream", n.upstream.id)
	}
}

// logRateLimit logs a change of the limit that the upstream names. It is called once a
// second, because a limit may change with every answer.
func (n *Node) logRateLimit(now time.Time) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	said := &n.upstream.said
	limit, limited := said.rateLimit.PerSecond()
	_, wasLimited := said.loggedLimit.PerSecond()
	if said.rateLimit == said.loggedLimit || !limited && !wasLimited {
		return
	}
	if limited {
		n.meters.rateLimit.Update(limit)
	} else {
		n.meters.rateLimit.Update(noRateLimitGauge)
	}
	n.Log.Info("upstream-rate-limit",
		"upstream", n.upstream.id,
		"limit", said.rateLimit,
		"before", said.loggedLimit,
		"age", now.Sub(said.since),
		"requests-sent", n.meters.upstreamRequests.Count(),
	)
	said.loggedLimit = said.rateLimit
}

// noRateLimitGauge is the value of the gauge of the rate limit while there is none.
const noRateLimitGauge = -1
