package fanout

import (
	"fmt"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
	"pgregory.net/rapid"
)

func fleet(size int) []Member {
	var members []Member
	for i := range size {
		members = append(members, Member{
			Name:   cyclam.InstanceName(fmt.Sprintf("sidecar-%d", i)),
			Region: cyclam.Region([]string{"north", "south"}[i%2]),
		})
	}
	return members
}

var tuning = Tuning{
	Readers:  4,
	Children: 8,
}

// Guards against nodes that are cut off from configurations and against overloaded
// parents: in every fleet each node reaches a reader of its region over its
// parents, and no node has more children than allowed.
func TestEveryNodeReachesAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 400).Draw(t, "size"))
		for i := range members {
			members[i].Unreachable = rapid.IntRange(0, 5).Draw(t, "unreachable") == 0
		}
		plans := map[cyclam.InstanceName]Plan{}
		region := map[cyclam.InstanceName]cyclam.Region{}
		children := map[cyclam.InstanceName]int{}
		readers := map[cyclam.Region]int{}
		for _, m := range members {
			if m.Unreachable {
				continue
			}
			plan := tuning.PlanFor(m, members)
			plans[m.Name], region[m.Name] = plan, m.Region
			children[plan.Parent]++
			if plan.Reader {
				readers[m.Region]++
			}
		}
		for name, plan := range plans {
			for depth := 0; !plan.Reader; depth++ {
				if region[plan.Parent] != region[name] || depth > 8 {
					t.Fatalf("%s: got parent %q at depth %d, want a path to a reader of its region", name, plan.Parent, depth)
				}
				plan = plans[plan.Parent]
			}
		}
		for name, count := range children {
			if name != "" && count > tuning.Children {
				t.Errorf("%s: got %d children, want at most %d", name, count, tuning.Children)
			}
		}
		for name, count := range readers {
			if count > tuning.Readers {
				t.Errorf("%s: got %d readers, want at most %d", name, count, tuning.Readers)
			}
		}
	})
}

// Guards against configuration updates that fill the link between the regions: for
// a configuration of 1,133 routes on 86 nodes, the bytes that cross it with
// readers are compared with those if each node reads the store.
func TestReadersLimitCrossRegionBytes(t *testing.T) {
	const size, configuration = 86, 220 << 10
	members := fleet(size)
	all, few := 0, 0
	for _, m := range members {
		if m.Region != "south" {
			continue
		}
		all += configuration
		if tuning.PlanFor(m, members).Reader {
			few += configuration
		}
	}
	if got, want := few, all/5; got > want {
		t.Errorf("bytes of one change between regions: got %d, want at most a fifth of the %d if each node reads the store", got, all)
	}
}

// A region with no more nodes than Tuning.Readers has readers only.
func TestSmallRegionHasReadersOnly(t *testing.T) {
	members := fleet(8)
	for _, m := range members {
		if plan := tuning.PlanFor(m, members); !plan.Reader {
			t.Errorf("%s: got a parent %q, want a reader", m.Name, plan.Parent)
		}
	}
}
