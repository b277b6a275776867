// Package proxy is the node beside an upstream on a platform without machines
// of its own: it takes callers' requests, sends each to the node of an upstream,
// runs requests at its own upstream, and keeps its view by the platform's store.
//
// Decisions are made by router, picker, budget and sched; this package does the
// input and output around them.
package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
)

// Settings tell a node who it is and what it talks to.
type Settings struct {
	// Self is what the node announces; the incarnation is set at its start.
	Self cyclam.Endpoint
	// Callers is the host:port that takes requests of callers and of the own
	// upstream.
	Callers string
	// Upstream is the host:port of the upstream beside the node.
	Upstream string
	Budget   budget.Tuning
	// Drain is how long an upstream that leaves still takes requests.
	Drain time.Duration
	// Grace is how long a stopping process has until it is killed.
	Grace time.Duration
	// ForgetAfter is how long a node may be out of reach before its entry is
	// deleted from the store; zero keeps it.
	ForgetAfter time.Duration
	// LinkRate is how many bytes a second the machine's link carries each way;
	// zero means that it is not known.
	LinkRate float64
	// MemoryLimit is how many bytes the process may use; zero means no limit.
	MemoryLimit int64
}

// UpdateSettings takes over changed limits while the node runs. Addresses and the
// identity hold for the life of the process; a change of them is logged.
func (n *Node) UpdateSettings(s Settings) {
	if !n.prepared.Load() {
		return
	}
	n.mu.Lock()
	n.Settings.Budget = s.Budget
	for service, state := range n.budgets {
		state.Tuning = s.Budget
		n.budgets[service] = state
	}
	n.mu.Unlock()
	n.schedMu.Lock()
	n.scheduler.Tuning.Drain = s.Drain
	n.schedMu.Unlock()
	n.grace.Store(int64(s.Grace))
	fixed := s.Callers == n.Settings.Callers && s.Upstream == n.Settings.Upstream &&
		s.Self.Control == n.Settings.Self.Control && s.Self.Service == n.Settings.Self.Service
	n.Log.Info("settings-read", "drain", s.Drain, "grace", s.Grace, "retry-ratio", s.Budget.Ratio, "needs-restart", !fixed)
}
