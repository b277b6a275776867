// Package picker selects the upstream for an attempt: the one with the lowest
// expected latency, from distance, queue length, service time and failure rate. It
// runs for each attempt that a node sends. Package proxy uses it under
// "cyclamensaddle sidecar"; under "cyclamensaddle node", package egress selects the
// endpoint.
//
// It is designed for these load patterns: one crowded data centre (calls spill
// over once queueing there costs more than the longer path), slow and failing
// upstreams (their own nodes report service time and failure rate), cold starts
// (the first runs of a new upstream take long, so it gets few), upstreams that have just
// joined (all senders hear of them at once, and each sends one attempt until it knows their
// load), upstreams with a rate
// limit (they get what their limit leaves room for), and stale load reports (attempts sent
// since the last report are added to it).
package picker

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/place"
)

// Candidate is what a node knows about one upstream and its node.
type Candidate struct {
	Endpoint cyclam.Endpoint
	Load     cyclam.Load
	// LoadAt is when the load was reported; zero if it never was.
	LoadAt time.Time
	// FirstAt is when the first attempt may be sent to an upstream that has not reported
	// any load. Senders have different ones, because they hear of it at the same time.
	FirstAt time.Time
	// UsualBusy is the moving average of the attempts that were reported as running or
	// waiting.
	UsualBusy float64
	// InFlight counts the attempts that this node sent since then and that have
	// not ended.
	InFlight int
	// RTT is the round-trip time measured at RTTAt, BaseRTT the one without
	// queueing on the path.
	RTT     time.Duration
	RTTAt   time.Time
	BaseRTT time.Duration
	// UnackedSince is when the oldest attempt was sent that the node has not acknowledged;
	// zero if there is none.
	UnackedSince time.Time
	// AvoidUntil is set after the link failed or the node refused an attempt.
	AvoidUntil time.Time
}

// Tuning holds the weights of the selection.
type Tuning struct {
	// FailureCost is the time that a failed answer costs the caller.
	FailureCost time.Duration
	// Prices are those of traffic to another data centre or region, which is billed and
	// takes narrow links.
	Prices place.Prices
	// InitialServiceTime is assumed of an upstream that has not reported any if no other
	// candidate has.
	InitialServiceTime time.Duration
}

// loadTTL is how long a load report counts, with linearly decreasing weight; after
// that its running and waiting counts are ignored.
const loadTTL = 2 * time.Second

// tieTolerance is the fraction of the lowest cost within which candidates count as
// equal, so that nodes with the same view do not all pick the same one.
const tieTolerance = 0.1

// leavingPenalty keeps calls away from a leaving upstream while others are
// available.
const leavingPenalty = 10 * time.Second

// avoidPenalty keeps calls away from an upstream that is unreachable for now.
const avoidPenalty = 20 * time.Second

// unreportedPenalty keeps calls away from an upstream that has not reported any load while
// it is too early for the first attempt, or that attempt is still to bring the report.
const unreportedPenalty = time.Second

// ExpectedLatency returns the expected time until the answer, with penalties for
// failures and for upstreams that are leaving or unreachable.
func (t Tuning) ExpectedLatency(now time.Time, c Candidate) time.Duration {
	serviceTime := t.serviceTime(now, c)
	busy, limit := c.occupancy(now)
	expected := c.RoundTrip(now) + serviceTime + max(c.rateWait(now), c.expectedSlotWait(now, serviceTime))
	// Many upstreams slow down before they are full.
	expected += serviceTime * time.Duration(min(busy, limit)) / time.Duration(saturationDivisor*limit)
	expected += time.Duration(c.Load.Failing * float64(t.FailureCost))
	if age := now.Sub(c.LoadAt); age < c.Load.SendBacklog {
		expected += c.Load.SendBacklog - age
	}
	if c.Load.Leaving || c.Endpoint.State == cyclam.EndpointLeaving {
		expected += leavingPenalty
	}
	if c.AvoidUntil.After(now) {
		expected += avoidPenalty
	}
	if c.tooNew(now) {
		expected += unreportedPenalty
	}
	return expected
}

