package proxy

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

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
	now := time.Now()
	m.finished = slices.DeleteFunc(m.finished, func(f *attempt) bool { return !f.deadline.After(now) })
	m.finished = append(m.finished, a)
	if m.view.Load.Leaving || m.view.Endpoint.State == cyclam.EndpointLeaving {
		m.settleFinished()
	}
}

// settleFinished tells the node, which is about to stop, which answers have arrived. The
// caller holds Node.mu.
func (m *member) settleFinished() {
	now := time.Now()
	for _, a := range m.finished {
		if a.deadline.After(now) {
			a.revoke()
		}
	}
	m.finished = nil
}
