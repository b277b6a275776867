// Package picker chooses the upstream that takes an attempt: the one from which
// an answer is expected first, by distance, queue, speed and failures.
//
// It answers these load patterns: one data centre crowded (calls spill over
// once the queue costs more than the way), slow and failing upstreams (their
// own nodes tell how slow and how often), cold starts (a new upstream's runs
// take long, so that it gets few), and stale views (what was sent since the
// last word is added to it).
package picker

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Candidate is what a node knows of one upstream's node.
type Candidate struct {
	Endpoint cyclam.Endpoint
	Load     cyclam.Load
	// LoadAt is when the load was told; zero if it never was.
	LoadAt time.Time
	// InFlight counts the own attempts since then that have not ended.
	InFlight int
	// RTT is the round trip as it was measured at RTTAt, Distance the one without
	// queues on the path.
	RTT     time.Duration
	RTTAt   time.Time
	BaseRTT time.Duration
	// AvoidUntil is set after the link failed or the node refused.
	AvoidUntil time.Time
}

// Tuning holds the weights of the choice.
type Tuning struct {
	// FailureCost is the time that a failed answer costs a caller.
	FailureCost time.Duration
	// CentreCost and RegionCost weigh each kilobyte that crosses to another data
	// centre or region, where bytes are paid for and the links are narrow.
	CentreCost time.Duration
	RegionCost time.Duration
	// InitialServiceTime is assumed of an upstream that has told nothing yet.
	InitialServiceTime time.Duration
}

// loadMemory is how long a told load counts, less and less as it ages; after it
// only the speed is remembered.
const loadMemory = 2 * time.Second

// tieShare is the part of the best expected time within which candidates count
// as equal, so that nodes with the same view do not all choose the same one.
const tieShare = 0.1

// leavingCost keeps calls from an upstream that leaves while others take them.
const leavingCost = 10 * time.Second

// avoidCost does the same for one that can't be reached for now.
const avoidCost = 20 * time.Second

// ExpectedLatency returns the expected time to an answer.
func (t Tuning) ExpectedLatency(now time.Time, v Candidate) time.Duration {
	service := v.Load.ServiceTime
	if service <= 0 {
		service = t.InitialServiceTime
	}
	limit := v.Load.Limit
	if limit <= 0 {
		limit = max(1, int(v.Endpoint.Slots))
	}
	busy := v.InFlight
	if age := now.Sub(v.LoadAt); age < loadMemory {
		left := float64(loadMemory-age) / float64(loadMemory)
		busy += int(left * float64(v.Load.Running+v.Load.Waiting))
	}
	expected := v.RoundTrip(now) + service
	if over := busy + 1 - limit; over > 0 {
		expected += service * time.Duration(over) / time.Duration(limit)
	}
	// Many upstreams slow down before they are full.
	expected += service * time.Duration(min(busy, limit)) / time.Duration(fullCost*limit)
	expected += time.Duration(v.Load.Failing * float64(t.FailureCost))
	if age := now.Sub(v.LoadAt); age < v.Load.SendBacklog {
		expected += v.Load.SendBacklog - age
	}
	if v.Load.Leaving || v.Endpoint.State == cyclam.EndpointLeaving {
		expected += leavingCost
	}
	if v.AvoidUntil.After(now) {
		expected += avoidCost
	}
	return expected
}

// rttMemory is how long a measured round trip counts, less and less as it ages: a
// queue on the path has ended by then, and only a new request would show it.
const rttMemory = 4 * time.Second

// RoundTrip returns the expected round trip.
func (v Candidate) RoundTrip(now time.Time) time.Duration {
	over := v.RTT - v.BaseRTT
	if over <= 0 {
		return v.RTT
	}
	left := max(0, rttMemory-now.Sub(v.RTTAt))
	return v.BaseRTT + time.Duration(float64(over)*float64(left)/float64(rttMemory))
}

// fullCost is the inverse of the share by which a run is expected to take
// longer at a full upstream than at an idle one.
const fullCost = 2

// Request is what the choice needs to know of a request.
type Request struct {
	From cyclam.Locality
	// Bytes is the expected size of the request and its answer together.
	Bytes int
}

// HasFreeSlot reports whether the upstream is told to have a free slot.
func (v Candidate) HasFreeSlot() bool {
	return v.Load.Waiting == 0 && v.Load.Running+v.InFlight < v.Load.Limit
}

// bytesCost returns the time that the way of a request's bytes is worth.
func (t Tuning) bytesCost(r Request, to cyclam.Locality) time.Duration {
	switch {
	case r.From.DataCentre == to.DataCentre:
		return 0
	case r.From.Region == to.Region:
		return t.CentreCost * time.Duration(r.Bytes) / kilobyte
	default:
		return t.RegionCost * time.Duration(r.Bytes) / kilobyte
	}
}

const kilobyte = 1000

// transfer returns how long the link of another node needs for a request's bytes.
func (v Candidate) transfer(r Request) time.Duration {
	if v.BaseRTT == 0 || v.Load.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(r.Bytes) / v.Load.LinkRate * float64(time.Second))
}

// Pick returns the index of the candidate that takes an attempt; false means that
// there is none. The function pick is a source of numbers in [0, n).
func (t Tuning) Pick(now time.Time, r Request, views []Candidate, pick func(n int) int) (int, bool) {
	if len(views) == 0 {
		return 0, false
	}
	costs := make([]time.Duration, len(views))
	best := 0
	for i, v := range views {
		costs[i] = t.ExpectedLatency(now, v) + t.bytesCost(r, v.Endpoint.Locality) + v.transfer(r)
		if costs[i] < costs[best] {
			best = i
		}
	}
	bound := costs[best] + time.Duration(tieShare*float64(costs[best]))
	var near []int
	for i, cost := range costs {
		if cost <= bound {
			near = append(near, i)
		}
	}
	return near[pick(len(near))], true
}

// InitialRTT guesses the time of a message there and back before any was measured.
func InitialRTT(a, b cyclam.Locality) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return sameCentre
	case a.Region == b.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// First guesses of a round trip, from the deployments' stated delays.
const (
	sameCentre  = time.Millisecond
	sameRegion  = 3 * time.Millisecond
	otherRegion = 25 * time.Millisecond
)
