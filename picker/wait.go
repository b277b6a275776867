package picker

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// usualBusyTTL is how long the usual occupancy of an upstream counts that has not reported
// again, with linearly decreasing weight.
const usualBusyTTL = 2 * loadTTL

// expectedSlotWait returns the expected time until an attempt gets a slot. What other nodes
// have sent since the last report is not known. As it ages, the occupancy returns to its
// usual value, around which it varies, so that an upstream that is full most of the time
// does not count as free shortly after a report.
func (c Candidate) expectedSlotWait(now time.Time, serviceTime time.Duration) time.Duration {
	if c.Load.Slowdown <= 0 {
		return c.slotWait(now, serviceTime)
	}
	busy, limit := c.occupancy(now)
	fresh := c.freshness(now)
	usual := (1 - fresh) * c.UsualBusy * max(0, 1-float64(now.Sub(c.LoadAt))/float64(usualBusyTTL))
	excess := expectedExcess(float64(busy)+usual+1-float64(limit), math.Sqrt(usual))
	return time.Duration(queueWeight * float64(serviceTime) * excess / float64(limit))
}

// queueWeight is what the time in a queue counts for: an attempt that waits delays those that
// come after it by as much.
const queueWeight = 2

// expectedExcess returns the mean of the positive part of a normally distributed value.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 {
		return max(0, mean)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean*math.Erfc(-z/math.Sqrt2)/2 + deviation*density
}

// usualBusySpan is the time constant of the moving average of the occupancy.
const usualBusySpan = 2 * time.Second

// WithLoad returns the candidate after its load was reported at a time.
func (c Candidate) WithLoad(at time.Time, load cyclam.Load) Candidate {
	busy := float64(load.Running + load.Waiting)
	weight := 1.0
	if !c.LoadAt.IsZero() {
		weight = 1 - math.Exp(-float64(at.Sub(c.LoadAt))/float64(usualBusySpan))
	}
	c.UsualBusy += weight * (busy - c.UsualBusy)
	c.Load, c.LoadAt = load, at
	return c
}
