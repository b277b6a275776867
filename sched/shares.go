package sched

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// shares counts what arrived and what started lately under a rate limit, so that the
// limit can be divided: by the instance that sent the work, and by its urgency. It is
// immutable.
type shares struct {
	at time.Time
	// senders holds the numbers of starts.
	senders map[cyclam.InstanceName]float64
	kinds   map[urgency]kindShare
}

// urgency is what orders work before its deadlines do.
type urgency struct {
	nested   bool
	priority int
}

func (w Work) urgency() urgency {
	return urgency{
		nested:   w.Nested,
		priority: w.Priority,
	}
}

// kindShare holds the numbers of arrivals and starts of work of one urgency.
type kindShare struct {
	arrived float64
	started float64
}

const (
	// shareMemory is the time in which a count falls to 1/e.
	shareMemory = 2 * time.Second
	// minShare is the count below which it is forgotten.
	minShare = 0.01
	// starvedShare is the fraction of the best served urgency's chance to start below
	// which work of another urgency goes first, so that none is shut out.
	starvedShare = 0.25
)

// decayed returns a copy of the counts at a later time.
func (s shares) decayed(now time.Time) shares {
	left := math.Exp(-max(0, now.Sub(s.at)).Seconds() / shareMemory.Seconds())
	next := shares{
		at:      now,
		senders: make(map[cyclam.InstanceName]float64, len(s.senders)),
		kinds:   make(map[urgency]kindShare, len(s.kinds)),
	}
	for sender, started := range s.senders {
		if started *= left; started > minShare {
			next.senders[sender] = started
		}
	}
	for u, k := range s.kinds {
		if k.arrived *= left; k.arrived > minShare {
			k.started *= left
			next.kinds[u] = k
		}
	}
	return next
}

// withArrival returns the counts after the arrival of work.
func (s shares) withArrival(now time.Time, w Work) shares {
	s = s.decayed(now)
	k := s.kinds[w.urgency()]
	k.arrived++
	s.kinds[w.urgency()] = k
	return s
}

// withStart returns the counts after the start of work.
func (s shares) withStart(now time.Time, w Work) shares {
	s = s.decayed(now)
	s.senders[w.Attempt.Sender.Instance]++
	k := s.kinds[w.urgency()]
	k.started++
	s.kinds[w.urgency()] = k
	return s
}

// chance returns the fraction of the arrivals that started.
func (k kindShare) chance() float64 { return k.started / max(k.arrived, minShare) }

// starved returns the urgencies whose work starts much less often than that of others.
func (s shares) starved() map[urgency]bool {
	best := 0.0
	for _, k := range s.kinds {
		best = max(best, k.chance())
	}
	starved := map[urgency]bool{}
	for u, k := range s.kinds {
		if k.chance() < starvedShare*best {
			starved[u] = true
		}
	}
	return starved
}

// ranks returns the order in which queued work starts if each sender gets as many starts
// as the others: the n-th work of a sender follows its recent starts and n-1 others.
func (s shares) ranks(queue []Work) map[cyclam.AttemptID]float64 {
	ranks := make(map[cyclam.AttemptID]float64, len(queue))
	queued := map[cyclam.InstanceName]float64{}
	for _, w := range queue {
		sender := w.Attempt.Sender.Instance
		ranks[w.Attempt] = s.senders[sender] + queued[sender]
		queued[sender]++
	}
	return ranks
}
