package node

import (
	"context"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/core"
)

// dispatch folds an event into the state and performs the effects in order. No
// effect blocks: what takes time is handed to a goroutine.
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
		n.toCall(e.Call, e)
	case cyclam.FinishCall:
		n.toCall(e.Call, e)
		delete(n.calls, e.Call)
	case cyclam.ConfirmCancel:
		n.performCancel(e)
	case cyclam.StartWork:
		n.toWork(e.Attempt, e)
	case cyclam.FinishWork:
		n.toWork(e.Attempt, e)
		delete(n.works, e.Attempt)
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
		n.meters.converge.Update(e.Took)
		n.Log.Info("version-in-force-everywhere", "version", e.Version, "took", e.Took, "nodes", e.Nodes)
	case cyclam.Exit:
		n.exit <- e.Reason
	default:
		n.performPlatform(effect)
	}
}

func (n *Node) toCall(id cyclam.CallID, effect cyclam.Effect) {
	if ch, ok := n.calls[id]; ok {
		ch <- effect
	}
}

func (n *Node) toWork(id cyclam.AttemptID, effect cyclam.Effect) {
	if ch, ok := n.works[id]; ok {
		ch <- effect
	}
}

// performCancel lets the call's own goroutine wait for the answer; once the
// call has its final answer, the cancel only frees the upstream.
func (n *Node) performCancel(e cyclam.ConfirmCancel) {
	if ch, ok := n.calls[e.Call]; ok {
		ch <- e
		return
	}
	go n.confirm(context.WithoutCancel(n.ctx), e)
}

func (n *Node) answerCancel(e cyclam.AnswerCancel) {
	waiting := n.cancelCh[e.Attempt]
	delete(n.cancelCh, e.Attempt)
	for _, ch := range waiting {
		ch <- e.Confirmed
	}
}
