package picker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/place"
)

// Request describes a request for the selection.
type Request struct {
	From cyclam.Locality
	// Bytes is the expected size of the request and its answer together.
	Bytes int
	// Body is the size of a body that waits until the node of the upstream has room for it on
	// its link; zero if there is none.
	Body int
	// TargetLatency is that of the route, Goal when the answer is wanted, and Deadline when
	// it is of no use any more. Zero values set no bounds.
	TargetLatency time.Duration
	Goal          time.Time
	Deadline      time.Time
	// Refusals are those that the request has met.
	Refusals Refusals
}

// latestEnd returns when an answer has to be expected at the latest; zero sets no bound. A
// nested request may use its whole deadline, and is offered even if it will be late, because
// the work that waits for it fails with it.
func (r Request) latestEnd() time.Time {
	if r.Refusals.Nested || r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Goal.Add(time.Duration(lateFraction * float64(r.Deadline.Sub(r.Goal))))
}

// leastRunShare is the fraction of the mean run that few runs fall short of.
const leastRunShare = 0.5

// expectedRun returns the time for a run, by the mean that an upstream has reported; zero if
// it has not. The mean is of all its routes, of which this one may be a short one, so half
// of the route's target latency bounds it. If there is a free slot, a run may try with less
// time; otherwise it would take the slot from one that has enough.
func (r Request) expectedRun(mean time.Duration, free bool) time.Duration {
	if r.TargetLatency > 0 {
		mean = min(mean, r.TargetLatency/2)
	}
	if free {
		return time.Duration(leastRunShare * float64(mean))
	}
	return mean
}

// Pick returns the index of the candidate that takes an attempt; false means that there is
// none from which an answer can be expected in time. The function intn returns a random
// number in [0, n).
func (t Tuning) Pick(now time.Time, r Request, candidates []Candidate, intn func(n int) int) (int, bool) {
	t = t.withTypicalServiceTime(candidates)
	considered := t.eligible(now, r, candidates)
	if len(considered) == 0 {
		return 0, false
	}
	return t.cheapest(now, r, candidates, considered, intn), true
}

// offer is what one candidate costs a request.
type offer struct {
	index    int
	expected time.Duration
	crossing time.Duration
	cost     time.Duration
}

// cheapest returns the index of one of the considered candidates that cost the request least,
// as far as those on dearer ways take a share.
func (t Tuning) cheapest(now time.Time, r Request, candidates []Candidate, considered []int, intn func(n int) int) int {
	// ways holds the offers by the price of the way.
	ways := map[time.Duration][]offer{}
	for _, i := range considered {
		c := candidates[i]
		o := offer{
			index:    i,
			expected: t.ExpectedLatency(now, c) + c.transferTime(r) + c.bodyWait(now, r),
			crossing: t.Prices.Crossing(r.From, c.Endpoint.Locality, r.Bytes),
		}
		o.cost = place.Loss(o.expected, r.TargetLatency) + o.crossing
		ways[o.crossing] = append(ways[o.crossing], o)
	}
	var chosen []offer
	for _, price := range slices.Sorted(maps.Keys(ways)) {
		way := ways[price]
		if chosen == nil || place.Share(least(chosen).cost, least(way).cost) > float64(intn(shareSteps))/shareSteps {
			chosen = way
		}
	}
	best := least(chosen)
	bound := best.cost + time.Duration(tieTolerance*float64(best.expected))
	tied := slices.DeleteFunc(chosen, func(o offer) bool { return o.cost > bound })
	return tied[intn(len(tied))].index
}

// shareSteps is the resolution of the share that takes a dearer way.
const shareSteps = 1000

func least(offers []offer) offer {
	return slices.MinFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
}

// eligible returns the indexes of the candidates that r allows. The load of an upstream that
// is leaving or not in reach says nothing, so such ones are only considered if there are no
// others, and then without bounds.
func (t Tuning) eligible(now time.Time, r Request, candidates []Candidate) []int {
	var all, allowed []int
	reachable := false
	for i, c := range candidates {
		all = append(all, i)
		if c.impaired(now) {
			continue
		}
		reachable = true
		if t.allows(now, r, c) {
			allowed = append(allowed, i)
		}
	}
	if !reachable {
		return all
	}
	return allowed
}

// allows reports whether an answer can be expected in time by the load of a candidate. A rate
// limit does not count: it may have ended, and only the answer to an attempt tells.
func (t Tuning) allows(now time.Time, r Request, c Candidate) bool {
	wait := c.slotWait(now, t.serviceTime(now, c))
	if r.Refusals.StartAtOnce() && wait > 0 {
		return false
	}
	run := r.expectedRun(time.Duration(c.slowdown(now)*float64(c.Load.ServiceTime)), wait == 0)
	end, latest := now.Add(c.RoundTrip(now)+max(wait, c.bodyTime(now, r))+run), r.latestEnd()
	if c.bodyWait(now, r) > maxBodyWait {
		latest = r.Goal
	}
	return latest.IsZero() || !end.After(latest)
}

// impaired reports whether an upstream is leaving, not in reach, or too new to be known.
func (c Candidate) impaired(now time.Time) bool {
	return c.Load.Leaving || c.Endpoint.State == cyclam.EndpointLeaving || c.AvoidUntil.After(now) || c.tooNew(now)
}

// tooNew reports whether an upstream has not reported any load while it is too early for the
// first attempt, or that attempt is still to bring the report.
func (c Candidate) tooNew(now time.Time) bool {
	return c.LoadAt.IsZero() && (c.InFlight > 0 || c.FirstAt.After(now))
}

// ShortestWait returns the shortest time until an attempt may be expected to get a slot at one
// of the candidates, and its body room on the link.
func (t Tuning) ShortestWait(now time.Time, r Request, candidates []Candidate) time.Duration {
	t = t.withTypicalServiceTime(candidates)
	shortest := time.Duration(0)
	for i, c := range candidates {
		if wait := max(c.slotWait(now, t.serviceTime(now, c)), c.bodyWait(now, r)); i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
