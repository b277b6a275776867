// Package fanout decides from where a node gets a new configuration: a few nodes
// of each region read it from the platform's store, the others fetch it from one
// of these or from one another, in a tree. A plan is computed from the members
// known to a node. Package proxy uses it under "cyclamensaddle sidecar"; its
// counterpart under "cyclamensaddle node" is package tree.
//
// It is designed for this load pattern: an operator writes configurations in quick
// succession to a fleet with narrow links, where reading each configuration at
// each node would fill the links that requests need.
package fanout

import (
	"cmp"
	"hash/fnv"
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Member is one node as known to the node that computes a plan.
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
	// Children is the maximum number of nodes that fetch from one parent.
	Children int
}

// Plan is the source of configurations for one node.
type Plan struct {
	// Reader is set if the node reads the store.
	Reader bool
	// Rank is the node's place among those of its region, from zero; readers come first.
	Rank int
	// Parent is the node to fetch from; empty for a reader.
	Parent cyclam.InstanceName
	// Readers are the other nodes of the region that read the store, by rank.
	Readers []cyclam.InstanceName
}

// PlanFor returns the plan of a node among the others. Nodes with different views
// of the membership compute inconsistent plans; each plan still leads to a reader,
// because a parent's rank is lower than the node's own.
func (t Tuning) PlanFor(self Member, others []Member) Plan {
	ranked := []Member{self}
	for _, m := range others {
		if m.Region == self.Region && !m.Unreachable && m.Name != self.Name {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	rank := slices.IndexFunc(ranked, func(m Member) bool { return m.Name == self.Name })
	plan := Plan{
		Reader: rank < t.Readers,
		Rank:   rank,
	}
	for _, m := range ranked[:min(t.Readers, len(ranked))] {
		if m.Name != self.Name {
			plan.Readers = append(plan.Readers, m.Name)
		}
	}
	if !plan.Reader {
		plan.Parent = ranked[(rank-t.Readers)/t.Children].Name
	}
	return plan
}

// hash returns the number by which the nodes of a region are ranked. It spreads
// the ranks evenly over the data centres of the region.
func hash(name cyclam.InstanceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads the hashes of names that differ only in their last letters.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}
