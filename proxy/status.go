package proxy

import (
	"fmt"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
)

// Status is what a node believes and does, for operators. The zero Status is that of a
// node that has not started.
type Status struct {
	Instance    cyclam.InstanceName `json:"instance"`
	Incarnation cyclam.Incarnation  `json:"incarnation,string"`
	Ready       bool                `json:"ready"`
	Stopping    bool                `json:"stopping"`
	StoreEra    uint64              `json:"store-era"`
	Config      ConfigStatus        `json:"config"`
	Upstream    UpstreamStatus      `json:"upstream"`
	// Nodes counts the other nodes by the state of their endpoint.
	Nodes map[string]int `json:"nodes"`
	// Requests holds those that are suspected or banned because upstreams have ended under
	// them, by fingerprint.
	Requests map[string]RequestStatus `json:"restricted-requests"`
	// Rollouts holds the newest order for each service.
	Rollouts map[cyclam.ServiceName]RolloutStatus `json:"rollouts,omitempty"`
}

// RolloutStatus describes a rollout as this node knows it.
type RolloutStatus struct {
	Release string `json:"release"`
	From    string `json:"from"`
	Stage   string `json:"stage"`
	Step    int    `json:"step"`
	// Share is the part of the service's requests that goes to the release.
	Share float64 `json:"share"`
	// Age is the time since the order, which may take Duration.
	Age      string `json:"age"`
	Duration string `json:"duration"`
	// Runs and BadRuns count answers of the release, FormerRuns those of the former one.
	Runs       int `json:"runs"`
	BadRuns    int `json:"bad-runs"`
	FormerRuns int `json:"former-runs"`
	// Doubt is set if the answers may show the release to be bad.
	Doubt  bool   `json:"doubt"`
	Halted string `json:"halted,omitempty"`
	Reason string `json:"reason"`
}

// RequestStatus describes a request that is kept from upstreams, or runs alone.
type RequestStatus struct {
	Level string `json:"level"`
	// Remaining is how long a ban still holds.
	Remaining string `json:"remaining"`
}

// ConfigStatus describes the configuration in force.
type ConfigStatus struct {
	Version cyclam.Version `json:"version"`
	// Digest is that of the text, in hexadecimal, and Era the highest era of the store in
	// which the text was read.
	Digest string `json:"digest"`
	Era    uint64 `json:"era"`
	// Reissued is set if another text had this version before.
	Reissued bool `json:"reissued"`
	// FreshFor is how long ago the version was known to be the store's newest, or "unknown".
	FreshFor string `json:"fresh-for"`
	// Teams is the number of teams in it, and Accepts is set if their credentials are
	// accepted: they are not if the version may be too old.
	Teams   int  `json:"teams"`
	Accepts bool `json:"accepts-credentials"`
}

// UpstreamStatus describes the upstream beside the node.
type UpstreamStatus struct {
	ID      string `json:"id"`
	Known   bool   `json:"known"`
	Leaving bool   `json:"leaving"`
	// RateLimit is the limit in requests per second, "none" or "unknown".
	RateLimit string `json:"rate-limit"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Slots     int    `json:"slots"`
}

// Status returns the present status.
func (n *Node) Status() Status {
	if !n.prepared.Load() {
		return Status{}
	}
	now := time.Now()
	s := Status{
		Instance:    n.self.Instance,
		Incarnation: n.self.Incarnation,
		Ready:       n.Ready(),
		Stopping:    n.stopping.Load(),
		Nodes:       map[string]int{},
		Requests:    map[string]RequestStatus{},
	}
	s.Rollouts = n.rolloutStatuses(now)
	for f, v := range n.quarantine.current().Restricted(now) {
		s.Requests[f.String()] = RequestStatus{
			Level:     v.Level.String(),
			Remaining: v.Remaining.Round(time.Second).String(),
		}
	}
	s.StoreEra, _ = n.storeEras.Current()
	if text := n.configHistory.current(); text.id.version != 0 {
		s.Config = ConfigStatus{
			Version:  text.id.version,
			Digest:   fmt.Sprintf("%016x", text.id.digest),
			Era:      text.id.era,
			Reissued: text.reissued,
			FreshFor: formatAge(n.storeAge()),
		}
		t, age := n.tableWithAge()
		s.Config.Teams = t.Teams.Len()
		s.Config.Accepts = t.Teams != nil && n.gate().MayAccept(age)
	}
	n.schedMu.Lock()
	load := n.scheduler.Load(now)
	s.Upstream = UpstreamStatus{
		ID:        n.upstream.procs.Present().ID,
		Known:     n.scheduler.Known(),
		Leaving:   !n.upstream.procs.LeavingSince().IsZero(),
		RateLimit: load.RateLimit.String(),
		Running:   load.Running,
		Waiting:   load.Waiting,
		Slots:     load.Limit,
	}
	n.schedMu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.fleet.members {
		s.Nodes[m.view.Endpoint.State.String()]++
	}
	return s
}

func formatAge(age time.Duration) string {
	if age >= fanout.Unknown {
		return "unknown"
	}
	return age.Round(time.Millisecond).String()
}
