package sched

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// rateBurst is the time for which unused starts of a rate limit accumulate. It covers the
// interval of Tick and the wait of a process for its share of the processor.
const rateBurst = 250 * time.Millisecond

// maxRateWait bounds the wait that is computed for a limit of zero or nearly zero.
const maxRateWait = time.Hour

// rate is a token bucket for the limit that an upstream names: in any span of time, no
// more attempts start than the limit allows in it, and one burst. The zero value sets no
// bound.
type rate struct {
	limit cyclam.RateLimit
	// tokens is the number of attempts that were allowed to start at time at.
	tokens float64
	at     time.Time
	shares shares
}

// withLimit returns the bucket after the upstream has named a limit, or none. An unknown
// limit changes nothing. A new bucket is empty, because attempts have started shortly
// before.
func (r rate) withLimit(now time.Time, limit cyclam.RateLimit) rate {
	perSecond, limited := limit.PerSecond()
	switch {
	case !limit.Known() || limit == r.limit:
		return r
	case !limited:
		return rate{
			limit: limit,
		}
	}
	return rate{
		limit:  limit,
		tokens: min(r.tokensAt(now), burst(perSecond)),
		at:     now,
		shares: r.shares,
	}
}

// withTrial returns the bucket with a token for at least one attempt.
func (r rate) withTrial(now time.Time) rate {
	r.tokens, r.at = max(1, r.tokensAt(now)), now
	return r
}

func (r rate) limited() bool {
	_, limited := r.limit.PerSecond()
	return limited
}

// burst returns the most tokens that accumulate at a limit.
func burst(perSecond float64) float64 { return max(1, perSecond*rateBurst.Seconds()) }

// tokensAt returns the number of tokens at a time; zero if there is no limit.
func (r rate) tokensAt(now time.Time) float64 {
	perSecond, limited := r.limit.PerSecond()
	if !limited {
		return 0
	}
	// A trial may have left a token that the limit alone would not give.
	most := max(r.tokens, burst(perSecond))
	return min(most, r.tokens+perSecond*max(0, now.Sub(r.at)).Seconds())
}

// withArrival returns the bucket after the arrival of work.
func (r rate) withArrival(now time.Time, w Work) rate {
	if r.limited() {
		r.shares = r.shares.withArrival(now, w)
	}
	return r
}

// take returns the bucket after the start of work; false means that the limit does not
// allow one yet.
func (r rate) take(now time.Time, w Work) (rate, bool) {
	if !r.limited() {
		return r, true
	}
	tokens := r.tokensAt(now)
	if tokens < 1 {
		return r, false
	}
	r.tokens, r.at, r.shares = tokens-1, now, r.shares.withStart(now, w)
	return r, true
}

// wait returns how long it takes until count more attempts may have started.
func (r rate) wait(now time.Time, count int) time.Duration {
	perSecond, limited := r.limit.PerSecond()
	if !limited {
		return 0
	}
	missing := float64(count) - r.tokensAt(now)
	if missing <= 0 {
		return 0
	}
	// The quotient is infinite for a limit of zero.
	return time.Duration(min(missing/perSecond, maxRateWait.Seconds()) * float64(time.Second))
}
