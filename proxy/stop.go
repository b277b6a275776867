package proxy

import (
	"context"
	"time"
)

const (
	// deregisterDelay is how long the platform keeps sending new callers after the
	// readiness check has failed.
	deregisterDelay = 2500 * time.Millisecond
	// peerGrace is how long a stopping node still accepts attempts from other nodes.
	// It is shorter than deregisterDelay because callers keep arriving for longer
	// and the local upstream keeps running for them.
	peerGrace = 1200 * time.Millisecond
	// exitMargin is kept free between the planned exit and the kill.
	exitMargin = 700 * time.Millisecond
	// exitPoll is the interval at which a stopping node checks whether it has drained.
	exitPoll = 50 * time.Millisecond
)

// Stop shuts the node down gracefully. After a short period it accepts nothing
// more from other nodes; callers are served until the platform has redirected
// them, work in flight completes, and its answers are delivered. Stop returns
// when the process may exit.
func (n *Node) Stop(ctx context.Context) {
	if !n.prepared.Load() || !n.stopping.CompareAndSwap(false, true) {
		return
	}
	began := time.Now()
	grace := time.Duration(n.grace.Load())
	exitAt := began.Add(grace - exitMargin)
	closeAt := began.Add(peerGrace)
	n.exitAt.Store(&exitAt)
	n.closeAt.Store(&closeAt)
	time.AfterFunc(peerGrace, n.requestEntryWrite)
	n.Log.Info("stop-begun", "grace", grace)
	for time.Since(began) < deregisterDelay || !n.drained() && time.Now().Before(exitAt) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(exitPoll):
		}
	}
	ctx, cancel := context.WithDeadline(ctx, exitAt)
	defer cancel()
	err := n.server.Shutdown(ctx)
	n.deleteEntry(ctx)
	n.closePeers(ctx)
	n.Log.Info("node-stopped", "after", time.Since(began), "callers-in-flight", n.callersInFlight.Load(), "error", err)
}

// closedToPeers reports whether a stopping node no longer accepts attempts from
// other nodes.
func (n *Node) closedToPeers(now time.Time) bool {
	closeAt := n.closeAt.Load()
	return closeAt != nil && !now.Before(*closeAt)
}

// outlastsProcess reports whether a request with this timeout may still run when
// the process exits. Until the platform has had time to notice the stop, all
// requests are accepted.
func (n *Node) outlastsProcess(now time.Time, timeout time.Duration) bool {
	exitAt := n.exitAt.Load()
	closeAt := n.closeAt.Load()
	if exitAt == nil || closeAt == nil || now.Before(closeAt.Add(deregisterDelay-peerGrace)) {
		return false
	}
	return now.Add(timeout).After(*exitAt)
}

// drained reports whether no caller waits, nothing runs or waits at the local upstream,
// all senders have their answers, and all revocations are confirmed.
func (n *Node) drained() bool {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if n.callersInFlight.Load() > 0 || n.revocations.Load() > 0 || n.scheduler.Busy() {
		return false
	}
	now := time.Now()
	for _, j := range n.jobs {
		if now.Before(j.deadline) && !j.isSettled() {
			return false
		}
	}
	return true
}

// closeTimeout bounds the closing of connections to other nodes: one of them may not
// answer any more.
const closeTimeout = 500 * time.Millisecond

// closePeers closes the connections to other nodes once buffered replies have been sent.
func (n *Node) closePeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		n.peers.GracefulStop()
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}
