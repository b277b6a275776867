// Package inproc runs many nodes in one process, connected by real sockets on
// loopback. Benchmarks and failure tests use it when they need more nodes than
// the machine can run as separate processes.
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

// Cluster is a set of nodes in one process. Set its exported fields before Start.
type Cluster struct {
	Nodes int
	// Services is the number of services; node i belongs to service i modulo it.
	Services int
	// Port is the first port; each node uses four consecutive ones.
	Port int
	// Platform and Upstream are the host:port that all nodes share.
	Platform string
	Upstream string
	Tuning   setup.Tuning
	Network  *netem.Network
	Log      hclog.Logger
	// OnVersion, if set, is called when a version comes into force on node i.
	OnVersion func(i int, version cyclam.Version, at time.Time)

	mu      sync.Mutex
	members []*Member
}

// Member is a running node of the cluster.
type Member struct {
	Node     *node.Node
	Metrics  metrics.Registry
	Locality cyclam.Locality
	cancel   context.CancelFunc
	done     chan error
}

// portsPerNode covers calls, data, control and admin.
const portsPerNode = 4

// Localities lists the data centres, to which the nodes are assigned round-robin.
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

// Start registers all nodes' addresses with the network and starts the nodes.
func (c *Cluster) Start(ctx context.Context) {
	c.members = make([]*Member, c.Nodes)
	for i := range c.Nodes {
		settings := c.settings(i)
		for _, address := range []string{settings.Listen.Calls, settings.Listen.Data, settings.Listen.Control} {
			c.Network.SetLocality(address, Localities[i%len(Localities)])
		}
	}
	for i := range c.Nodes {
		c.Restart(ctx, i)
	}
}

// Restart stops node i if it runs and starts it with fresh metrics.
func (c *Cluster) Restart(ctx context.Context, i int) {
	c.Kill(i)
	locality := Localities[i%len(Localities)]
	m := &Member{
		Metrics:  metrics.NewRegistry(),
		Locality: locality,
		done:     make(chan error, 1),
	}
	m.Node = &node.Node{
		Settings: c.settings(i),
		Platform: store.New(c.Platform),
		Log:      c.Log.With("node", i),
		Metrics:  m.Metrics,
		Dial:     c.Network.From(locality),
	}
	if c.OnVersion != nil {
		m.Node.OnVersion = func(version cyclam.Version, when time.Time) { c.OnVersion(i, version, when) }
	}
	ctx, m.cancel = context.WithCancel(ctx)
	c.mu.Lock()
	c.members[i] = m
	c.mu.Unlock()
	go func() { m.done <- m.Node.Run(ctx) }()
}

// Kill cancels node i's context, if the node runs, and waits for its end.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	m := c.members[i]
	c.members[i] = nil
	c.mu.Unlock()
	if m != nil {
		m.cancel()
		<-m.done
	}
}

// Stop kills all nodes concurrently and waits for their end.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for i := range c.Nodes {
		wg.Go(func() { c.Kill(i) })
	}
	wg.Wait()
}

// Members lists the running nodes.
func (c *Cluster) Members() []*Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Member
	for _, m := range c.members {
		if m != nil {
			out = append(out, m)
		}
	}
	return out
}

func (c *Cluster) settings(i int) setup.Settings {
	address := func(offset int) string {
		return fmt.Sprintf("127.0.0.1:%d", c.Port+portsPerNode*i+offset)
	}
	locality := Localities[i%len(Localities)]
	settings := setup.Defaults()
	settings.Instance = fmt.Sprintf("upstream-%05d", i)
	settings.Service = fmt.Sprintf("service-%04d", i%c.Services)
	settings.Region = string(locality.Region)
	settings.DataCentre = string(locality.DataCentre)
	settings.Listen = setup.Listen{
		Calls:   address(0),
		Data:    address(1),
		Control: address(2),
		Admin:   address(3),
	}
	settings.Upstream.Address = c.Upstream
	settings.Upstream.HealthPath = ""
	settings.Upstream.ProbeInterval = time.Minute
	settings.Platform = setup.Platform{
		Address: c.Platform,
		Region:  "north",
	}
	settings.Tuning = c.Tuning
	for j := 0; j < 2*len(Localities); j++ {
		if j != i && j < c.Nodes {
			settings.Seeds = append(settings.Seeds, fmt.Sprintf("127.0.0.1:%d", c.Port+portsPerNode*j+2))
		}
	}
	return settings
}

// Await waits until every running node is attached, knows the endpoints of all
// running nodes and has the version, or a later one, in force. Its error names
// the first node that does not.
func (c *Cluster) Await(timeout time.Duration, version cyclam.Version) error {
	deadline := time.Now().Add(timeout)
	for {
		reason := c.notConverged(version)
		if reason == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("cluster not converged after " + timeout.String() + ": " + reason)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// notConverged describes the first node that Await still waits for; it is empty
// if there is none.
func (c *Cluster) notConverged(version cyclam.Version) string {
	members := c.Members()
	for _, m := range members {
		status := m.Node.Status()
		if !status.Attached || status.Endpoints < len(members) || status.Version < version {
			return fmt.Sprintf("%s: attached %v, %d endpoints, version %d", status.Instance, status.Attached, status.Endpoints, status.Version)
		}
	}
	return ""
}

// Count sums the named counter over all running nodes.
func (c *Cluster) Count(name string) int64 {
	var total int64
	for _, m := range c.Members() {
		if counter, ok := m.Metrics.Get(name).(metrics.Counter); ok {
			total += counter.Count()
		}
	}
	return total
}
