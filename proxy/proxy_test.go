package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestServedThroughAnotherNode(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	for _, n := range []*Node{front, door} {
		body := s.want(n, http.MethodGet, "/read/a%2Fb?x=1", http.StatusOK)
		if !strings.HasSuffix(body, " at /read/a%2Fb?x=1") {
			t.Errorf("got %q, want the answer to the unchanged path", body)
		}
	}
	s.want(front, http.MethodGet, "/nowhere/", http.StatusNotFound)
}

func TestCallerService(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("X-Caller")) }
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	if got, want := s.want(front, http.MethodGet, "/read/x", http.StatusOK), "other"; got != want {
		t.Errorf("caller's service: got %q, want %q", got, want)
	}
}

// The connection between two nodes breaks while the upstream works: the answer
// is fetched over a new one, and nothing runs twice.
func TestAnswerSurvivesCut(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = takes(300 * time.Millisecond)
	w := &wires{}
	door, front := s.start("door", u, nil), s.start("front", nil, w)
	s.settle(door, front)
	go func() {
		s.until("the upstream works", func() bool { return u.runs.Load() == 1 })
		w.cut()
	}()
	if got, want := s.want(front, http.MethodPost, "/book/x", http.StatusOK), "worked"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := u.runs.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A kept connection is dead but nobody says so: the offer is lost, its attempt
// is fenced over a new connection, and the request runs once.
func TestSilentConnection(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	w := &wires{}
	door, front := s.start("door", u, nil), s.start("front", nil, w)
	s.settle(door, front)
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	w.mute()
	status, body, header, err := s.ask(t.Context(), front, http.MethodPost, "/book/x", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	// With one upstream only, the fenced attempt can't go anywhere else at once.
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d %q, want 503 with a time to come back", status, body)
	}
	if got, want := u.runs.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d: what was called not run must not run", got, want)
	}
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
}

func TestSilentConnectionOtherUpstream(t *testing.T) {
	s := newSite(t)
	a, b := newUpstream(t, "a"), newUpstream(t, "b")
	w := &wires{}
	doorA, doorB := s.start("door-a", a, nil), s.start("door-b", b, nil)
	front := s.start("front", nil, w)
	s.settle(doorA, doorB, front)
	for range 8 {
		s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	}
	w.mute()
	before := a.runs.Load() + b.runs.Load()
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	if got, want := a.runs.Load()+b.runs.Load()-before, int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestCallerLeaves(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = takes(5 * time.Second)
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		s.until("the upstream works", func() bool { return u.runs.Load() == 1 })
		cancel()
	}()
	if _, _, _, err := s.ask(ctx, front, http.MethodGet, "/read/x", 3*time.Second); err == nil {
		t.Error("got an answer, want none")
	}
	left := time.Now()
	s.until("the upstream is told", func() bool { return u.gone.Load() == 1 })
	if got, want := time.Since(left), 500*time.Millisecond; got > want {
		t.Errorf("work went on for %v after the caller left, want at most %v", got, want)
	}
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = takes(1500 * time.Millisecond)
	door := s.start("door", u, nil)
	s.settle(door)
	type end struct {
		status int
		took   time.Duration
		after  string
	}
	ends := make(chan end, 30)
	for range cap(ends) {
		go func() {
			began := time.Now()
			status, _, header, err := s.ask(t.Context(), door, http.MethodPost, "/book/x", 2*time.Second)
			if err != nil {
				status = 0
			}
			ends <- end{
				status: status,
				took:   time.Since(began),
				after:  header.Get("Retry-After"),
			}
		}()
	}
	refused := 0
	for range cap(ends) {
		e := <-ends
		if e.status == http.StatusServiceUnavailable {
			refused++
			seconds, err := strconv.ParseFloat(e.after, 64)
			if err != nil || seconds <= 0 {
				t.Errorf("Retry-After: got %q, want seconds", e.after)
			}
		}
	}
	if refused < 10 {
		t.Errorf("refused: got %d of 30 with two slots, want most", refused)
	}
	s.until("nothing runs", func() bool { return u.ended.Load() == u.runs.Load() })
	if got, want := int(u.runs.Load())+refused, 30; got > want {
		t.Errorf("runs and refusals: got %d, want at most %d: a refused request has run", got, want)
	}
}

func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 50 {
		d := spread(100 * time.Millisecond)
		if d < 100*time.Millisecond || d > 150*time.Millisecond {
			t.Errorf("got %v, want 100 to 150 ms", d)
		}
		seen[d] = true
	}
	if got, want := len(seen), 25; got < want {
		t.Errorf("different times: got %d of 50, want at least %d", got, want)
	}
}
