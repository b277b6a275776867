package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
)

// mayRetry reports whether the deadline and the retry budget allow sending the call
// to another upstream after one may have started to work on it.
func (c *call) mayRetry() bool {
	n := c.node
	now := time.Now()
	if c.deadline.Sub(now) < minAttemptTime {
		return false
	}
	nodes := n.nodeCount()
	n.mu.Lock()
	defer n.mu.Unlock()
	for service := range c.charged() {
		if !n.budgetOf(service).Allows(now, nodes) {
			n.meters.budgetSpent.Inc(1)
			return false
		}
	}
	return true
}

// mayHedge reports whether the retry budget allows a hedged attempt. Part of the
// budget is reserved for retries of attempts that failed.
func (c *call) mayHedge() bool {
	n := c.node
	nodes := n.nodeCount()
	n.mu.Lock()
	defer n.mu.Unlock()
	for service := range c.charged() {
		if !n.budgetOf(service).AllowsHedge(time.Now(), nodes) {
			return false
		}
	}
	return true
}

// budgetLeft returns how many more retries this node's budget for the call's service
// allows.
func (c *call) budgetLeft() int {
	n := c.node
	nodes := n.nodeCount()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budgetOf(c.service).Remaining(time.Now(), nodes)
}

// minAttemptTime is the least time left for which another attempt is started.
const minAttemptTime = 60 * time.Millisecond

// countRetry charges a repeat of the call to the retry budgets of the services at which it causes
// arrivals.
func (c *call) countRetry() {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for service, mean := range c.charged() {
		for range arrivals(mean) {
			n.budgets[service] = n.budgetOf(service).WithRetry(time.Now())
		}
	}
}

// countRequest credits the service's retry budget for a caller's request.
func (n *Node) countRequest(service cyclam.ServiceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets[service] = n.budgetOf(service).WithRequest(time.Now())
}

func (n *Node) budgetOf(service cyclam.ServiceName) budget.State {
	if state, ok := n.budgets[service]; ok {
		return state
	}
	state := budget.New(n.Settings.Budget)
	state.StartedAt = n.startTime
	return state
}
