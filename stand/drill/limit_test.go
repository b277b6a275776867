package drill

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/mstore"
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
	// from holds the machines whose clients sent the requests.
	from []string
}

func (a *arrivals) add(attempt string) {
	machine, _, _ := strings.Cut(strings.TrimPrefix(attempt, oncePrefix), "-")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	a.from = append(a.from, machine)
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

// since returns how many requests arrived from a time on.
func (a *arrivals) since(from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.times {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// checkLimit checks the bound from a time on.
func (f *fleet) checkLimit(got *arrivals, from time.Time, perSecond float64) {
	f.t.Helper()
	if got, most := got.most(from), limitBound(perSecond); got > most {
		f.t.Errorf("%s: requests in %v: got %d, want at most %d for a limit of %v a second", f.stats.scenarioName(), limitSpan, got, most, perSecond)
	}
}

// A backend that names a rate limit must get no more requests than that allows from all
// machines together, and not much less, while the others serve the rest; once the limit
// has ended, it must be used as before.
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
	f.checkLimit(got, named.Add(limitNotice), limit)
	if got, least := got.since(named.Add(limitNotice)), int(limit*limitSpan.Seconds()); got < least {
		t.Errorf("requests in %v: got %d, want at least %d for a limit of %v a second", 2*limitSpan, got, least, limit)
	}
	m.backend.NameLimit("")
	ended := time.Now()
	wait(f.clientsCtx, limitSpan)
	if got, least := got.since(ended), 2*limitBound(limit); got < least {
		t.Errorf("requests in %v after the end of the limit: got %d, want at least %d", limitSpan, got, least)
	}
	f.report()
}

// The limit must hold for all machines together through the freeze, the kill and the store's
// outage of the node beside the backend, and of other nodes.
func TestBackendLimitUnderFaults(t *testing.T) {
	const limit = 3.5
	f := startFleet(t, *seedFlag)
	f.stats.enter("limit under faults")
	m, other := f.machines[0], f.machines[1]
	got := &arrivals{}
	m.watch(got.add)
	wait(f.clientsCtx, time.Second)
	m.backend.NameLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	named := time.Now()
	wait(f.clientsCtx, limitNotice)
	for _, frozen := range []*machine{m, other, m} {
		frozen.freeze(t, f.between(500*time.Millisecond, 2500*time.Millisecond))
		wait(f.clientsCtx, f.between(200*time.Millisecond, 2*time.Second))
	}
	f.store.SetClientFault(m.name, outages[f.rand.IntN(len(outages))])
	for _, killed := range []*machine{m, other, m} {
		killed.killNode(t)
		killed.startNode(t)
		wait(f.clientsCtx, f.between(time.Second, 3*time.Second))
	}
	f.store.SetClientFault(m.name, mstore.Fault{})
	wait(f.clientsCtx, limitSpan)
	f.checkLimit(got, named.Add(limitNotice), limit)
	f.stats.mu.Lock()
	defer f.stats.mu.Unlock()
	if got := f.stats.twice; got > 0 {
		t.Errorf("run twice: got %d, want 0", got)
	}
}
