package node

import (
	"context"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/core"
)

// dispatch applies an event to the state and performs the resulting effects in
// order, under the node's lock. Effects must not block: slow ones run in a
// goroutine of their own.
func (n *Node) dispatch(event cyclam.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, effects := core.Reduce(n.state, event)
	if before := n.state.Conf().Version; n.OnVersion != nil && state.Conf().Version != before {
		n.OnVersion(state.Conf().Version, event.At())
	}
	n.state = state
	for _, effect := range effects {
		n.perform(effect)
	}
}

func (n *Node) perform(effect cyclam.Effect) {
	switch e := effect.(type) {
	case cyclam.SendAttempt:
		n.sendToCall(e.Call, e)
	case cyclam.FinishCall:
		n.sendToCall(e.Call, e)
		delete(n.calls, e.Call)
	case cyclam.ConfirmCancel:
		n.performCancel(e)
	case cyclam.StartWork:
		n.sendToWork(e.Attempt, e)
	case cyclam.FinishWork:
		n.sendToWork(e.Attempt, e)
		delete(n.attempts, e.Attempt)
	case cyclam.AbortWork:
		go n.clients.abort(e.Attempt)
	case cyclam.AnswerCancel:
		n.answerCancel(e)
	case cyclam.OpenLink:
		n.openLink(e)
	case cyclam.CloseLink:
		n.closeLink(e)
	case cyclam.SendLink:
		n.sendLink(e)
	case cyclam.WriteLog:
		n.Log.Info(e.Event, e.Fields...)
	case cyclam.Converged:
		n.meters.convergenceTime.Update(e.Took)
		n.Log.Info("version-in-force-everywhere", "version", e.Version, "took", e.Took, "nodes", e.Nodes)
	case cyclam.Exit:
		n.exit <- e.Reason
	default:
		n.performPlatform(effect)
	}
}

func (n *Node) sendToCall(id cyclam.CallID, effect cyclam.Effect) {
	if ch, ok := n.calls[id]; ok {
		ch <- effect
	}
}

func (n *Node) sendToWork(id cyclam.AttemptID, effect cyclam.Effect) {
	if ch, ok := n.attempts[id]; ok {
		ch <- effect
	}
}

// performCancel hands the cancel to the goroutine of the call, which waits for
// the answer. If the call already has its final answer, the cancel only frees
// resources of the upstream and is sent in the background, independent of the
// node's shutdown.
func (n *Node) performCancel(e cyclam.ConfirmCancel) {
	if ch, ok := n.calls[e.Call]; ok {
		ch <- e
		return
	}
	go n.confirmCancel(context.WithoutCancel(n.ctx), e)
}

func (n *Node) answerCancel(e cyclam.AnswerCancel) {
	waiting := n.cancelWaiters[e.Attempt]
	delete(n.cancelWaiters, e.Attempt)
	for _, ch := range waiting {
		ch <- e.Confirmed
	}
}
