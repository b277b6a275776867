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

// In every fleet each node reaches a reader of its region by its parents, and no
// node is asked by more than its share.
func TestEveryNodeReachesAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 400).Draw(t, "size"))
		for i := range members {
			members[i].Unreachable = rapid.IntRange(0, 5).Draw(t, "away") == 0
		}
		plans := map[cyclam.InstanceName]Plan{}
		region := map[cyclam.InstanceName]cyclam.Region{}
		asked := map[cyclam.InstanceName]int{}
		readers := map[cyclam.Region]int{}
		for _, m := range members {
			if m.Unreachable {
				continue
			}
			plan := tuning.PlanFor(m, members)
			plans[m.Name], region[m.Name] = plan, m.Region
			asked[plan.Parent]++
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
		for name, count := range asked {
			if name != "" && count > tuning.Children {
				t.Errorf("%s: got %d nodes that ask it, want at most %d", name, count, tuning.Children)
			}
		}
		for name, count := range readers {
			if count > tuning.Readers {
				t.Errorf("%s: got %d readers, want at most %d", name, count, tuning.Readers)
			}
		}
	})
}

// A storm of configurations on 86 nodes, 1,133 routes each: bytes that cross the
// link between the regions with each node reading the store, and with readers.
func TestStormBetweenRegions(t *testing.T) {
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
		t.Errorf("bytes of one change between regions: got %d, want at most a fifth of the %d with a reader at each node", got, all)
	}
}

// Regions with few nodes have readers only.
func TestSmallRegion(t *testing.T) {
	members := fleet(8)
	for _, m := range members {
		if plan := tuning.PlanFor(m, members); !plan.Reader {
			t.Errorf("%s: got a parent %q, want a reader", m.Name, plan.Parent)
		}
	}
}
