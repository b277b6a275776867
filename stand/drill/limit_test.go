package drill

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/mstore"
	"github.com/cyclamensaddle/cyclam/stand/tally"
)

// limitNotice is the time from which a backend that has named a limit may rely on it.
const limitNotice = 3 * time.Second

// tallyOf records the requests that arrive at a machine's backend from now on.
func tallyOf(m *machine) *tally.Arrivals {
	got := &tally.Arrivals{}
	m.watch(func(attempt string) {
		machine, _, _ := strings.Cut(strings.TrimPrefix(attempt, oncePrefix), "-")
		got.Add(machine)
	})
	return got
}

// checkLimit checks the bound from a time on.
func (f *fleet) checkLimit(got *tally.Arrivals, from time.Time, perSecond float64) {
	f.t.Helper()
	if got, most := got.Most(from, tally.LimitSpan), tally.LimitBound(perSecond); got > most {
		f.t.Errorf("%s: requests in %v: got %d, want at most %d for a limit of %v a second", f.stats.scenarioName(), tally.LimitSpan, got, most, perSecond)
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
	got := tallyOf(m)
	wait(f.clientsCtx, 2*time.Second)
	m.backend.NameLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	named := time.Now()
	wait(f.clientsCtx, limitNotice+2*tally.LimitSpan)
	f.checkLimit(got, named.Add(limitNotice), limit)
	if got, least := got.Since(named.Add(limitNotice)), int(limit*tally.LimitSpan.Seconds()); got < least {
		t.Errorf("requests in %v: got %d, want at least %d for a limit of %v a second", 2*tally.LimitSpan, got, least, limit)
	}
	m.backend.NameLimit("")
	ended := time.Now()
	wait(f.clientsCtx, tally.LimitSpan)
	if got, least := got.Since(ended), 2*tally.LimitBound(limit); got < least {
		t.Errorf("requests in %v after the end of the limit: got %d, want at least %d", tally.LimitSpan, got, least)
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
	got := tallyOf(m)
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
	wait(f.clientsCtx, tally.LimitSpan)
	f.checkLimit(got, named.Add(limitNotice), limit)
	f.stats.mu.Lock()
	defer f.stats.mu.Unlock()
	if got := f.stats.twice; got > 0 {
		t.Errorf("run twice: got %d, want 0", got)
	}
}
