package proxy

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// A rate limit, and whether one is known, must reach other nodes as it is.
func TestLoadCarriesRateLimit(t *testing.T) {
	for _, limit := range []cyclam.RateLimit{{}, cyclam.NoRateLimit(), cyclam.RateLimitOf(0), cyclam.RateLimitOf(6.4)} {
		want := cyclam.Load{
			Limit:      12,
			RateLimit:  limit,
			StartDelay: 90 * time.Millisecond,
		}
		told := notice{
			upstream: "u1",
			limit:    limit,
		}
		if got := decodeLoad(encodeLoad(want, 1, told.encode(time.Now()))); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// The time since when an upstream leaves must not move with each node that passes it on: the
// upstream would be taken for drained long before its drain time is over.
func TestPassedOnLeaveDoesNotAge(t *testing.T) {
	const leavingFor, loadAge = time.Second, 600 * time.Millisecond
	n := newFleetNode()
	n.fleet.upsert(cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    "door",
			Incarnation: 7,
		},
		State:   cyclam.EndpointReady,
		Service: "stock",
		Control: "127.0.0.1:1",
	}, time.Now())
	now := time.Now()
	leaves := notice{
		upstream:     "u1",
		leavingSince: now.Add(-leavingFor),
	}
	n.mergeLoads([]*wire.NodeLoad{
		{
			Instance: "door",
			Load:     encodeLoad(cyclam.Load{Leaving: true}, 7, leaves.encode(now)),
			AgeUs:    loadAge.Microseconds(),
		},
	})
	if got, least := n.fleet.notices["door"].leavingSince, now.Add(-leavingFor); got.Before(least) {
		t.Errorf("leaving since: got %v before the leave, want it not before", least.Sub(got))
	}
}
