package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// ErrNotKept rejects the acknowledgement of a leave that would be forgotten with this node's
// process.
var ErrNotKept = errors.New("neither the store nor another node has taken note of the leave")

const (
	// keepTimeout bounds the time until a leave is kept. It is to be acknowledged within a
	// second.
	keepTimeout = 800 * time.Millisecond
	// storePatience is how long the store alone may take before other nodes are told.
	storePatience = 100 * time.Millisecond
	// maxKeepers is how many other nodes are told at a time.
	maxKeepers = 3
	// keepPause is the pause before other nodes are told.
	keepPause = 100 * time.Millisecond
)

// AwaitKept returns nil once the leave of an upstream process, which has been announced or
// withdrawn, outlasts this node's process: the store holds it, or another node has confirmed
// that it knows of it. It returns ErrNotKept if neither is the case within keepTimeout.
func (n *Node) AwaitKept(ctx context.Context, id string, startedAt time.Time) error {
	leaver := procs.Process{
		ID:    id,
		Start: startedAt,
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	told := make(chan cyclam.InstanceName, 1)
	tell := time.After(storePatience)
	for {
		stored, changed := n.entry.current()
		if stored.holdsLeave(leaver) {
			return nil
		}
		select {
		case <-changed:
		case <-tell:
			n.tellLeave(leaver, told)
			tell = time.After(keepPause)
		case keeper := <-told:
			n.Log.Info("leave-kept", "upstream", id, "peer", keeper)
			return nil
		case <-ctx.Done():
			n.Log.Warn("leave-not-kept", "upstream", id)
			return cyclam.AtStep("keep leave", id, ErrNotKept)
		}
	}
}

// holdsLeave reports whether a process that reads the entry knows that an upstream process
// leaves.
func (e entry) holdsLeave(p procs.Process) bool {
	if e.Leaving && e.Upstream == p.ID && (e.StartedMs == 0 || e.StartedMs == startedMs(p)) {
		return true
	}
	left, _ := parseLeft(e.Left)
	return slices.ContainsFunc(left, func(other procs.Process) bool {
		return other.ID == p.ID && startedMs(other) == startedMs(p)
	})
}

// tellLeave tells some of the other nodes of a leave of the present upstream process. Those
// that confirm it are sent to told.
func (n *Node) tellLeave(p procs.Process, told chan<- cyclam.InstanceName) {
	for _, name := range n.keepers(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
			defer cancel()
			if err := n.confirmLeave(ctx, name, p); err != nil {
				n.Log.Debug("leave-not-confirmed", "upstream", p.ID, "peer", name, "error", err)
				return
			}
			select {
			case told <- name:
			default:
			}
		}()
	}
}

// keepers returns other nodes that are likely to answer, in random order.
func (n *Node) keepers(now time.Time) []cyclam.InstanceName {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []cyclam.InstanceName
	for name, m := range n.fleet.members {
		if !m.unavailable(now) {
			names = append(names, name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), maxKeepers)]
}

// confirmLeave exchanges knowledge with another node, and returns nil if that knows of the
// leave then.
func (n *Node) confirmLeave(ctx context.Context, name cyclam.InstanceName, p procs.Process) error {
	address, _, err := n.addressOf(name)
	if err != nil {
		return err
	}
	conn, err := n.link(address).connect(ctx)
	if err != nil {
		return err
	}
	reply, err := wire.NewDoorClient(conn).Exchange(ctx, n.knowledge("", n.configHistory.newest(), false))
	if err != nil {
		return cyclam.AtStep("tell of a leave", address, err)
	}
	n.applyKnowledge(reply)
	known := decodeNotice(reply.Notice, time.Now())
	if known.leavingSince.IsZero() || !known.concerns(p.ID, p.Start) {
		return cyclam.AtStep("tell of a leave", address, errors.New("the node does not know of it"))
	}
	return nil
}
