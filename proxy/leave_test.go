package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func TestLeavingUpstream(t *testing.T) {
	s := newSite(t)
	a, b := newUpstream(t, "a"), newUpstream(t, "b")
	doorA, doorB := s.start("door-a", a, nil), s.start("door-b", b, nil)
	s.settle(doorA, doorB)
	s.until("the upstream is known", func() bool { return doorA.upstreamID() == "a" })
	if err := doorA.Withdraw("a", time.Time{}); err != nil {
		t.Fatal(err)
	}
	<-time.After(doorA.Settings.Drain)
	before := a.runs.Load()
	for range 10 {
		s.want(doorA, http.MethodPost, "/book/x", http.StatusOK)
		s.want(doorB, http.MethodPost, "/book/x", http.StatusOK)
	}
	if got := a.runs.Load() - before; got != 0 {
		t.Errorf("runs after it left: got %d, want 0", got)
	}
}

// An upstream's leaving binds the node's next process too.
func TestLeavingSurvivesRestart(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door := s.start("door", u, nil)
	s.settle(door)
	s.until("the upstream is known", func() bool { return door.upstreamID() == "u1" })
	if err := door.Withdraw("u1", time.Time{}); err != nil {
		t.Fatal(err)
	}
	s.until("the store knows", func() bool {
		o, err := s.platform.Get(t.Context(), cyclam.Key{
			Kind: cyclam.KindEndpoint,
			Name: "door",
		})
		return err == nil && strings.Contains(string(o.Spec), `"leaving":true`)
	})
	again := s.start("door", u, nil)
	s.until("the new process is ready", func() bool { return again.Ready() })
	<-time.After(door.Settings.Drain + 100*time.Millisecond)
	before := u.runs.Load()
	status, _, _, err := s.ask(t.Context(), again, http.MethodPost, "/book/x", time.Second)
	if err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("got %d, %v, want 503", status, err)
	}
	if got := u.runs.Load() - before; got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

func TestReplacedUpstream(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door := s.start("door", u, nil)
	s.settle(door)
	s.until("the upstream is known", func() bool { return door.upstreamID() == "u1" })
	u.id = "u2"
	s.want(door, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
	if got := u.runs.Load(); got != 0 {
		t.Errorf("runs at another upstream: got %d, want 0", got)
	}
	s.until("the new one is known", func() bool { return door.upstreamID() == "u2" })
	s.want(door, http.MethodPost, "/book/x", http.StatusOK)
}

func TestStopEndsWhatRuns(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = takes(time.Second)
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	answers := make(chan int, 2)
	for _, n := range []*Node{door, front} {
		go func() {
			status, _, _, err := s.ask(t.Context(), n, http.MethodPost, "/book/x", 2*time.Second)
			if err != nil {
				status = 0
			}
			answers <- status
		}()
	}
	s.until("both work", func() bool { return u.runs.Load() == 2 })
	began := time.Now()
	door.Stop(t.Context())
	for range 2 {
		if got, want := <-answers, http.StatusOK; got != want {
			t.Errorf("a request in flight at the stop: got %d, want %d", got, want)
		}
	}
	if got, want := time.Since(began), door.Settings.Grace; got > want {
		t.Errorf("stop took %v, want less than %v", got, want)
	}
	if door.Ready() {
		t.Error("ready after the stop: got true, want false")
	}
}

// A stopping node takes work for a moment, then refuses it as not run.
func TestStopTakesWorkForAMoment(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	go door.Stop(t.Context())
	s.until("it stops", door.stopping.Load)
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	<-time.After(peerGrace)
	before := u.runs.Load()
	s.want(front, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
	if got := u.runs.Load() - before; got != 0 {
		t.Errorf("runs of what was refused: got %d, want 0", got)
	}
}
