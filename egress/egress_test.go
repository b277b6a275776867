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

var locality = cyclam.Locality{
	Region:     "north",
	DataCentre: "north-a",
}

// fixture returns a state and a view with the given upstreams of one service.
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
			Locality: locality,
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
	}, locality, tuning), v
}

// runCall sends one call and ends its first attempt with a completion. It returns
// the endpoint selected and the resulting effects.
func runCall(s State, v View, at time.Duration, method string, completion cyclam.Completion) (State, cyclam.InstanceName, []cyclam.Effect) {
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
		Completion: completion,
		Explicit:   true,
	})
	return s, sent.Endpoint.Instance, effects
}

// TestDrainingUpstreamIsLeftAlone guards against sending calls again and again to a
// draining upstream whose announcement has not arrived. A draining process never takes
// calls again, so its own refusal is enough to avoid it.
func TestDrainingUpstreamIsLeftAlone(t *testing.T) {
	s, v := fixture(t, "a", "b")
	draining := cyclam.Refused(cyclam.ReasonDraining, 100*time.Millisecond)
	s, drained, _ := runCall(s, v, 0, "POST", draining)
	for i := range 20 {
		at := 5*time.Second + time.Duration(i)*time.Millisecond
		var picked cyclam.InstanceName
		if s, picked, _ = runCall(s, v, at, "POST", cyclam.Completion{
			Outcome: cyclam.OutcomeDone,
		}); picked == drained {
			t.Fatalf("got a call sent to %s after %s, want it avoided", picked, at)
		}
	}
}

// TestRetryBudget guards against retry storms: when all idempotent calls fail,
// retries stop as soon as the budget is spent and calls finish at once.
func TestRetryBudget(t *testing.T) {
	s, v := fixture(t, "a", "b", "c")
	retries := 0
	for i := range 10 {
		lost := cyclam.Completion{
			Outcome: cyclam.OutcomeUnknown,
			Reason:  cyclam.ReasonAnswerLost,
		}
		var effects []cyclam.Effect
		s, _, effects = runCall(s, v, time.Duration(i)*time.Minute, "GET", lost)
		if _, retried := effects[0].(cyclam.SendAttempt); retried {
			retries++
		}
	}
	if got, want := retries, 2; got != want {
		t.Errorf("got %d retries, want the budget of %d", got, want)
	}
}

// TestUnknownOutcomeIsNotRetried guards against running a non-idempotent call twice
// after its answer was lost.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	s, v := fixture(t, "a", "b")
	_, _, effects := runCall(s, v, 0, "POST", cyclam.Completion{
		Outcome: cyclam.OutcomeUnknown,
		Reason:  cyclam.ReasonAnswerLost,
	})
	end, ok := effects[0].(cyclam.FinishCall)
	if !ok || end.Completion.Outcome != cyclam.OutcomeUnknown {
		t.Errorf("got %v, want the call finished as unknown", effects)
	}
}

// TestAllOverloaded checks that a call is refused at once with a retry-after time if
// all upstreams are overloaded.
func TestAllOverloaded(t *testing.T) {
	s, v := fixture(t, "a")
	s, _, _ = runCall(s, v, 0, "GET", cyclam.Refused(cyclam.ReasonOverloaded, 400*time.Millisecond))
	_, picked, effects := runCall(s, v, time.Millisecond, "GET", cyclam.Completion{})
	end, ok := effects[0].(cyclam.FinishCall)
	if picked != "" || !ok || end.Completion.Reason != cyclam.ReasonOverloaded || end.Completion.RetryAfter != 399*time.Millisecond {
		t.Errorf("got %v, want it refused as overloaded, with a retry-after time of 399ms", effects)
	}
}
