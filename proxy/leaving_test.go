package proxy

import (
	"net/http"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// An upstream that says in an answer that it leaves must get nothing once the drain period
// has passed, whatever it reports otherwise.
func TestAnswerSaysLeaving(t *testing.T) {
	s := newTestCluster(t)
	a, b := newUpstream(t, "a"), newUpstream(t, "b")
	backendA, backendB := s.start("door-a", a, nil), s.start("door-b", b, nil)
	s.awaitReady(backendA, backendB)
	a.leaving.Store(true)
	s.waitFor("an answer says so", func() bool {
		s.want(backendA, http.MethodPost, "/book/x", http.StatusOK)
		return a.runs.Load() > 0
	})
	sleep(t.Context(), backendA.Settings.Drain)
	if err := backendA.Announce(cyclam.UpstreamStatus{
		ID:        "a",
		StartedAt: time.UnixMilli(1),
		Sequence:  1,
		Service:   "stock",
		Address:   backendA.Settings.Upstream,
		Slots:     2,
	}); err != nil {
		t.Fatal(err)
	}
	before := a.runs.Load()
	for range 10 {
		s.want(backendA, http.MethodPost, "/book/x", http.StatusOK)
		s.want(backendB, http.MethodPost, "/book/x", http.StatusOK)
	}
	if got := a.runs.Load() - before; got != 0 {
		t.Errorf("runs after the drain period: got %d, want 0", got)
	}
}

// A new process of the upstream must be used, though it has taken over the id of one that
// had left.
func TestRestartedUpstreamHasNotLeft(t *testing.T) {
	s := newTestCluster(t)
	u := newUpstream(t, "u1")
	backend, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.awaitReady(backend, front)
	announce := func(born int64) {
		t.Helper()
		if err := backend.Announce(cyclam.UpstreamStatus{
			ID:        "u1",
			StartedAt: time.UnixMilli(born),
			Sequence:  1,
			Service:   "stock",
			Address:   backend.Settings.Upstream,
			Slots:     2,
		}); err != nil {
			t.Fatal(err)
		}
	}
	announce(1)
	u.leaving.Store(true)
	u.nameLimit("0")
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	s.want(front, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
	u.leaving.Store(false)
	u.nameLimit("")
	announce(2)
	for range 5 {
		s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	}
}

// A node that starts beside an upstream with a limit must keep it from the first request
// on if the health check tells it.
func TestHealthCheckTellsRateLimit(t *testing.T) {
	s := newTestCluster(t)
	u, got := limitedUpstream(t, "u1")
	u.nameLimit("0")
	backend := s.start("door", u, nil)
	s.awaitReady(backend)
	for range 5 {
		s.want(backend, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
	}
	if got := got.since(time.Time{}); got != 0 {
		t.Errorf("requests: got %d, want 0", got)
	}
}
