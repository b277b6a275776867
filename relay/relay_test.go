package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
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

func TestNoConfiguration(t *testing.T) {
	s := &site{
		t:        t,
		platform: newMemory(),
	}
	n := s.start("front", nil, nil)
	s.until("it listens", func() bool {
		_, _, _, err := s.ask(t.Context(), n, http.MethodGet, "/read/x", time.Second)
		return err == nil
	})
	s.want(n, http.MethodGet, "/read/x", http.StatusServiceUnavailable)
	if n.Ready() {
		t.Error("ready without a configuration: got true, want false")
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	s.platform.apply(t, testConfig(9))
	s.until("version 9 is in force", func() bool { return n.version() == 9 })
	s.platform.apply(t, testConfig(4))
	s.platform.apply(t, testConfig(12))
	s.until("version 12 is in force", func() bool { return n.version() == 12 })
	n.configure([]byte(`{"Version":11}`), "test")
	n.configure([]byte(`{"Version":`), "test")
	if got, want := n.version(), cyclam.Version(12); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// A watch that has gone deaf is replaced once another node shows a newer version.
func TestDeafWatch(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	s.platform.deaf.Store(true)
	s.platform.apply(t, testConfig(5))
	// Several hints come while older versions are still on their way.
	n.noteVersion(2)
	<-time.After(50 * time.Millisecond)
	n.noteVersion(5)
	began := time.Now()
	s.until("version 5 is in force", func() bool { return n.version() == 5 })
	if got, want := time.Since(began), 2*time.Second; got > want {
		t.Errorf("in force after %v, want at most %v", got, want)
	}
}

// While the store is away, what is known stays in force.
func TestStoreAway(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	s.platform.down.Store(true)
	for range 5 {
		s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	}
	s.platform.down.Store(false)
	s.platform.apply(t, testConfig(3))
	s.until("version 3 is in force", func() bool { return front.version() == 3 })
}

func TestPlannedStop(t *testing.T) {
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

// A node that starts while the store is away learns everything from the others:
// they know it by its address, and its answers tell that it is a new process.
func TestRestartWhileStoreIsAway(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	front := s.start("front", nil, nil)
	first, stop := s.launch("door", u, nil)
	s.settle(first, front)
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	s.platform.down.Store(true)
	address, callers := first.Settings.Self.Control, first.Settings.Callers
	stop()
	again := s.node("door", u, nil)
	again.Settings.Self.Control, again.Settings.Callers = address, callers
	s.run(again)
	s.until("requests reach the new process", func() bool {
		status, _, _, err := s.ask(t.Context(), front, http.MethodPost, "/book/x", time.Second)
		return err == nil && status == http.StatusOK
	})
	s.until("the new process knows the fleet and the configuration", again.Ready)
	s.want(again, http.MethodGet, "/read/x", http.StatusOK)
}

// Requests that come before a starting node has read its configuration wait for
// it, but not for long.
func TestStartHoldsRequests(t *testing.T) {
	s := &site{
		t:        t,
		platform: newMemory(),
	}
	u := newUpstream(t, "u1")
	n := s.start("door", u, nil)
	s.until("it listens", n.up.Load)
	go func() {
		<-time.After(50 * time.Millisecond)
		s.platform.apply(t, testConfig(1))
	}()
	status, _, _, err := s.ask(t.Context(), n, http.MethodGet, "/nowhere/", 2*time.Second)
	if err != nil || status != http.StatusNotFound {
		t.Errorf("got %d, %v, want an answer by the configuration that came", status, err)
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
	<-time.After(workTime)
	before := u.runs.Load()
	s.want(front, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
	if got := u.runs.Load() - before; got != 0 {
		t.Errorf("runs of what was refused: got %d, want 0", got)
	}
}

// The entry of a node that is gone for good is deleted; one that lives and was
// only out of reach writes its entry again.
func TestLostNodeIsForgotten(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	w := &wires{}
	front := s.node("front", nil, w)
	front.Settings.ForgetAfter = 300 * time.Millisecond
	s.run(front)
	door, stop := s.launch("door", u, nil)
	s.settle(door, front)
	key := cyclam.Key{
		Kind: cyclam.KindEndpoint,
		Name: "door",
	}
	ask := func() {
		_, _, _, _ = s.ask(t.Context(), front, http.MethodPost, "/book/x", 200*time.Millisecond)
	}
	w.refuse.Store(true)
	w.cut()
	before, err := s.platform.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	s.until("the living node has written its entry again", func() bool {
		ask()
		after, err := s.platform.Get(t.Context(), key)
		return err == nil && after.Revision > before.Revision
	})
	stop()
	s.until("the entry of the dead node is gone", func() bool {
		ask()
		_, err := s.platform.Get(t.Context(), key)
		return errors.Is(err, cyclam.ErrNotFound)
	})
}

// Changed limits are taken over while the node runs.
func TestAdjust(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	changed := n.Settings
	changed.Drain, changed.Grace = 70*time.Millisecond, 4*time.Second
	changed.Budget.Ratio = 0.05
	n.Adjust(changed)
	n.doorMu.Lock()
	defer n.doorMu.Unlock()
	if got, want := n.door.Tuning.Drain, changed.Drain; got != want {
		t.Errorf("drain: got %v, want %v", got, want)
	}
	if got, want := time.Duration(n.grace.Load()), changed.Grace; got != want {
		t.Errorf("grace: got %v, want %v", got, want)
	}
	if got, want := n.budgetOf("stock").Tuning.Ratio, 0.05; got != want {
		t.Errorf("ratio: got %v, want %v", got, want)
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
