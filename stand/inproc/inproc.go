// Package inproc runs many nodes in one process with real sockets on loopback,
// for measurements and failure tests that need more nodes than processes.
package inproc

import (
	"context"
	"fmt"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/node"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/stand/netem"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Cluster is a fleet in one process; set its exported fields before Start.
type Cluster struct {
	Nodes int
	// Services is over how many services the nodes are spread.
	Services int
	// Port is the first of four ports for each node.
	Port     int
	Platform string
	Upstream string
	Tuning   setup.Tuning
	Network  *netem.Network
	Log      hclog.Logger
	// OnVersion is told when a version comes into force on the i-th node.
	OnVersion func(i int, version cyclam.Version, at time.Time)

	mu      sync.Mutex
	members []*Member
}

// Member is one node of the cluster.
type Member struct {
	Node     *node.Node
	Metrics  metrics.Registry
	Locality cyclam.Locality
	cancel   context.CancelFunc
	done     chan error
}

// portsPerNode is how many ports a node uses.
const portsPerNode = 4

// Localities lists the data centres over which the nodes are spread in turn.
var Localities = []cyclam.Locality{
	{
		Region:     "north",
		DataCentre: "north-a",
	},
	{
		Region:     "north",
		DataCentre: "north-b",
	},
	{
		Region:     "south",
		DataCentre: "south-a",
	},
	{
		Region:     "south",
		DataCentre: "south-b",
	},
}

// Start starts all nodes.
func (s *Cluster) Start(ctx context.Context) {
	s.members = make([]*Member, s.Nodes)
	for i := range s.Nodes {
		settings := s.settings(i)
		for _, address := range []string{settings.Listen.Calls, settings.Listen.Data, settings.Listen.Control} {
			s.Network.SetLocality(address, Localities[i%len(Localities)])
		}
	}
	for i := range s.Nodes {
		s.Restart(ctx, i)
	}
}

// Restart starts the i-th node anew, after its end if it still runs.
func (s *Cluster) Restart(ctx context.Context, i int) {
	s.Kill(i)
	at := Localities[i%len(Localities)]
	m := &Member{
		Metrics:  metrics.NewRegistry(),
		Locality: at,
		done:     make(chan error, 1),
	}
	m.Node = &node.Node{
		Settings: s.settings(i),
		Platform: store.New(s.Platform),
		Log:      s.Log.With("node", i),
		Metrics:  m.Metrics,
		Dial:     s.Network.From(at),
	}
	if s.OnVersion != nil {
		m.Node.OnVersion = func(version cyclam.Version, when time.Time) { s.OnVersion(i, version, when) }
	}
	ctx, m.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	s.members[i] = m
	s.mu.Unlock()
	go func() { m.done <- m.Node.Run(ctx) }()
}

// Kill ends the i-th node at once, if it runs.
func (s *Cluster) Kill(i int) {
	s.mu.Lock()
	m := s.members[i]
	s.members[i] = nil
	s.mu.Unlock()
	if m != nil {
		m.cancel()
		<-m.done
	}
}

// Stop ends all nodes.
func (s *Cluster) Stop() {
	var group sync.WaitGroup
	for i := range s.Nodes {
		group.Go(func() { s.Kill(i) })
	}
	group.Wait()
}

// Members lists the nodes that run.
func (s *Cluster) Members() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Member
	for _, m := range s.members {
		if m != nil {
			out = append(out, m)
		}
	}
	return out
}

func (s *Cluster) settings(i int) setup.Settings {
	address := func(offset int) string {
		return fmt.Sprintf("127.0.0.1:%d", s.Port+portsPerNode*i+offset)
	}
	at := Localities[i%len(Localities)]
	settings := setup.Defaults()
	settings.Instance = fmt.Sprintf("upstream-%05d", i)
	settings.Service = fmt.Sprintf("service-%04d", i%s.Services)
	settings.Region = string(at.Region)
	settings.DataCentre = string(at.DataCentre)
	settings.Listen = setup.Listen{
		Calls:   address(0),
		Data:    address(1),
		Control: address(2),
		Admin:   address(3),
	}
	settings.Upstream.Address = s.Upstream
	settings.Upstream.HealthPath = ""
	settings.Upstream.ProbeInterval = time.Minute
	settings.Platform = setup.Platform{
		Address: s.Platform,
		Region:  "north",
	}
	settings.Tuning = s.Tuning
	for j := 0; j < 2*len(Localities); j++ {
		if j != i && j < s.Nodes {
			settings.Seeds = append(settings.Seeds, fmt.Sprintf("127.0.0.1:%d", s.Port+portsPerNode*j+2))
		}
	}
	return settings
}

// Await waits until every node is attached, knows all endpoints and has a
// version in force.
func (s *Cluster) Await(limit time.Duration, version cyclam.Version) error {
	deadline := time.Now().Add(limit)
	for {
		missing := s.missing(version)
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("after " + limit.String() + ": " + missing)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Cluster) missing(version cyclam.Version) string {
	members := s.Members()
	for _, m := range members {
		status := m.Node.Status()
		if !status.Attached || status.Endpoints < len(members) || status.Version < version {
			return fmt.Sprintf("%s: attached %v, %d endpoints, version %d", status.Instance, status.Attached, status.Endpoints, status.Version)
		}
	}
	return ""
}

// Count adds up a counter over all nodes that run.
func (s *Cluster) Count(name string) int64 {
	var total int64
	for _, m := range s.Members() {
		if c, ok := m.Metrics.Get(name).(metrics.Counter); ok {
			total += c.Count()
		}
	}
	return total
}
