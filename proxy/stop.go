package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// deregisterDelay is how long the platform keeps sending new callers after the
	// readiness check has failed.
	deregisterDelay = 2500 * time.Millisecond
	// peerGrace is how long a stopping node still accepts attempts from other nodes.
	// It is shorter than deregisterDelay because callers keep arriving for longer
	// and the local upstream keeps running for them.
	peerGrace = 1200 * time.Millisecond
	// acceptTime is how long a stopping node accepts requests whose deadline lies beyond
	// its exit. The platform does not count requests sent until then as lost if their
	// upstream is still at work in the last sixth of the grace.
	acceptTime = 3 * time.Second
	// fullGrace is the shortest grace with the whole exitMargin and closingTime. A shorter
	// one shortens both in proportion, so that calls end in the last sixth of any grace, with
	// a twentieth of that sixth for delays.
	fullGrace = 6 * time.Second
	// exitMargin is kept free between the planned exit and the kill.
	exitMargin = 700 * time.Millisecond
	// closingTime is kept free between the end of the calls and the exit: half of it for
	// the last answers to callers and revocations, the rest for the replies to other nodes
	// and the entry.
	closingTime = 250 * time.Millisecond
	// exitPoll is the interval at which a stopping node checks whether it has drained.
	exitPoll = 50 * time.Millisecond
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	began time.Time
	// peersClosed is when the node stops accepting attempts from other nodes, shut when it
	// stops accepting callers' connections and takes the last look at those that are idle,
	// callsEnd when its callers' requests must have ended, answersEnd when the last answers must
	// have been delivered, linksEnd when the connections to other nodes must be closed, and
	// exit when the process may exit whatever is left.
	peersClosed time.Time
	shut        time.Time
	callsEnd    time.Time
	answersEnd  time.Time
	linksEnd    time.Time
	exit        time.Time
}

// newStopTimes returns the times of a stop that the platform ends with a kill after grace.
func newStopTimes(began time.Time, grace time.Duration) *stopTimes {
	grace = max(0, grace)
	share := min(1, grace.Seconds()/fullGrace.Seconds())
	closing := time.Duration(share * float64(closingTime))
	exit := began.Add(grace - time.Duration(share*float64(exitMargin)))
	callsEnd := exit.Add(-closing)
	// closingTime leaves room for lastLook; a shorter closing does not.
	shut := exit.Add(-closingTime)
	if shut.Before(began) {
		shut = began
	}
	return &stopTimes{
		began:       began,
		peersClosed: began.Add(min(peerGrace, callsEnd.Sub(began))),
		shut:        shut,
		callsEnd:    callsEnd,
		answersEnd:  callsEnd.Add(closing / 2),
		linksEnd:    exit.Add(-closing / 4),
		exit:        exit,
	}
}

// Stop shuts the node down gracefully. After a short period it accepts nothing
// more from other nodes; callers are served until the platform has redirected
// them, work in flight completes, and its answers are delivered. Stop returns
// when the process may exit, before the end of the grace.
func (n *Node) Stop(ctx context.Context) {
	if !n.prepared.Load() || !n.stopping.CompareAndSwap(false, true) {
		return
	}
	grace := time.Duration(n.grace.Load())
	s := newStopTimes(time.Now(), grace)
	n.stop.Store(s)
	time.AfterFunc(time.Until(s.peersClosed), n.requestEntryWrite)
	n.Log.Info("stop-begun", "grace", grace)
	ctx, cancel := context.WithDeadline(ctx, s.exit)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.stopInOrder(ctx, s)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
	}
	n.Log.Info("node-stopped", "after", time.Since(s.began), "callers-in-flight", n.callersInFlight.Load(), "connections", n.callers.count(), "error", ctx.Err())
}

// stopInOrder takes the steps of a stop, those that concern requests first. Each of them
// ends in time for the next one. A step that has nothing left to do ends at once.
func (n *Node) stopInOrder(ctx context.Context, s *stopTimes) {
	await(ctx, s.shut, func() bool { return time.Since(s.began) >= deregisterDelay && n.drained() })
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	n.callers.shut()
	quiet := func() bool { return n.callers.count() == 0 && n.drained() }
	await(ctx, s.callsEnd, quiet)
	n.endCalls()
	await(ctx, s.answersEnd, quiet)
	n.closePeers(ctx, s.linksEnd)
	n.deleteEntry(ctx)
}

// await waits until ok or the deadline.
func await(ctx context.Context, deadline time.Time, ok func() bool) {
	for !ok() {
		left := time.Until(deadline)
		if left <= 0 || !sleep(ctx, min(left, exitPoll)) {
			return
		}
	}
}

// closedToPeers reports whether a stopping node no longer accepts attempts from
// other nodes.
func (n *Node) closedToPeers(now time.Time) bool {
	s := n.stop.Load()
	return s != nil && !now.Before(s.peersClosed)
}

// outlastsProcess reports whether a call that arrives now may still run when the process
// exits, and is to be refused for that. Until the platform has had time to notice the stop,
// all calls are accepted, and for a little longer those whose goal can be met.
func (n *Node) outlastsProcess(now time.Time, c *call) bool {
	s := n.stop.Load()
	switch {
	case s == nil:
		return false
	case !now.Before(s.callsEnd):
		return true
	case now.Before(s.began.Add(deregisterDelay)):
		return false
	case now.Before(s.began.Add(acceptTime)):
		return c.goal.After(s.callsEnd)
	}
	return c.deadline.After(s.callsEnd)
}

// endByExit lets a call that has arrived during a stop end before the process exits: its
// upstream gets the time that is left, so that nothing has to be cut at the exit.
func (n *Node) endByExit(c *call) {
	s := n.stop.Load()
	if s == nil || !c.deadline.After(s.callsEnd) {
		return
	}
	c.deadline = s.callsEnd
	if c.goal.After(c.deadline) {
		c.goal = c.deadline
	}
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

// closePeers closes the connections to other nodes once buffered replies have been sent,
// until the deadline at the latest.
func (n *Node) closePeers(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, closeTimeout)
	defer cancelTimeout()
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
