// Package proxy is the sidecar for a hosting platform with a store of its own. It runs
// beside an upstream under "cyclamensaddle sidecar": it accepts callers' requests, sends
// each to the node of a suitable upstream, runs requests at its local upstream, and
// keeps its view of the fleet in sync with the platform's store. Routing, picking,
// retries and scheduling are decided by the packages router, picker, budget and sched;
// this package does the input and output around them.
//
// Package platform supplies its settings and the client of the store. Its counterpart
// under "cyclamensaddle node" is package node.
package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/cyclamensaddle/cyclam/place"
	"github.com/cyclamensaddle/cyclam/quota"
	"github.com/cyclamensaddle/cyclam/teams"
)

// Settings are the identity, addresses and limits of a node.
type Settings struct {
	// Self is the endpoint that the node announces; the incarnation is set when it
	// starts.
	Self cyclam.Endpoint
	// Callers is the host:port on which requests of callers and of the local upstream
	// are accepted.
	Callers string
	// Upstream is the host:port of the upstream beside the node.
	Upstream string
	Budget   budget.Tuning
	// Prices are those of traffic to other data centres and regions; they are read once.
	Prices place.Prices
	// Rollout holds the bounds of rollouts; its zero value switches them off.
	Rollout canary.Tuning
	// Drain is how long an upstream that is leaving still gets requests.
	Drain time.Duration
	// Grace is the time between the stop signal and the kill of the process.
	Grace time.Duration
	// ForgetAfter is how long a node may be unreachable before its entry is deleted
	// from the store; zero keeps it.
	ForgetAfter time.Duration
	// LinkRate is the capacity of the machine's link in each direction, in bytes per
	// second; zero means unknown.
	LinkRate float64
	// Quota is the tolerance with which the quotas of teams are kept.
	Quota quota.Tuning
	// Cores is the processor time that the process may use, in cores; zero means unknown.
	Cores float64
	// MemoryLimit is the memory limit of the process, in bytes; zero means none.
	MemoryLimit int64
	// Teams bounds for how long a node may rely on what it knows of the teams.
	Teams teams.Gate
	// Descriptors is the limit of the process's open files and sockets; zero means unknown.
	Descriptors int
}

// UpdateSettings applies changed limits while the node runs. Addresses and identity are
// fixed for the life of the process; the log entry states whether a change of them
// needs a restart.
func (n *Node) UpdateSettings(s Settings) {
	if !n.prepared.Load() {
		return
	}
	n.mu.Lock()
	n.Settings.Budget, n.Settings.Teams = s.Budget, s.Teams
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
	n.Log.Info("settings-read", "drain", s.Drain, "grace", s.Grace, "retry-ratio", s.Budget.Ratio, "withdrawal", s.Teams.Withdrawal, "needs-restart", !fixed)
}
