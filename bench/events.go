package bench

import (
	"context"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/inproc"
	"github.com/cyclamensaddle/cyclam/stand/netem"
	"github.com/pkg/errors"
)

// triggerEvent causes the configured event and returns the time until the fleet has
// recovered from it.
func (d *Distribution) triggerEvent(ctx context.Context, f *inproc.Cluster, network *netem.Network) time.Duration {
	begin := time.Now()
	switch d.Event {
	case "hub-loss":
		defer f.Restart(ctx, d.killRole(f, cyclam.RoleHub))
		d.awaitAttached(f)
	case "root-loss":
		defer f.Restart(ctx, d.killRole(f, cyclam.RoleRoot))
		d.awaitAttached(f)
	case "cut":
		network.Partition()
		time.Sleep(d.Span / 3)
		network.Heal()
		begin = time.Now()
		d.awaitConvergence(f)
	case "herd":
		var wg sync.WaitGroup
		for i := 2; i < d.Nodes; i += 2 {
			wg.Go(func() { f.Kill(i) })
		}
		wg.Wait()
		begin = time.Now()
		for i := 2; i < d.Nodes; i += 2 {
			f.Restart(ctx, i)
		}
		_ = f.Await(time.Minute, 1)
	case "churn":
		for i := range 10 {
			f.Restart(ctx, (7*i+3)%d.Nodes)
			time.Sleep(d.Span / 30)
		}
	}
	return time.Since(begin)
}

// killRole kills the first node that holds a role and returns its index.
func (d *Distribution) killRole(f *inproc.Cluster, role cyclam.Role) int {
	for i, m := range f.Members() {
		if m.Node.Status().Role == role {
			f.Kill(i)
			return i
		}
	}
	return 0
}

// detectionDelay gives nodes time to detect the loss of their parent, so that they
// don't still count as attached to it.
const detectionDelay = 200 * time.Millisecond

// awaitAttached waits up to a minute until a root exists and every node is attached.
func (d *Distribution) awaitAttached(f *inproc.Cluster) {
	time.Sleep(detectionDelay)
	_ = fleet.Eventually(time.Minute, func() error {
		root := false
		for _, m := range f.Members() {
			status := m.Node.Status()
			root = root || status.Role == cyclam.RoleRoot
			if !status.Attached {
				return errors.New("a node is not attached to the tree")
			}
		}
		if !root {
			return errors.New("no node has the root role")
		}
		return nil
	})
}

// awaitConvergence waits up to a minute until the nodes' versions differ by at most
// 2, since changes go on meanwhile.
func (d *Distribution) awaitConvergence(f *inproc.Cluster) {
	_ = fleet.Eventually(time.Minute, func() error {
		low, high := cyclam.Version(1<<62), cyclam.Version(0)
		for _, m := range f.Members() {
			version := m.Node.Status().Version
			low, high = min(low, version), max(high, version)
		}
		if high-low > 2 {
			return errors.New("versions of the nodes differ by more than 2")
		}
		return nil
	})
}
