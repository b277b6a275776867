package proxy

import (
	"math/rand/v2"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// A run that is repeated makes its requests again, and they count as repeats at the services that
// it calls. So a retry is charged to those services' budgets as well, where it is decided. What
// runs of a route call is learnt from the ends of their answers.

// calls holds how many requests to each service a run makes on average.
type calls map[cyclam.ServiceName]float64

const (
	// callsWeight is the weight of a run in the moving average, and leastCalls the average below
	// which a service does not count as called.
	callsWeight = 0.05
	leastCalls  = 0.02
	// maxCalls bounds what one run counts for, and maxCallers the routes that are remembered.
	maxCalls   = 16
	maxCallers = 1024
)

// noteCalled counts a request that a run at the local upstream makes.
func (n *Node) noteCalled(parent string, service cyclam.ServiceName) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if n.runningByID[parent] == 0 {
		return
	}
	if n.calledByID[parent] == nil {
		n.calledByID[parent] = map[cyclam.ServiceName]uint32{}
	}
	n.calledByID[parent][service]++
}

// called returns the requests that a run at the local upstream has made.
func (n *Node) called(id string) []*wire.Called {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	var list []*wire.Called
	for service, count := range n.calledByID[id] {
		list = append(list, &wire.Called{
			Service: string(service),
			Count:   count,
		})
	}
	return list
}

// learnCalls applies what one run of a route has called.
func (n *Node) learnCalls(route string, called []*wire.Called) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.callsOf[route]
	if known == nil && len(called) == 0 {
		return
	}
	if known == nil && len(n.callsOf) >= maxCallers {
		clear(n.callsOf)
	}
	next := calls{}
	for service, mean := range known {
		next[service] = (1 - callsWeight) * mean
	}
	for _, c := range called {
		next[cyclam.ServiceName(c.GetService())] += callsWeight * float64(min(c.GetCount(), maxCalls))
	}
	n.callsOf[route] = next
}

// charged returns the services whose retry budgets a repeat of the call is charged to, with the
// mean of the arrivals that it causes there.
func (c *call) charged() calls {
	all := calls{
		c.service: 1,
	}
	for service, mean := range c.node.callsOf[c.route.Name] {
		if mean >= leastCalls {
			all[service] += mean
		}
	}
	return all
}

// arrivals returns a whole number whose mean is that of the arrivals.
func arrivals(mean float64) int {
	whole := int(mean)
	if rand.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}
