package proxy

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
)

// finishedAttempt is what the revocation of an attempt needs after its answer has arrived.
type finishedAttempt struct {
	node     *Node
	request  []byte
	service  string
	attempt  *wire.Attempt
	deadline time.Time
}

// finish tells the attempt's node that its answer has arrived, or notes that it has to be
// told once it is about to stop: it does not stop before it knows.
func (a *attempt) finish() {
	a.offer.Body, a.offer.Headers = nil, nil
	if a.leaving {
		a.revoke()
		return
	}
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	m, ok := a.node.fleet.members[a.target.Endpoint.Instance]
	if !ok || m.view.Endpoint.Identity != a.target.Endpoint.Identity {
		return
	}
	m.finished = append(m.finished, finishedAttempt{
		node:     a.node,
		request:  a.offer.Id,
		service:  a.offer.Service,
		attempt:  a.offer.Attempt,
		deadline: a.deadline,
	})
	if m.view.Load.Leaving || m.view.Endpoint.State == cyclam.EndpointLeaving {
		m.settleFinished()
	}
}

// settleFinished tells the node, which is about to stop, which answers have arrived. The
// caller holds Node.mu.
func (m *member) settleFinished() {
	now := time.Now()
	for _, f := range m.finished {
		if f.deadline.After(now) {
			f.sentTo(m.view).revoke()
		}
	}
	m.finished = nil
}

// sentTo returns the attempt, which was sent to target, for its revocation.
func (f finishedAttempt) sentTo(target picker.Candidate) *attempt {
	return &attempt{
		node:   f.node,
		target: target,
		offer: &wire.Offer{
			Id:          f.request,
			Service:     f.service,
			Attempt:     f.attempt,
			Instance:    string(target.Endpoint.Instance),
			Incarnation: uint64(target.Endpoint.Incarnation),
		},
		deadline: f.deadline,
		accepted: true,
	}
}

// expireFinished drops the attempts whose deadlines have passed: their nodes don't keep the
// answers any longer.
func (f *fleet) expireFinished(now time.Time) {
	for _, m := range f.members {
		m.finished = slices.DeleteFunc(m.finished, func(f finishedAttempt) bool { return !f.deadline.After(now) })
		if len(m.finished) == 0 {
			m.finished = nil
		}
	}
}
