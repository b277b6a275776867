package proxy

import (
	"time"

	"github.com/cyclamensaddle/cyclam/procs"
)

// admitUpstream lets a node that is not running know its upstream.
func (n *Node) admitUpstream(id string) {
	p := procs.Process{
		ID:    id,
		Start: firstStart,
	}
	n.upstream.procs = procs.New(time.Now().Add(-time.Hour))
	n.changeUpstream("test", func(now time.Time, s procs.State) procs.State {
		return s.WithReport(now, p, 1, false)
	})
}
