package proxy

import (
	"context"
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// revoke cancels an attempt whose sender needs no answer. It returns true if the attempt
// has not started and never will.
func (n *Node) revoke(attempt cyclam.AttemptID) bool {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	j, known := n.jobs[attempt]
	if !known {
		if n.fences.discarded.has(attempt) {
			return false
		}
		n.fences.revoked.add(attempt)
		return true
	}
	// The sender needs no reply, so a stop does not wait for it to read one.
	j.settle()
	state, queued := n.scheduler.Withdraw(attempt)
	if !queued {
		if !j.hasEnded() && j.ctx.Err() == nil {
			n.meters.cancelledRevoked.Inc(1)
		}
		j.cancel(errRevoked)
		return false
	}
	n.scheduler = state
	j.append(declined(cyclam.ReasonCancelled, 0), true)
	return true
}

// unreadGrace is how long an attempt waits for a slot after its sender's connection has
// broken.
const unreadGrace = 400 * time.Millisecond

// release detaches a reader from a job. After unreadGrace without a reader, an attempt
// that has not started is withdrawn, so that its sender can try another node. A run
// continues, because its sender resumes the attempt until the deadline and revokes it if
// the caller leaves.
func (n *Node) release(j *job, r *jobCursor) {
	n.pacer.uncommit(j.uncommit(math.MaxInt))
	if !j.detach(r) {
		return
	}
	time.AfterFunc(unreadGrace, func() { n.dropUnread(j) })
}

// dropUnread refuses a job that has had no reader for unreadGrace and waits for a slot.
// It cancels a run whose answer no reader can receive whole any more.
func (n *Node) dropUnread(j *job) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if j.hasEnded() || j.unreadFor(time.Now()) < unreadGrace {
		return
	}
	if state, queued := n.scheduler.Withdraw(j.attempt); queued {
		n.scheduler = state
		j.append(declined(cyclam.ReasonCancelled, 0), true)
		return
	}
	if !j.resumable() {
		n.cancelUnread(j)
	}
}

func (n *Node) cancelUnread(j *job) {
	n.meters.cancelledUnread.Inc(1)
	j.settle()
	j.cancel(errUnread)
}

// cancelAbandoned cancels the runs without a reader whose senders' processes have been
// replaced: nobody resumes or revokes them. What says so may have been sent by the process
// before the sender's, so the sender's node is asked first.
func (n *Node) cancelAbandoned(ctx context.Context, now time.Time) {
	unread := map[cyclam.Identity][]*job{}
	n.schedMu.Lock()
	for _, j := range n.jobs {
		if j.unreadFor(now) >= unreadGrace && !j.hasEnded() && !j.isSettled() {
			unread[j.attempt.Sender] = append(unread[j.attempt.Sender], j)
		}
	}
	n.schedMu.Unlock()
	for sender, jobs := range unread {
		n.mu.Lock()
		replaced := n.fleet.store.ended[sender].replaced
		n.mu.Unlock()
		if replaced {
			go n.cancelIfReplaced(ctx, sender, jobs)
		}
	}
}

// cancelIfReplaced cancels jobs if another process answers at their sender's node.
func (n *Node) cancelIfReplaced(ctx context.Context, sender cyclam.Identity, jobs []*job) {
	present, err := n.askProcess(ctx, sender.Instance)
	if err != nil || present == sender {
		n.Log.Info("sender-not-replaced", "sender", sender.Instance, "incarnation", sender.Incarnation, "runs", len(jobs), "error", err)
		return
	}
	for _, j := range jobs {
		if !j.hasEnded() {
			n.cancelUnread(j)
		}
	}
}

// askProcess returns the process that answers at an instance's node now.
func (n *Node) askProcess(ctx context.Context, name cyclam.InstanceName) (cyclam.Identity, error) {
	address, _, err := n.addressOf(name)
	if err != nil {
		return cyclam.Identity{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := n.link(address).connect(ctx)
	if err != nil {
		return cyclam.Identity{}, err
	}
	reply, err := wire.NewDoorClient(conn).Exchange(ctx, &wire.Knowledge{
		Version: uint64(n.version()),
	})
	if err != nil {
		return cyclam.Identity{}, cyclam.AtStep("ask for the process", address, err)
	}
	if got := cyclam.InstanceName(reply.Self.GetInstance()); got != name {
		return cyclam.Identity{}, cyclam.AtStep("ask for the process", address, errors.Errorf("node %q answers in place of %q", got, name))
	}
	return cyclam.Identity{
		Instance:    name,
		Incarnation: cyclam.Incarnation(reply.Self.GetIncarnation()),
	}, nil
}
