package drill

import (
	"fmt"
	"testing"
	"time"
)

const (
	// oddShare is the share of the answers that are none, and oddSteps the number of
	// disturbances of a seed.
	oddShare = 0.05
	oddSteps = 7
	// uploadPadding is the size of the body of an upload, in bytes, of which part of the
	// clients send nothing else.
	uploadPadding = 300 << 10
	uploaders     = 2
	// oddServed is the least share of the requests that are served.
	oddServed = 0.8
)

// Backends that answer with what is no answer, before they have read the request as well, must
// not end a node, nor be believed, while uploads wait for their grants, nodes are stopped, killed
// and frozen, and the configuration changes.
func TestOddAnswers(t *testing.T) {
	for seed := *seedFlag; seed < *seedFlag+uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			f := startFleetOf(t, seed, workersPerMachine)
			f.stats.enter("odd answers")
			for _, m := range f.machines {
				for i := range uploaders {
					c := &client{
						machine: m,
						stats:   f.stats,
						name:    fmt.Sprintf("%s-upload-%d", m.name, i),
						padding: uploadPadding,
					}
					f.clients.Go(func() { c.run(f.clientsCtx) })
				}
				m.backend.SetOdd(oddShare)
			}
			for range oddSteps {
				f.disturbBesideOdd(t)
				wait(f.clientsCtx, f.between(200*time.Millisecond, 1500*time.Millisecond))
			}
			for _, m := range f.machines {
				m.backend.SetOdd(0)
				m.wantRunning(t)
			}
			f.awaitVersions()
			f.reportOdd()
		})
	}
}

// disturbBesideOdd stops, kills or freezes a node, or changes the configuration while one stops.
func (f *fleet) disturbBesideOdd(t *testing.T) {
	t.Helper()
	m := f.pick()
	m.wantRunning(t)
	switch f.rand.IntN(4) {
	case 0:
		m.freeze(t, f.between(300*time.Millisecond, 1500*time.Millisecond))
		return
	case 1:
		m.killNode(t)
	case 2:
		f.operator.change(1 + f.rand.Uint64N(3))
		m.stopNode(t)
		f.operator.change(1 + f.rand.Uint64N(3))
	default:
		m.stopNode(t)
	}
	m.ready.Store(false)
	m.startNode(t)
	f.awaitReady(m)
}

// wantRunning fails the test if the node's process has ended by itself.
func (m *machine) wantRunning(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	select {
	case <-p.Exited:
		t.Errorf("%s: the node has ended", m.name)
	case <-time.After(0):
	}
}

// reportOdd logs the figures of a seed and fails the test if one is not as it should be. Requests
// may be lost where nodes are killed, and where the only answer was none.
func (f *fleet) reportOdd() {
	f.t.Helper()
	f.t.Log(f.stats.String())
	s := f.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, got := range map[string]int{
		"not found":     s.tries[notFound],
		"malformed":     s.tries[malformed],
		"run twice":     s.twice,
		"sent on":       s.sentOn,
		"versions back": s.regressions,
	} {
		if got != 0 {
			f.t.Errorf("%s: got %d, want 0", name, got)
		}
	}
	if got, least := float64(s.requests-s.unserved), oddServed*float64(s.requests); got < least {
		f.t.Errorf("served: got %.0f of %d requests, want at least %.0f", got, s.requests, least)
	}
	if f.t.Failed() {
		for _, failure := range s.failures {
			f.t.Log(failure)
		}
	}
}
