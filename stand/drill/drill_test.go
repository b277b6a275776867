// Package drill runs the real program beside stand-ins: while the platform's store is away
// for a moment and returns from an older copy, and while backends name limits, leave or
// write without end. It holds tests only.
package drill

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/mstore"
)

var (
	seedFlag     = flag.Uint64("seed", 1, "first seed of the drill")
	seedsFlag    = flag.Int("seeds", 1, "number of seeds of the drill")
	logsFlag     = flag.String("logs", "", "directory that keeps the logs of the nodes")
	programsFlag = flag.String("programs", "", "builds of the program that the nodes take in turn, separated by commas; by default it is built")
)

// The store's return from an older copy must cost no request and no version, and the
// entries of all nodes must be back in about two seconds, whatever else happens then.
func TestStoreRestore(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(*fleet)
	}{
		{name: "calm", run: (*fleet).drillCalm},
		{name: "twice", run: (*fleet).drillTwice},
		{name: "stop", run: (*fleet).drillStop},
		{name: "release", run: (*fleet).drillRelease},
		{name: "change", run: (*fleet).drillChange},
		{name: "partition", run: (*fleet).drillPartition},
	}
	for seed := *seedFlag; seed < *seedFlag+uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			f := startFleet(t, seed)
			for _, i := range f.rand.Perm(len(scenarios)) {
				f.stats.enter(scenarios[i].name)
				scenarios[i].run(f)
				f.settle()
			}
			f.report()
		})
	}
}

// settle lets late effects of a scenario show, and checks the state that it leaves.
func (f *fleet) settle() {
	wait(f.clientsCtx, time.Second)
	f.awaitEntries(f.now(), f.machines)
	f.awaitVersions()
}

// report logs the figures of a seed and fails the test if one is not as it should be.
func (f *fleet) report() {
	f.t.Helper()
	f.t.Log(f.stats.String())
	calls := f.store.Calls()
	f.t.Logf("store: reads %d, writes %d", calls.Reads, calls.Writes)
	s := f.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, failure := range s.failures {
		f.t.Log(failure)
	}
	for name, got := range map[string]int{
		"lost":                                  s.tries[lost],
		"late":                                  s.tries[late],
		"not found":                             s.tries[notFound],
		"malformed":                             s.tries[malformed],
		"unserved":                              s.unserved,
		"run twice":                             s.twice,
		"sent on":                               s.sentOn,
		"versions back":                         s.regressions,
		"waits that ended with entries missing": s.missing,
	} {
		if got != 0 {
			f.t.Errorf("%s: got %d, want 0", name, got)
		}
	}
	if s.requests == 0 {
		f.t.Error("got no requests")
	}
	if got := s.longestNet; got > entriesLimit {
		f.t.Errorf("longest time until entries are back, without stalls: got %v, want at most %v", got, entriesLimit)
	}
}

func (f *fleet) drillCalm() {
	f.churn()
	f.awaitEntries(f.outage(), f.machines)
}

// drillTwice has the second outage while the effects of the first one are repaired.
func (f *fleet) drillTwice() {
	f.churn()
	f.outage()
	wait(f.clientsCtx, f.between(200*time.Millisecond, 1500*time.Millisecond))
	f.awaitEntries(f.outage(), f.machines)
}

// drillStop has the outage while a node is stopped and started again.
func (f *fleet) drillStop() {
	f.churn()
	m := f.pick()
	m.setSteady(false)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.stopNode(f.t)
	}()
	wait(f.clientsCtx, f.between(0, 2*time.Second))
	f.awaitEntries(f.outage(), f.machines)
	<-stopped
	m.ready.Store(false)
	m.startNode(f.t)
	f.awaitReady(m)
}

// drillRelease has the outage while a machine joins and another one leaves.
func (f *fleet) drillRelease() {
	old := f.pick()
	joined := f.addMachine(old.service)
	at := f.between(0, 6*time.Second)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		wait(f.clientsCtx, at)
		f.awaitEntries(f.outage(), f.machines)
	}()
	f.awaitReady(joined)
	old.setSteady(false)
	if err := old.backend.Drain(f.clientsCtx); err != nil {
		f.t.Errorf("%s: drain not acknowledged: %v", old.name, err)
	}
	wait(f.clientsCtx, drainTime+500*time.Millisecond)
	if err := old.backend.Deregister(f.clientsCtx); err != nil {
		f.t.Errorf("%s: deregistration not acknowledged: %v", old.name, err)
	}
	old.stopNode(f.t)
	<-returned
	f.removeMachine(old)
}

// drillChange has the outage just after some versions of the configuration.
func (f *fleet) drillChange() {
	f.churn()
	for range 1 + f.rand.IntN(3) {
		f.operator.change(1 + f.rand.Uint64N(3))
		wait(f.clientsCtx, f.between(50*time.Millisecond, time.Second))
	}
	f.awaitEntries(f.outage(), f.machines)
	f.operator.change(1 + f.rand.Uint64N(3))
}

// drillPartition has the outage while some nodes can't reach the store before and after it, or
// get answers that are late, and then of the older era, or that carry no era to use.
func (f *fleet) drillPartition() {
	f.churn()
	first := f.rand.IntN(len(f.machines))
	cut := []*machine{f.machines[first], f.machines[(first+1)%len(f.machines)]}
	var others []*machine
	for _, m := range f.machines {
		if m != cut[0] && m != cut[1] {
			others = append(others, m)
		}
	}
	faults := append([]mstore.Fault{
		{
			Status: http.StatusTooManyRequests,
		},
		{
			Delay: 700 * time.Millisecond,
		},
		{
			Era: mstore.EraMissing,
		},
		{
			Era: "0",
		},
		{
			Era: "unreadable",
		},
	}, outages...)
	for _, m := range cut {
		f.store.SetClientFault(m.name, faults[f.rand.IntN(len(faults))])
	}
	wait(f.clientsCtx, f.between(0, time.Second))
	returned := f.outage()
	f.awaitEntries(returned, others)
	wait(f.clientsCtx, f.between(0, 2*time.Second))
	for _, m := range cut {
		f.store.SetClientFault(m.name, mstore.Fault{})
	}
	f.awaitEntries(f.now(), cut)
}
