package egress

import (
	"encoding/json"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var here = cyclam.Locality{
	Region:     "north",
	DataCentre: "north-a",
}

// fixture returns a sender and a view with some upstreams of one service.
func fixture(t *testing.T, upstreams ...string) (State, View) {
	t.Helper()
	set := conf.NewSet()
	for kind, spec := range map[cyclam.Kind]string{
		cyclam.KindService: `{}`,
		cyclam.KindRoute:   `{"path-prefix":"/cuts","service":"cutorder"}`,
	} {
		resource, problems := conf.Parse(cyclam.Object{
			Kind: kind,
			Name: "cutorder",
			Spec: json.RawMessage(spec),
		})
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		set = set.With(resource)
	}
	v := View{
		Conf: conf.State{
			Version: 1,
			Set:     set,
		},
		Roster: roster.New(),
	}
	for _, name := range upstreams {
		v.Roster, _ = v.Roster.With(start, cyclam.Endpoint{
			Identity: cyclam.Identity{
				Instance:    cyclam.InstanceName(name),
				Incarnation: 1,
			},
			Sequence: 1,
			State:    cyclam.EndpointReady,
			Service:  "cutorder",
			Locality: here,
		})
	}
	tuning := Tuning{
		MaxSends:   3,
		RetryShare: 0.1,
		RetryBurst: 2,
		EjectBase:  time.Second,
		EjectMax:   30 * time.Second,
		ShedMax:    time.Second,
	}
	return New(cyclam.Identity{
		Instance:    "me",
		Incarnation: 1,
	}, here, tuning), v
}

// once sends one call and lets its first attempt end with a verdict; it returns
// where it went and what came of it.
func once(s State, v View, at time.Duration, method string, verdict cyclam.Completion) (State, cyclam.InstanceName, []cyclam.Effect) {
	now := cyclam.Stamp{
		Now: start.Add(at),
	}
	s, effects := s.Arrived(v, cyclam.CallArrived{
		Stamp:  now,
		Call:   cyclam.CallID(at + 1),
		Method: method,
		Path:   "/cuts",
	})
	sent, ok := effects[0].(cyclam.SendAttempt)
	if !ok {
		return s, "", effects
	}
	s, effects = s.Ended(v, cyclam.AttemptEnded{
		Stamp:      now,
		Call:       sent.Call,
		Attempt:    sent.Attempt,
		Completion: verdict,
		Explicit:   true,
	})
	return s, sent.Endpoint.Instance, effects
}

// TestDrainingUpstreamIsLeftAlone covers a leaving upstream whose announcement
// has not come: its own word is enough, for as long as that process lives.
func TestDrainingUpstreamIsLeftAlone(t *testing.T) {
	s, v := fixture(t, "a", "b")
	draining := cyclam.Refused(cyclam.ReasonDraining, 100*time.Millisecond)
	s, left, _ := once(s, v, 0, "POST", draining)
	for i := range 20 {
		at := 5*time.Second + time.Duration(i)*time.Millisecond
		var went cyclam.InstanceName
		if s, went, _ = once(s, v, at, "POST", cyclam.Completion{
			Outcome: cyclam.OutcomeDone,
		}); went == left {
			t.Fatalf("got a call sent to %s after %s, want it left alone", went, at)
		}
	}
}

// TestRetryBudget covers idempotent calls that all fail: retries end when the
// budget is spent, and the call is answered at once.
func TestRetryBudget(t *testing.T) {
	s, v := fixture(t, "a", "b", "c")
	retries := 0
	for i := range 10 {
		lost := cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}
		var effects []cyclam.Effect
		s, _, effects = once(s, v, time.Duration(i)*time.Minute, "GET", lost)
		if _, again := effects[0].(cyclam.SendAttempt); again {
			retries++
		}
	}
	if got, want := retries, 2; got != want {
		t.Errorf("got %d retries, want the %d saved up", got, want)
	}
}

// TestUnknownIsNeverRepeated covers a call that may have run.
func TestUnknownIsNeverRepeated(t *testing.T) {
	s, v := fixture(t, "a", "b")
	_, _, effects := once(s, v, 0, "POST", cyclam.Completion{
		Outcome: cyclam.OutcomeUnknown,
		Reason:  cyclam.ReasonAnswerLost,
	})
	end, ok := effects[0].(cyclam.FinishCall)
	if !ok || end.Completion.Outcome != cyclam.OutcomeUnknown {
		t.Errorf("got %v, want the call ended as unknown", effects)
	}
}

// TestAllOverloaded covers a call that nobody takes: it is refused at once with
// a time to come back.
func TestAllOverloaded(t *testing.T) {
	s, v := fixture(t, "a")
	s, _, _ = once(s, v, 0, "GET", cyclam.Refused(cyclam.ReasonOverloaded, 400*time.Millisecond))
	_, went, effects := once(s, v, time.Millisecond, "GET", cyclam.Completion{})
	end, ok := effects[0].(cyclam.FinishCall)
	if went != "" || !ok || end.Completion.Reason != cyclam.ReasonOverloaded || end.Completion.RetryAfter != 399*time.Millisecond {
		t.Errorf("got %v, want it shed for 399ms", effects)
	}
}
