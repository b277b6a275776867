package sched

import (
	"math"
	"time"
)

// slowdown follows how long work takes on the upstream's machine, as the upstream reports it.
// Machines are shared, so that it changes within fractions of a second. The zero value is that
// of an upstream that does not report it.
type slowdown struct {
	// last was reported at time at; usual is the moving average of the reports.
	last  float64
	at    time.Time
	usual float64
}

const (
	// slowdownTTL is how long a report counts, with linearly decreasing weight.
	slowdownTTL = 750 * time.Millisecond
	// usualSpan is the time constant of the moving average.
	usualSpan = 4 * time.Second
)

// with returns the value after a report; reported is zero if the answer has none.
func (d slowdown) with(now time.Time, reported float64) slowdown {
	if reported <= 0 {
		return d
	}
	if d.usual == 0 {
		d.usual = reported
	} else {
		d.usual += (1 - math.Exp(-float64(now.Sub(d.at))/float64(usualSpan))) * (reported - d.usual)
	}
	d.last, d.at = reported, now
	return d
}

// known reports whether the upstream has reported a slowdown.
func (d slowdown) known() bool { return d.usual > 0 }

// factor returns how long a run is expected to take that starts now, as a multiple of a run
// at the usual slowdown.
func (d slowdown) factor(now time.Time) float64 {
	fresh := 1 - float64(now.Sub(d.at))/float64(slowdownTTL)
	if !d.known() || fresh <= 0 {
		return 1
	}
	return 1 + min(1, fresh)*(d.last/d.usual-1)
}

// atUsual returns the time that a run would have taken at the usual slowdown, if it took the
// given time at the one reported last.
func (d slowdown) atUsual(took time.Duration) time.Duration {
	if !d.known() {
		return took
	}
	return time.Duration(float64(took) * d.usual / d.last)
}
