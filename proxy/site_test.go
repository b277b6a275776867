package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/hashicorp/go-hclog"
)

// site is a few nodes with one platform.
type site struct {
	t        testing.TB
	platform *memPlatform
}

// testConfig has one route of each kind to the service "stock".
func testConfig(version cyclam.Version) cyclam.Config {
	route := func(name string, kind cyclam.RouteKind) cyclam.Route {
		return cyclam.Route{
			Name:          name,
			Host:          "mesh.example",
			PathPrefix:    "/" + name + "/",
			Kind:          kind,
			Service:       "stock",
			Timeout:       3 * time.Second,
			TargetLatency: time.Second,
			Attempts:      2,
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
		platform: newMemPlatform(),
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
				Locality: cyclam.Locality{
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
