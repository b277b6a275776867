package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
)

// mayRepeat reports whether another upstream may be sent the call although one
// may have begun to work on it.
func (c *call) mayRepeat() bool {
	n := c.node
	now := time.Now()
	if c.deadline.Sub(now) < leastTry {
		return false
	}
	nodes := n.nodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	allowed := n.budgetOf(c.service).Allows(now, nodes)
	if !allowed {
		n.meters.budgetSpent.Inc(1)
	}
	return allowed
}

// mayHedge reports the same where nothing has failed: a part of the budget is
// kept for what has.
func (c *call) mayHedge() bool {
	n := c.node
	nodes := n.nodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budgetOf(c.service).AllowsHedge(time.Now(), nodes)
}

// budgetLeft returns how many more repeats the call's service allows here.
func (c *call) budgetLeft() int {
	n := c.node
	nodes := n.nodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budgetOf(c.service).Remaining(time.Now(), nodes)
}

// leastTry is the least time for which another attempt is worth making.
const leastTry = 60 * time.Millisecond

// spend counts a repeat against the budget.
func (n *Node) spend(service cyclam.ServiceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets[service] = n.budgetOf(service).WithRetry(time.Now())
}

// earn counts a first sending.
func (n *Node) earn(service cyclam.ServiceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets[service] = n.budgetOf(service).WithRequest(time.Now())
}

func (n *Node) budgetOf(service cyclam.ServiceName) budget.State {
	if state, ok := n.budgets[service]; ok {
		return state
	}
	return budget.New(n.Settings.Budget)
}
