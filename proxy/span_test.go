package proxy

import (
	"math"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
)

// The largest reading of a steady clock must not turn into one before its start.
func TestLargestClockReading(t *testing.T) {
	if got, want := reading(math.MaxUint64), cyclam.MaxSpan; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A load whose stated age is beyond all durations must not count as a new one.
func TestAgeBeyondAllDurations(t *testing.T) {
	n := &Node{}
	n.fleet = newFleet(cyclam.Endpoint{})
	other := cyclam.Identity{
		Instance:    "other",
		Incarnation: 1,
	}
	n.fleet.addFromPeer(cyclam.Endpoint{
		Identity: other,
		Service:  "stock",
		State:    cyclam.EndpointReady,
	}, time.Now())
	report := func(waiting uint32, age int64) {
		n.mergeLoads([]*wire.NodeLoad{
			{
				Instance: string(other.Instance),
				Load: &wire.Load{
					Incarnation: uint64(other.Incarnation),
					Waiting:     waiting,
				},
				AgeUs: age,
			},
		})
	}
	report(1, 0)
	for _, age := range []int64{math.MaxInt64, math.MaxInt64 / 3, math.MaxInt64 / 1000 * 3} {
		report(2, age)
		if got, want := n.fleet.members[other.Instance].view.Load.Waiting, 1; got != want {
			t.Errorf("waiting after a load of age %d us: got %d, want %d", age, got, want)
		}
	}
}

// Times by the largest slowdown that a message can carry must stay in the range of durations.
func TestLargestSlowdown(t *testing.T) {
	load := decodeLoad(&wire.Load{
		Limit:         1,
		ServiceTimeUs: math.MaxUint32,
		Slowdown:      math.MaxUint32,
	})
	got := (picker.Tuning{}).ExpectedLatency(time.Now(), picker.Candidate{
		Load:   load,
		LoadAt: time.Now(),
	})
	if got <= 0 {
		t.Errorf("expected latency: got %v, want a long one", got)
	}
}
