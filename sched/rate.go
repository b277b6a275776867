package sched

import (
	"maps"
	"math"
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
	// starts holds the numbers of recent starts by the instance that sent the attempt.
	starts map[cyclam.InstanceName]float64
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
		starts: r.starts,
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

const (
	// shareMemory is the time in which the count of a sender's recent starts falls to
	// 1/e.
	shareMemory = 2 * time.Second
	// minShare is the count below which a sender is forgotten.
	minShare = 0.01
)

// take returns the bucket after the start of a sender's attempt; false means that the
// limit does not allow one yet.
func (r rate) take(now time.Time, sender cyclam.InstanceName) (rate, bool) {
	if !r.limited() {
		return r, true
	}
	tokens := r.tokensAt(now)
	if tokens < 1 {
		return r, false
	}
	left := math.Exp(-max(0, now.Sub(r.at)).Seconds() / shareMemory.Seconds())
	starts := maps.Clone(r.starts)
	if starts == nil {
		starts = map[cyclam.InstanceName]float64{}
	}
	for name, count := range starts {
		if starts[name] = count * left; starts[name] < minShare {
			delete(starts, name)
		}
	}
	starts[sender]++
	r.tokens, r.at, r.starts = tokens-1, now, starts
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

// ranks returns the order in which queued work starts if each sender gets as many starts
// as the others: the n-th work of a sender follows its recent starts and n-1 others.
func (r rate) ranks(queue []Work) map[cyclam.AttemptID]float64 {
	ranks := make(map[cyclam.AttemptID]float64, len(queue))
	queued := map[cyclam.InstanceName]float64{}
	for _, w := range queue {
		sender := w.Attempt.Sender.Instance
		ranks[w.Attempt] = r.starts[sender] + queued[sender]
		queued[sender]++
	}
	return ranks
}
