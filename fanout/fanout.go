// Package fanout decides from where a node gets a new configuration: a few nodes
// of each region read the platform's store, the others ask one of them or one
// another, in a tree.
//
// The load pattern that it answers: an operator writes configurations in quick
// succession to a fleet with small links, where every node that reads each of
// them whole would fill the links that requests need.
package fanout

import (
	"cmp"
	"hash/fnv"
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Member is one node as the own one sees it.
type Member struct {
	Name   cyclam.InstanceName
	Region cyclam.Region
	// Unreachable is set while the node can't be reached.
	Unreachable bool
}

// Tuning bounds the tree.
type Tuning struct {
	// Readers is how many nodes of a region read the store.
	Readers int
	// Children is how many nodes ask one node.
	Children int
}

// Plan says from where a node gets a configuration.
type Plan struct {
	// Reader is set if the node reads the store.
	Reader bool
	// Parent is the node to ask otherwise.
	Parent cyclam.InstanceName
	// Readers are the other nodes of the region that read the store.
	Readers []cyclam.InstanceName
}

// PlanFor returns the plan of a node among the others. Nodes that see different
// members have plans that don't fit each other; each of them still leads to a
// reader, as a parent's rank is lower than the own one.
func (t Tuning) PlanFor(self Member, others []Member) Plan {
	rank := []Member{self}
	for _, m := range others {
		if m.Region == self.Region && !m.Unreachable && m.Name != self.Name {
			rank = append(rank, m)
		}
	}
	slices.SortFunc(rank, func(a, b Member) int {
		return cmp.Or(cmp.Compare(order(a.Name), order(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	own := slices.IndexFunc(rank, func(m Member) bool { return m.Name == self.Name })
	plan := Plan{
		Reader: own < t.Readers,
	}
	for _, m := range rank[:min(t.Readers, len(rank))] {
		if m.Name != self.Name {
			plan.Readers = append(plan.Readers, m.Name)
		}
	}
	if !plan.Reader {
		plan.Parent = rank[(own-t.Readers)/t.Children].Name
	}
	return plan
}

// order is a number that is spread evenly over the data centres of a region.
func order(name cyclam.InstanceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads names that differ in their last letters only.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}
