package drill

import (
	"strconv"
	"sync"
	"testing"
	"time"
)

// The bound on what a backend with a rate limit may get in any limitSpan, from
// limitNotice after it first named the limit: limitSlack times what the limit allows, and
// limitExtra requests.
const (
	limitSpan   = 4 * time.Second
	limitNotice = 3 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

func limitBound(perSecond float64) int {
	return int(limitSlack*perSecond*limitSpan.Seconds()) + limitExtra
}

// arrivals records when requests arrived at a backend.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the highest number of arrivals in any limitSpan from a time on.
func (a *arrivals) most(from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for a.times[first].Before(from) && first < i || at.Sub(a.times[first]) > limitSpan {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// A backend that names a rate limit must get no more requests than that allows from all
// machines together, and the requests must be served by the others.
func TestBackendLimit(t *testing.T) {
	const limit = 3.5
	f := startFleet(t, *seedFlag)
	f.stats.enter("limit")
	m := f.machines[0]
	got := &arrivals{}
	m.watch(got.add)
	wait(f.clientsCtx, 2*time.Second)
	m.backend.NameLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	named := time.Now()
	wait(f.clientsCtx, limitNotice+2*limitSpan)
	if got, most := got.most(named.Add(limitNotice)), limitBound(limit); got > most {
		t.Errorf("requests in %v: got %d, want at most %d for a limit of %v a second", limitSpan, got, most, limit)
	}
	f.report()
}