// serviceTime returns the expected time of a run: the service time that the upstream has
// reported, or the one assumed of those that have not, at the present slowdown.
func (t Tuning) serviceTime(now time.Time, c Candidate) time.Duration {
	usual := t.InitialServiceTime
	if c.Load.ServiceTime > 0 {
		usual = c.Load.ServiceTime
	}
	return time.Duration(c.slowdown(now) * float64(usual))
}

// slowdownTTL is how long a reported slowdown counts, with linearly decreasing weight.
const slowdownTTL = 750 * time.Millisecond

// slowdown returns how long a run is expected to take, as a multiple of the usual time.
func (c Candidate) slowdown(now time.Time) float64 {
	fresh := 1 - float64(now.Sub(c.LoadAt))/float64(slowdownTTL)
	if c.Load.Slowdown <= 0 || fresh <= 0 {
		return 1
	}
	return 1 + min(1, fresh)*(c.Load.Slowdown-1)
}

// occupancy returns the number of attempts that are expected to run or wait at the
// upstream, and how many may run at once.
func (c Candidate) occupancy(now time.Time) (busy, limit int) {
	limit = c.Load.Limit
	if limit <= 0 {
		limit = max(1, int(c.Endpoint.Slots))
	}
	return c.InFlight + int(c.freshness(now)*float64(c.Load.Running+c.Load.Waiting)), limit
}

// slotWait returns the expected time until an attempt may get a slot.
func (c Candidate) slotWait(now time.Time, serviceTime time.Duration) time.Duration {
	busy, limit := c.occupancy(now)
	return serviceTime * time.Duration(max(0, busy+1-limit)) / time.Duration(limit)
}

// freshness returns the weight of the load report, from 1 to 0.
func (c Candidate) freshness(now time.Time) float64 {
	age := now.Sub(c.LoadAt)
	return max(0, float64(loadTTL-age)/float64(loadTTL))
}

// maxRateWait bounds the wait for a rate limit, so that a leaving or unreachable upstream
// is not preferred to one with a low limit.
const maxRateWait = leavingPenalty / 2

// rateWait returns the expected wait for the upstream's rate limit: what was reported, and
// the time that the attempts sent since take. The report expires like the rest of the load:
// other nodes use up what the limit has allowed since.
func (c Candidate) rateWait(now time.Time) time.Duration {
	perSecond, limited := c.Load.RateLimit.PerSecond()
	if !limited {
		return 0
	}
	reported := time.Duration(c.freshness(now) * float64(c.Load.StartDelay))
	// The quotient is infinite, or not a number, for a limit of zero.
	sent := float64(c.InFlight) / perSecond
	if !(sent < maxRateWait.Seconds()) || reported > maxRateWait {
		return maxRateWait
	}
	return min(maxRateWait, reported+time.Duration(sent*float64(time.Second)))
}

// rttTTL is how long the excess of a measured round-trip time over the base
// counts, with linearly decreasing weight. A queue on the path has drained by
// then, and only a new request would show it.
const rttTTL = 4 * time.Second

// RoundTrip returns the expected round-trip time. It is at least the time for which an
// acknowledgement is awaited: a node that does not answer sends no newer load either, and
// would be picked by its last one.
func (c Candidate) RoundTrip(now time.Time) time.Duration {
	measured := c.measuredRoundTrip(now)
	if c.UnackedSince.IsZero() {
		return measured
	}
	return max(measured, now.Sub(c.UnackedSince))
}

func (c Candidate) measuredRoundTrip(now time.Time) time.Duration {
	excess := c.RTT - c.BaseRTT
	if excess <= 0 {
		return c.RTT
	}
	remaining := max(0, rttTTL-now.Sub(c.RTTAt))
	return c.BaseRTT + time.Duration(float64(excess)*float64(remaining)/float64(rttTTL))
}

