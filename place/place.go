// Package place decides what leaving a data centre or region costs a caller, and when it
// pays. It runs for each candidate of each attempt; package picker adds the costs to what an
// upstream is expected to take.
//
// It is designed for these load patterns: a data centre with too few upstreams, or only slow
// ones, or none (its requests leave once they would come late at home), a burst in one data
// centre (as many leave as its own upstreams can't answer in time, and they return as the
// queues there drain), and calm (nobody leaves for an answer that is in time at home as well).
package place

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Prices are what it is worth to callers to keep a kilobyte from crossing to another data
// centre or region, as time by which their answers would come sooner.
type Prices struct {
	Centre time.Duration
	Region time.Duration
}

// DefaultPrices are those of a platform that charges about four times as much between regions
// as between data centres of one region.
var DefaultPrices = Prices{
	Centre: 4 * time.Millisecond,
	Region: 15 * time.Millisecond,
}

const kilobyte = 1000

// Crossing returns the price of bytes between two localities.
func (p Prices) Crossing(from, to cyclam.Locality, bytes int) time.Duration {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return p.Centre * time.Duration(bytes) / kilobyte
	default:
		return p.Region * time.Duration(bytes) / kilobyte
	}
}

// Loss returns what waiting costs a caller that wants its answer within target, as the time
// that would cost the same at the target. Run times vary, mostly by about half of their mean,
// so that an answer may be late whose expected time is well below the target. The loss in
// parts of the target is about the share that is late: a sixteenth at half of the target. A
// target of zero means that each delay costs the same.
func Loss(expected, target time.Duration) time.Duration {
	if target <= 0 || expected <= 0 {
		return max(0, expected)
	}
	if expected > target {
		return target + lossSlope*(expected-target)
	}
	share := float64(expected) / float64(target)
	return time.Duration(share * share * share * float64(expected))
}

// lossSlope is how the loss rises with the time beyond the target, as it does right before it.
const lossSlope = 4

// Share returns which share of the requests takes a dearer way, by the lowest costs that the
// nearer upstreams and those on that way have for one request. It rises steadily from zero,
// where both cost the same, so that nodes with the same views do not all leave at once and
// return at once. All leave when near costs twice as much.
func Share(near, away time.Duration) float64 {
	if near <= away {
		return 0
	}
	return min(1, float64(near-away)/float64(max(1, away)))
}
