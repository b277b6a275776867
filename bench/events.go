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

// happen brings the event about and returns how long its mending took.
func (s *Distribution) happen(ctx context.Context, f *inproc.Cluster, network *netem.Network) time.Duration {
	begin := time.Now()
	switch s.Event {
	case "hub-loss":
		defer f.Restart(ctx, s.lose(f, cyclam.RoleHub))
		s.awaitAttached(f)
	case "root-loss":
		defer f.Restart(ctx, s.lose(f, cyclam.RoleRoot))
		s.awaitAttached(f)
	case "cut":
		network.Partition()
		time.Sleep(s.Span / 3)
		network.Heal()
		begin = time.Now()
		s.awaitSame(f)
	case "herd":
		var group sync.WaitGroup
		for i := 2; i < s.Nodes; i += 2 {
			group.Go(func() { f.Kill(i) })
		}
		group.Wait()
		begin = time.Now()
		for i := 2; i < s.Nodes; i += 2 {
			f.Restart(ctx, i)
		}
		_ = f.Await(time.Minute, 1)
	case "churn":
		for i := range 10 {
			f.Restart(ctx, (7*i+3)%s.Nodes)
			time.Sleep(s.Span / 30)
		}
	}
	return time.Since(begin)
}

// lose kills the holder of a role and returns its number.
func (s *Distribution) lose(f *inproc.Cluster, role cyclam.Role) int {
	for i, m := range f.Members() {
		if m.Node.Status().Role == role {
			f.Kill(i)
			return i
		}
	}
	return 0
}

// noticePause is the time in which nodes see that their parent is gone.
const noticePause = 200 * time.Millisecond

func (s *Distribution) awaitAttached(f *inproc.Cluster) {
	time.Sleep(noticePause)
	_ = fleet.Eventually(time.Minute, func() error {
		root := false
		for _, m := range f.Members() {
			status := m.Node.Status()
			root = root || status.Role == cyclam.RoleRoot
			if !status.Attached {
				return errors.New("not attached")
			}
		}
		if !root {
			return errors.New("no root")
		}
		return nil
	})
}

func (s *Distribution) awaitSame(f *inproc.Cluster) {
	_ = fleet.Eventually(time.Minute, func() error {
		low, high := cyclam.Version(1<<62), cyclam.Version(0)
		for _, m := range f.Members() {
			version := m.Node.Status().Version
			low, high = min(low, version), max(high, version)
		}
		if high-low > 2 {
			return errors.New("versions differ")
		}
		return nil
	})
}
