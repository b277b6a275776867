// Package quota bounds how many requests of each team all instances admit together. The
// instance that takes a request from its caller decides by an Account, without asking any
// other one; a Ledger holds the accounts of an instance and prepares what instances tell each
// other. Package proxy sends it.
//
// It is designed for these load patterns: many small teams, whose few requests come to any
// instance (an instance admits as long as the team's balance is known to be sufficient, however
// few requests it sees), a team that suddenly sends many times its usual load to all
// instances (the balance that all of them draw on runs low, and each then admits at a rate in
// proportion to its own part of the load), and an instance that is cut off (it admits at most
// its equal part of the rate).
//
// Each data centre has one relay, to which the other instances report what they have
// admitted, and which answers with the balances. Relays report to each other. State is kept
// for each team with a quota, and no message grows with the number of instances.
package quota

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Tuning is the tolerance with which quotas are kept. In each window, the instances together
// may admit Rate*Window + Burst requests of a team, plus the fraction Overage of that, plus
// Slack.
type Tuning struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// slackShare is the fraction of the slack that is added to a team's burst, which matters
	// to teams of few requests.
	slackShare = 0.5
	// toleranceShare is the fraction of the tolerance that is spent. The rest covers what is
	// admitted before the instances have heard of each other's requests.
	toleranceShare = 0.4
)

// bucket is the token bucket of a quota: in no window does it admit more than the quota and
// the part of the tolerance that is spent.
type bucket struct {
	// rate is in requests per second.
	rate  float64
	depth float64
}

func (t Tuning) bucketOf(q cyclam.Quota) bucket {
	window := max(time.Second, t.Window).Seconds()
	whole := q.Rate*window + q.Burst
	b := bucket{
		depth: max(1, q.Burst+slackShare*t.Slack),
	}
	b.rate = (whole + toleranceShare*(t.Overage*whole+t.Slack) - b.depth) / window
	return b
}

// meterSpan is the time constant of the averages of arriving requests.
const meterSpan = time.Second

// meter is an exponentially weighted rate of arrivals per second.
type meter struct {
	rate float64
	at   time.Time
}

func (m meter) perSecond(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * decay(now.Sub(m.at))
}

func (m meter) with(now time.Time, arrivals float64) meter {
	return meter{
		rate: m.perSecond(now) + arrivals/meterSpan.Seconds(),
		at:   now,
	}
}
