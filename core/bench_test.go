package core

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/admit"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/egress"
	"github.com/cyclamensaddle/cyclam/tree"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetSizes lists the fleets on which the reducer is measured, as pairs of
// upstreams and services.
var fleetSizes = [][2]int{{20, 3}, {1000, 150}, {19000, 2800}}

func endpoint(i, services int) cyclam.Endpoint {
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(fmt.Sprintf("upstream-%05d", i)),
			Incarnation: 1,
		},
		Sequence: 1,
		State:    cyclam.EndpointReady,
		Service:  cyclam.ServiceName(fmt.Sprintf("service-%04d", i%services)),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(fmt.Sprintf("region-%d", i%5)),
			DataCentre: cyclam.DataCentre(fmt.Sprintf("centre-%d", i%14)),
		},
		Data:    fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		Control: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
		Slots:   12,
		Parent:  cyclam.InstanceName(fmt.Sprintf("upstream-%05d", i/16)),
	}
}

func object(kind cyclam.Kind, name, spec string) cyclam.Object {
	return cyclam.Object{
		Kind: kind,
		Name: name,
		Spec: json.RawMessage(spec),
	}
}

// newConfigSet returns a set with a service, a route and a placement rule for each
// service.
func newConfigSet(services int) conf.Set {
	set := conf.NewSet()
	for i := range services {
		name := fmt.Sprintf("service-%04d", i)
		for _, o := range []cyclam.Object{
			object(cyclam.KindService, name, `{"timeout":"2s"}`),
			object(cyclam.KindRoute, name, fmt.Sprintf(`{"path-prefix":"/%s","service":%q}`, name, name)),
			object(cyclam.KindPlacementRule, name, fmt.Sprintf(`{"service":%q,"regions":["region-0","region-1"]}`, name)),
		} {
			resource, problems := conf.Parse(o)
			if len(problems) > 0 {
				panic(problems[0].String())
			}
			set = set.With(resource)
		}
	}
	return set
}

// newFleetState returns the state of a node that knows the whole fleet and has a
// configuration in force.
func newFleetState(upstreams, services int) State {
	tuning := Tuning{
		Tree: tree.Tuning{
			FanOut:            16,
			Flush:             20 * time.Millisecond,
			HeartbeatInterval: 500 * time.Millisecond,
			LinkTimeout:       time.Hour,
			Term:              time.Hour,
		},
		Admit: admit.Tuning{
			Slots:      12,
			Queue:      24,
			QueueWait:  time.Second,
			AttemptTTL: time.Minute,
			KeyTTL:     time.Minute,
		},
		Egress: egress.Tuning{
			MaxSends:   3,
			RetryShare: 0.1,
			RetryBurst: 10,
		},
	}
	s := New(endpoint(0, services), tuning, start)
	for i := 1; i < upstreams; i++ {
		s.Tree.Roster, _ = s.Tree.Roster.With(start, endpoint(i, services))
	}
	set := newConfigSet(services)
	held, err := conf.NewState().WithSnapshot(cyclam.Snapshot{
		Version:   1,
		Resources: set.Resources(),
		Result:    set.Digest(),
	})
	if err != nil {
		panic(err)
	}
	s.Tree, _ = s.Tree.Adopt(held)
	s, _ = Reduce(s, cyclam.VersionRead{
		Stamp: cyclam.Stamp{
			Now: start,
		},
		Version: 1,
	})
	return s
}

// benchEachSize runs a benchmark on each fleet size.
func benchEachSize(b *testing.B, run func(b *testing.B, s State, upstreams, services int)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", size[0]), func(b *testing.B) {
			s := newFleetState(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, size[0], size[1])
		})
	}
}

// BenchmarkCall measures a call from its arrival to its reply, with one attempt.
func BenchmarkCall(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s State, _, services int) {
		now := cyclam.Stamp{
			Now: start,
		}
		for i := range b.N {
			id := cyclam.CallID(i + 1)
			var effects []cyclam.Effect
			s, effects = Reduce(s, cyclam.CallArrived{
				Stamp:  now,
				Call:   id,
				Method: "GET",
				Path:   fmt.Sprintf("/service-%04d/x", i%services),
			})
			sent, ok := effects[0].(cyclam.SendAttempt)
			if ok {
				s, _ = Reduce(s, cyclam.AttemptEnded{
					Stamp:   now,
					Call:    id,
					Attempt: sent.Attempt,
					Completion: cyclam.Completion{
						Outcome: cyclam.OutcomeDone,
					},
					Explicit: true,
				})
			}
		}
	})
}

// BenchmarkWork measures an attempt at the upstream's node, from arrival to end.
func BenchmarkWork(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s State, _, _ int) {
		now := cyclam.Stamp{
			Now: start,
		}
		self := s.Tree.Self
		for i := range b.N {
			id := cyclam.AttemptID{
				Sender: cyclam.Identity{
					Instance:    "caller",
					Incarnation: 1,
				},
				Number: uint64(i + 1),
			}
			s, _ = Reduce(s, cyclam.WorkArrived{
				Stamp:    now,
				Attempt:  id,
				Target:   self.Identity,
				Service:  self.Service,
				Deadline: start.Add(time.Hour),
			})
			s, _ = Reduce(s, cyclam.WorkEnded{
				Stamp:   now,
				Attempt: id,
				Completion: cyclam.Completion{
					Outcome: cyclam.OutcomeDone,
				},
			})
			if i%5000 == 4999 {
				s.Admit, _ = s.Admit.Tick(start.Add(time.Duration(i) * time.Hour))
			}
		}
	})
}

// BenchmarkNews measures recording one endpoint announcement in the roster.
func BenchmarkNews(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s State, upstreams, services int) {
		now := cyclam.Stamp{
			Now: start,
		}
		s, _ = Reduce(s, cyclam.LinkAccepted{
			Stamp: now,
			Link:  1,
		})
		s, _ = Reduce(s, cyclam.LinkReceived{
			Stamp: now,
			Link:  1,
			Messages: []cyclam.Message{cyclam.Hello{
				Self:    endpoint(1, services),
				Version: 1,
			}},
		})
		for i := range b.N {
			e := endpoint(1+i%(upstreams-1), services)
			e.Sequence = uint64(i + 2)
			s.Tree.Roster, _ = s.Tree.Roster.With(start, e)
		}
	})
}

// BenchmarkTick measures a tick with no work due.
func BenchmarkTick(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s State, _, _ int) {
		for i := range b.N {
			s, _ = Reduce(s, cyclam.Tick{
				Stamp: cyclam.Stamp{
					Now: start.Add(time.Duration(i) * 20 * time.Millisecond),
				},
			})
		}
	})
}

// BenchmarkDelta measures applying one configuration change.
func BenchmarkDelta(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s State, _, services int) {
		held := s.Tree.Conf
		for i := range b.N {
			name := fmt.Sprintf("service-%04d", i%services)
			resource, _ := conf.Parse(object(cyclam.KindRoute, name, fmt.Sprintf(`{"path-prefix":"/%s","service":%q,"timeout":"%dms"}`, name, name, i+1)))
			set := held.Set.With(resource)
			next, err := held.WithDelta(cyclam.Delta{
				From:    held.Version,
				To:      held.Version + 1,
				Upserts: []cyclam.Resource{resource},
				Result:  set.Digest(),
			})
			if err != nil {
				b.Fatal(err)
			}
			held = next
		}
	})
}

// BenchmarkState reports the heap bytes that one node's state takes.
func BenchmarkState(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", size[0]), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newFleetState(size[0], size[1])
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}
