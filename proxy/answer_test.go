package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A truncated answer never looks complete; what may be repeated is repeated.
func TestTruncatedAnswer(t *testing.T) {
	s := newSite(t)
	bad, good := newUpstream(t, "bad"), newUpstream(t, "good")
	bad.work = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "only a part")
		panic(http.ErrAbortHandler)
	}
	doorA, doorB := s.start("door-a", bad, nil), s.start("door-b", good, nil)
	front := s.start("front", nil, nil)
	s.settle(doorA, doorB, front)
	for range 10 {
		body := s.want(front, http.MethodGet, "/read/x", http.StatusOK)
		if !strings.HasPrefix(body, "answer to") {
			t.Errorf("got %q, want the good upstream's answer", body)
		}
	}
	for range 10 {
		before := bad.runs.Load()
		status, _, _, err := s.ask(t.Context(), front, http.MethodPost, "/book/x", 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		failed := bad.runs.Load() > before
		if failed && status != http.StatusBadGateway {
			t.Errorf("a run whose answer was cut: got %d, want 502", status)
		}
	}
}

// A success without the upstream's signature is nobody's answer.
func TestUnsignedSuccess(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Signed")
		_, _ = io.WriteString(w, "rubbish")
	}
	door := s.start("door", u, nil)
	s.settle(door)
	s.want(door, http.MethodPost, "/book/x", http.StatusBadGateway)
}

func TestLargeAnswerIsWhole(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	want := strings.Repeat("0123456789", 500_000)
	u.work = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, want) }
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	if got := s.want(front, http.MethodGet, "/load/x", http.StatusOK); got != want {
		t.Errorf("got %d bytes, want the %d that were sent", len(got), len(want))
	}
}

// An answer that breaks off after its first megabyte must not look complete.
func TestLargeAnswerCut(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	u.work = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(8<<20))
		_, _ = io.WriteString(w, strings.Repeat("x", 3<<20))
		panic(http.ErrAbortHandler)
	}
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	status, body, _, err := s.ask(t.Context(), front, http.MethodGet, "/load/x", 3*time.Second)
	if err == nil && status == http.StatusOK {
		t.Errorf("got a complete answer of %d bytes, want a broken connection or a failure", len(body))
	}
}

func TestHeaderAndBodyLimits(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door := s.start("door", u, nil)
	s.settle(door)
	send := func(change func(*http.Request)) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+door.Settings.Callers+"/book/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "mesh.example"
		change(req)
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	if got, want := send(func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 10<<10)) }), http.StatusRequestHeaderFieldsTooLarge; got != want {
		t.Errorf("long header: got %d, want %d", got, want)
	}
	if got, want := send(func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
		r.ContentLength = 2 << 20
	}), http.StatusRequestEntityTooLarge; got != want {
		t.Errorf("long body: got %d, want %d", got, want)
	}
	if got := u.runs.Load(); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}
