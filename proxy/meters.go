package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/rcrowley/go-metrics"
)

// meters holds the counters and timers of a node.
type meters struct {
	registry    metrics.Registry
	resends     metrics.Counter
	hedges      metrics.Counter
	budgetSpent metrics.Counter
	resets      metrics.Counter
	// linkTrials counts the connections that were tried beside a silent one and not used.
	linkTrials metrics.Counter
	// cancelledRevoked and cancelledUnread count the runs cancelled by their sender and
	// for lack of a reader; discardedUnread counts the answers discarded before a reader
	// had read them.
	cancelledRevoked metrics.Counter
	cancelledUnread  metrics.Counter
	discardedUnread  metrics.Counter
	// questions counts the questions to senders whether an attempt is still wanted.
	questions metrics.Counter
	// upstreamRequests counts the requests that were sent to the own upstream; rateLimit
	// is the limit that it names.
	upstreamRequests metrics.Counter
	rateLimit        metrics.GaugeFloat64
	// configAge is the time since the configuration in force was known to be the store's
	// newest, in seconds; -1 if it never was.
	configAge metrics.GaugeFloat64
	// upstreamCrashes counts the ends of the upstream's process while it ran requests.
	upstreamCrashes metrics.Counter
	// revocation times revocations until they are confirmed.
	revocation metrics.Timer
	requests   metrics.Timer
	run        metrics.Timer
	// grantWait times how long bodies of other nodes have waited until they were granted.
	grantWait metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	m := meters{
		registry:         r,
		resends:          metrics.GetOrRegisterCounter("attempts-resent", r),
		hedges:           metrics.GetOrRegisterCounter("attempts-hedged", r),
		budgetSpent:      metrics.GetOrRegisterCounter("retry-budget-spent", r),
		resets:           metrics.GetOrRegisterCounter("links-reset", r),
		linkTrials:       metrics.GetOrRegisterCounter("link-trials-unused", r),
		cancelledRevoked: metrics.GetOrRegisterCounter("runs-cancelled-revoked", r),
		cancelledUnread:  metrics.GetOrRegisterCounter("runs-cancelled-unread", r),
		discardedUnread:  metrics.GetOrRegisterCounter("answers-discarded-unread", r),
		questions:        metrics.GetOrRegisterCounter("senders-asked", r),
		upstreamRequests: metrics.GetOrRegisterCounter("upstream-requests", r),
		upstreamCrashes:  metrics.GetOrRegisterCounter("upstream-crashes", r),
		configAge:        metrics.GetOrRegisterGaugeFloat64("config-age", r),
		rateLimit:        metrics.GetOrRegisterGaugeFloat64("upstream-rate-limit", r),
		revocation:       metrics.GetOrRegisterTimer("revocation", r),
		requests:         metrics.GetOrRegisterTimer("request", r),
		run:              metrics.GetOrRegisterTimer("upstream-run", r),
		grantWait:        metrics.GetOrRegisterTimer("body-grant-wait", r),
	}
	m.rateLimit.Update(noRateLimitGauge)
	return m
}

func (m meters) updateConfigAge(age time.Duration) {
	if age >= fanout.Unknown {
		m.configAge.Update(-1)
		return
	}
	m.configAge.Update(age.Seconds())
}

func (m meters) countRefusal(reason cyclam.Reason) {
	metrics.GetOrRegisterCounter("refused-"+string(reason), m.registry).Inc(1)
}

func (m meters) recordOutcome(v cyclam.Completion, took time.Duration) {
	m.requests.Update(took)
	metrics.GetOrRegisterCounter("requests-"+v.Outcome.String(), m.registry).Inc(1)
}

// countWrittenAgain counts an entry that was written again after the store's return from
// a copy.
func (m meters) countWrittenAgain() {
	metrics.GetOrRegisterCounter("entries-written-again", m.registry).Inc(1)
}

// countDropped counts a list or a change that was of an older era than the last list.
func (m meters) countDropped() {
	metrics.GetOrRegisterCounter("store-answers-dropped", m.registry).Inc(1)
}

// countReissued counts a version of the configuration that was replaced by another text
// of the same number.
func (m meters) countReissued() {
	metrics.GetOrRegisterCounter("config-versions-reissued", m.registry).Inc(1)
}

// countSpendFailure counts a report of admitted requests that was not replied to.
func (m meters) countSpendFailure() {
	metrics.GetOrRegisterCounter("spend-reports-failed", m.registry).Inc(1)
}

// updateSpending sets the percentage of the instances whose admitted requests are known, and
// whether this one is the relay of its data centre.
func (m meters) updateSpending(coverage float64, relay bool) {
	metrics.GetOrRegisterGauge("quota-coverage-percent", m.registry).Update(int64(100 * coverage))
	role := int64(0)
	if relay {
		role = 1
	}
	metrics.GetOrRegisterGauge("quota-relay", m.registry).Update(role)
}

// countStoreCall counts a call to the platform's store by operation and result.
func (m meters) countStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrRegisterCounter("store-"+call+"-"+result, m.registry).Inc(1)
}