// saturationDivisor is the inverse of the fraction by which a run is expected to
// take longer at a full upstream than at an idle one.
const saturationDivisor = 2

// HasFreeSlot reports whether the upstream has a free slot by its last load report
// and the attempts sent since. One with a rate limit never has, as each attempt takes the
// place of another one.
func (c Candidate) HasFreeSlot() bool {
	_, limited := c.Load.RateLimit.PerSecond()
	return !limited && c.Load.Waiting == 0 && c.Load.Running+c.InFlight < c.Load.Limit
}

// transferTime returns how long the link of another node needs for a request's
// bytes.
func (c Candidate) transferTime(r Request) time.Duration {
	if c.BaseRTT == 0 || c.Load.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(r.Bytes) / c.Load.LinkRate * float64(time.Second))
}

// maxBodyWait is how long the body of a request may wait if its answer may be late. Beyond that
// others wait as well, and it would take the place of one whose answer can be in time.
const maxBodyWait = 100 * time.Millisecond

// bodyWait returns how long the body of a request waits for other ones on the link of the
// upstream's node.
func (c Candidate) bodyWait(now time.Time, r Request) time.Duration {
	if c.BaseRTT == 0 || r.Body == 0 {
		return 0
	}
	return max(0, c.Load.ReceiveBacklog-now.Sub(c.LoadAt))
}

// bodyTime returns how long it takes until the body of a request has arrived.
func (c Candidate) bodyTime(now time.Time, r Request) time.Duration {
	if c.BaseRTT == 0 || r.Body == 0 || c.Load.LinkRate <= 0 {
		return 0
	}
	return c.bodyWait(now, r) + time.Duration(float64(r.Body)/c.Load.LinkRate*float64(time.Second))
}

// firstAttemptSpread is the time for each sender over which the first attempts to a new
// upstream are spread: the link of a small instance carries a new connection with its first
// exchange and a request in about that time. maxFirstAttemptDelay bounds it in large fleets,
// where few senders have a request for a given upstream at a time.
const (
	firstAttemptSpread   = 12 * time.Millisecond
	maxFirstAttemptDelay = 3 * time.Second
)

// FirstAttemptDelay returns how long a sender waits before its first attempt to an upstream
// of which all senders have just heard. The function intn returns a random number in [0, n).
func FirstAttemptDelay(senders int, intn func(n int) int) time.Duration {
	spread := min(maxFirstAttemptDelay, firstAttemptSpread*time.Duration(senders))
	return time.Duration(intn(int(spread) + 1))
}

// withTypicalServiceTime returns the tuning in which an upstream without a reported service
// time counts as fast as the others on average. If it counted as faster, all senders would
// pick it until it has reported one.
func (t Tuning) withTypicalServiceTime(candidates []Candidate) Tuning {
	if mean := MeanServiceTime(candidates); mean > 0 {
		t.InitialServiceTime = mean
	}
	return t
}

// MeanServiceTime returns the mean of the service times that candidates have reported, or
// zero if none has.
func MeanServiceTime(candidates []Candidate) time.Duration {
	sum, reported := time.Duration(0), 0
	for _, c := range candidates {
		if c.Load.ServiceTime > 0 {
			sum += c.Load.ServiceTime
			reported++
		}
	}
	if reported == 0 {
		return 0
	}
	return sum / time.Duration(reported)
}

// InitialRTT estimates the round-trip time between two localities before any is
// measured.
func InitialRTT(a, b cyclam.Locality) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return sameCentreRTT
	case a.Region == b.Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// Initial round-trip times, from the delays stated for the deployments.
const (
	sameCentreRTT  = time.Millisecond
	sameRegionRTT  = 3 * time.Millisecond
	otherRegionRTT = 25 * time.Millisecond
)
