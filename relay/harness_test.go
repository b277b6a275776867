package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// testDialect uses header names of its own.
type testDialect struct{}

func (testDialect) Call(h http.Header) cyclam.CallMeta {
	wait, _ := time.ParseDuration(h.Get("X-Wait"))
	return cyclam.CallMeta{
		ID:        h.Get("X-Id"),
		Parent:    h.Get("X-Parent"),
		Remaining: wait,
	}
}

func (testDialect) Stamp(h http.Header, meta cyclam.AttemptMeta) {
	h.Set("X-Id", meta.ID)
	h.Set("X-Wait", meta.Remaining.String())
	h.Set("X-Target", meta.Target)
	h.Set("X-Caller", string(meta.Caller))
}

func (testDialect) Answer(status int, h http.Header) cyclam.AnswerMeta {
	return cyclam.AnswerMeta{
		ID:          h.Get("X-Id"),
		Signed:      h.Get("X-Signed") != "",
		NotRun:      h.Get("X-Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (testDialect) Instance(h http.Header) string { return h.Get("X-Instance") }

func (testDialect) ConfigKey() cyclam.Key {
	return cyclam.Key{
		Kind: "test-config",
		Name: "main",
	}
}

func (testDialect) Config(spec json.RawMessage) (cyclam.Config, error) {
	var c cyclam.Config
	err := json.Unmarshal(spec, &c)
	return c, errors.Wrap(err, "decode test configuration")
}

// memory is a platform in memory.
type memory struct {
	mu       sync.Mutex
	objects  map[cyclam.Key]cyclam.Object
	events   []cyclam.ObjectEvent
	revision uint64
	wake     chan struct{}
	// down refuses every call; deaf lets watches hear nothing.
	down atomic.Bool
	deaf atomic.Bool
}

func newMemory() *memory {
	return &memory{
		objects:  map[cyclam.Key]cyclam.Object{},
		revision: 1,
		wake:     make(chan struct{}),
	}
}

func (m *memory) fault() error {
	if m.down.Load() {
		return cyclam.ErrUnavailable
	}
	return nil
}

func (m *memory) Get(_ context.Context, key cyclam.Key) (cyclam.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(); err != nil {
		return cyclam.Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return o, cyclam.ErrNotFound
	}
	return o, nil
}

func (m *memory) List(_ context.Context, kinds ...cyclam.Kind) (cyclam.ObjectList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := cyclam.ObjectList{
		Revision: m.revision,
	}
	for key, o := range m.objects {
		if key.Kind == kinds[0] {
			list.Objects = append(list.Objects, o)
		}
	}
	return list, m.fault()
}

func (m *memory) Put(_ context.Context, o cyclam.Object) (cyclam.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fault(); err != nil {
		return o, err
	}
	if held := m.objects[o.Key()]; held.Revision != o.Revision {
		return held, cyclam.ErrConflict
	}
	m.revision++
	o.Revision = m.revision
	m.objects[o.Key()] = o
	m.note(cyclam.ObjectEvent{
		Object: o,
	})
	return o, nil
}

func (m *memory) note(e cyclam.ObjectEvent) {
	m.events = append(m.events, e)
	close(m.wake)
	m.wake = make(chan struct{})
}

func (m *memory) Delete(_ context.Context, key cyclam.Key, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[key]
	delete(m.objects, key)
	m.revision++
	o.Revision = m.revision
	m.note(cyclam.ObjectEvent{
		Object:  o,
		Deleted: true,
	})
	return m.fault()
}

func (m *memory) Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...cyclam.Kind) (cyclam.ObjectChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		m.mu.Lock()
		if err := m.fault(); err != nil {
			m.mu.Unlock()
			return cyclam.ObjectChanges{}, err
		}
		changes := cyclam.ObjectChanges{
			Revision: m.revision,
		}
		for _, e := range m.events {
			if e.Object.Revision > from && e.Object.Kind == kinds[0] {
				changes.Events = append(changes.Events, e)
			}
		}
		wake := m.wake
		m.mu.Unlock()
		if len(changes.Events) > 0 && !m.deaf.Load() {
			return changes, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return changes, errors.Wrap(cyclam.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// apply writes a configuration.
func (m *memory) apply(t testing.TB, c cyclam.Config) {
	t.Helper()
	spec, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	key := testDialect{}.ConfigKey()
	m.mu.Lock()
	revision := m.objects[key].Revision
	m.mu.Unlock()
	if _, err := m.Put(t.Context(), cyclam.Object{
		Kind:     key.Kind,
		Name:     key.Name,
		Revision: revision,
		Spec:     spec,
	}); err != nil {
		t.Fatal(err)
	}
}

// upstream is a small stand-in of an upstream.
type upstream struct {
	*httptest.Server

	id string
	// work answers a request; nil answers at once.
	work  func(w http.ResponseWriter, r *http.Request)
	runs  atomic.Int64
	ended atomic.Int64
	gone  atomic.Int64
}

func newUpstream(t testing.TB, id string) *upstream {
	u := &upstream{
		id: id,
	}
	u.Server = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(u.Close)
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance", u.id)
	if r.URL.Path == "/health" {
		return
	}
	if target := r.Header.Get("X-Target"); target != "" && target != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.runs.Add(1)
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	if u.work != nil {
		u.work(w, r)
	} else {
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Id")+" at "+r.RequestURI)
	}
	if r.Context().Err() != nil {
		u.gone.Add(1)
	}
	u.ended.Add(1)
}

// takes returns work that takes some time, unless the connection closes.
func takes(d time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(d):
			_, _ = io.WriteString(w, "worked")
		case <-r.Context().Done():
		}
	}
}

// wires connects nodes and can cut all connections between them.
type wires struct {
	mu    sync.Mutex
	conns []net.Conn
	// refuse makes new connections fail; silent swallows what is written.
	refuse atomic.Bool
	silent atomic.Bool
}

type silentConn struct {
	net.Conn

	wires *wires
	mute  atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (w *wires) dial(ctx context.Context, address string) (net.Conn, error) {
	if w.refuse.Load() {
		return nil, errors.New("refused by the test")
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &silentConn{
		Conn:  c,
		wires: w,
	}
	w.mu.Lock()
	w.conns = append(w.conns, s)
	w.mu.Unlock()
	return s, nil
}

// cut closes every connection; mute makes the open ones silent for good.
func (w *wires) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
	w.conns = nil
}

func (w *wires) mute() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.(*silentConn).mute.Store(true)
	}
	w.conns = nil
}

// site is a few nodes with one platform.
type site struct {
	t        testing.TB
	platform *memory
}

// testConfig has one route of each kind to the service "stock".
func testConfig(version cyclam.Version) cyclam.Config {
	route := func(name string, kind cyclam.RouteKind) cyclam.Route {
		return cyclam.Route{
			Name:       name,
			Host:       "mesh.example",
			PathPrefix: "/" + name + "/",
			Kind:       kind,
			Service:    "stock",
			Timeout:    3 * time.Second,
			Goal:       time.Second,
			Attempts:   2,
		}
	}
	return cyclam.Config{
		Version: version,
		Routes: []cyclam.Route{
			route("read", cyclam.RouteIdempotent),
			route("book", cyclam.RouteNonIdempotent),
			route("load", cyclam.RouteDownload),
		},
		Services: []cyclam.Service{
			{
				Name:       "stock",
				HealthPath: "/health",
			},
		},
		Limits: cyclam.Limits{
			HeaderBytes: 8 << 10,
			BodyBytes:   1 << 20,
			IdleTimeout: time.Minute,
		},
	}
}

func newSite(t testing.TB) *site {
	s := &site{
		t:        t,
		platform: newMemory(),
	}
	s.platform.apply(t, testConfig(1))
	return s
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs a node beside an upstream until the test ends; a nil upstream has
// none.
func (s *site) start(name string, u *upstream, w *wires) *Node {
	n, _ := s.launch(name, u, w)
	return n
}

// launch runs a node and returns what ends it like a kill.
func (s *site) launch(name string, u *upstream, w *wires) (*Node, func()) {
	n := s.node(name, u, w)
	return n, s.run(n)
}

func (s *site) run(n *Node) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return stop
}

// node returns a node that does not run yet.
func (s *site) node(name string, u *upstream, w *wires) *Node {
	s.t.Helper()
	address := "127.0.0.1:1"
	service := cyclam.ServiceName("other")
	if u != nil {
		address = strings.TrimPrefix(u.URL, "http://")
		service = "stock"
	}
	n := &Node{
		Settings: Settings{
			Self: cyclam.Endpoint{
				Identity: cyclam.Identity{
					Instance: cyclam.InstanceName(name),
				},
				Service: service,
				Place: cyclam.Place{
					Region:     "north",
					DataCentre: "north-a",
				},
				Control: freeAddress(s.t),
				Slots:   2,
			},
			Callers:  freeAddress(s.t),
			Upstream: address,
			Budget: budget.Tuning{
				Ratio:  0.2,
				Window: 10 * time.Second,
				Floor:  100,
			},
			Drain: 300 * time.Millisecond,
			Grace: 6 * time.Second,
		},
		Platform: s.platform,
		Dialect:  testDialect{},
		Log:      hclog.NewNullLogger(),
	}
	if w != nil {
		n.Dial = w.dial
	}
	return n
}

// settle waits until every node knows the others and the configuration.
func (s *site) settle(nodes ...*Node) {
	s.t.Helper()
	s.until("nodes are up", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return !n.Ready() })
	})
	s.until("nodes know each other", func() bool {
		for _, n := range nodes {
			if !n.Ready() || n.Settings.Self.Service == "stock" && n.upstreamID() == "" {
				return false
			}
			n.mu.Lock()
			known := 0
			doors := 0
			for _, other := range nodes {
				if other == n || other.Settings.Self.Service != "stock" {
					continue
				}
				doors++
				m, ok := n.fleet.members[other.Settings.Self.Instance]
				if ok && m.view.Endpoint.State == cyclam.EndpointReady {
					known++
				}
			}
			n.mu.Unlock()
			if known != doors {
				return false
			}
		}
		return true
	})
}

func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if ok() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	s.t.Fatalf("not within 10 s: %s", what)
}

var ids atomic.Int64

// ask sends one request to a node and returns status, body and header.
func (s *site) ask(ctx context.Context, n *Node, method, path string, wait time.Duration) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Settings.Callers+path, nil)
	if err != nil {
		return 0, "", nil, err
	}
	req.Host = "mesh.example"
	req.Header.Set("X-Id", "id-"+strconv.FormatInt(ids.Add(1), 10))
	req.Header.Set("X-Wait", wait.String())
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

func (s *site) want(n *Node, method, path string, status int) string {
	s.t.Helper()
	got, body, _, err := s.ask(s.t.Context(), n, method, path, 2*time.Second)
	if err != nil {
		s.t.Fatalf("%s %s: %v", method, path, err)
	}
	if got != status {
		s.t.Fatalf("%s %s: got %d %q, want %d", method, path, got, body, status)
	}
	return body
}

func (u *upstream) String() string { return fmt.Sprintf("upstream %s: %d runs", u.id, u.runs.Load()) }
