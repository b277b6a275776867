package appsim

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// An answer to a request that was not run must say so, and one that was run must not.
func TestServeHTTP(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		header map[string]string
		status int
		notRun bool
		runs   int
	}{
		{name: "run", path: "/a/", header: map[string]string{HeaderAttempt: "1"}, status: 200, runs: 1},
		{name: "run here", path: "/a/", header: map[string]string{HeaderAttempt: "1", headerTarget: "i-1"}, status: 200, runs: 1},
		{name: "for another", path: "/a/", header: map[string]string{HeaderAttempt: "1", headerTarget: "i-2"}, status: 421, notRun: true},
		{name: "no id", path: "/a/", status: 400, notRun: true},
		{name: "health", path: HealthPath, status: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs := 0
			b := &Backend{
				Slots: 1,
				Work:  func() time.Duration { return 0 },
				OnRun: func(string) { runs++ },
				slots: make(chan struct{}, 1),
			}
			b.Replace("i-1")
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, strings.NewReader("body"))
			for name, value := range test.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			b.ServeHTTP(w, r)
			if got, want := w.Code, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := w.Header().Get(headerNotRun) != "", test.notRun; got != want {
				t.Errorf("not run: got %t, want %t", got, want)
			}
			if got, want := runs, test.runs; got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
			if got, want := w.Header().Get(headerInstance), "i-1"; got != want {
				t.Errorf("instance: got %s, want %s", got, want)
			}
		})
	}
}

// The node beside a backend must hear of its start, its drain and its end, in this order.
func TestReports(t *testing.T) {
	reports := make(chan string, 100)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		reports <- r.URL.Path + " " + string(data)
	}))
	defer node.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	b := &Backend{
		ID:           "i-1",
		Service:      "a",
		Address:      address,
		ControlPlane: strings.TrimPrefix(node.URL, "http://"),
		Slots:        4,
		Heartbeat:    time.Hour,
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	expect := func(parts ...string) {
		t.Helper()
		got := <-reports
		for _, want := range parts {
			if !strings.Contains(got, want) {
				t.Errorf("got %s, want it to contain %s", got, want)
			}
		}
	}
	expect("/api/instances/i-1/heartbeat", `"state":"ready"`, `"seq":1`, `"slots":4`)
	if err := b.Drain(ctx); err != nil {
		t.Error(err)
	}
	expect("/api/instances/i-1/heartbeat", `"state":"draining"`, `"seq":2`)
	if err := b.Deregister(ctx); err != nil {
		t.Error(err)
	}
	expect("/api/instances/i-1/deregister", `"born":`)
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("run: %v", err)
	}
}

// What a backend says of itself must be in the answers of requests that it runs and of
// those that it does not run, and in those of health checks, until it says otherwise.
func TestAnswersSayLimitAndLeaving(t *testing.T) {
	var arrived []string
	b := &Backend{
		Slots:    1,
		Work:     func() time.Duration { return 0 },
		OnArrive: func(attempt string) { arrived = append(arrived, attempt) },
		slots:    make(chan struct{}, 1),
	}
	b.Replace("i-1")
	check := func(limit, leaving string) {
		t.Helper()
		for path, target := range map[string]string{"/a/run": "i-1", "/a/refuse": "i-2", HealthPath: ""} {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
			r.Header.Set(HeaderAttempt, path)
			r.Header.Set(headerTarget, target)
			w := httptest.NewRecorder()
			b.ServeHTTP(w, r)
			if got := w.Header().Get(headerLimit); got != limit {
				t.Errorf("%s: limit: got %q, want %q", path, got, limit)
			}
			if got := w.Header().Get(headerLeaving); got != leaving {
				t.Errorf("%s: leaving: got %q, want %q", path, got, leaving)
			}
		}
	}
	check("", "")
	b.NameLimit("4.5")
	check("4.5", "")
	b.NameLimit("")
	b.SayLeaving()
	check("", "1")
	b.NameLimit("3")
	b.Replace("i-1")
	check("", "")
	if got, want := len(arrived), 8; got != want {
		t.Errorf("arrived: got %d (%q), want %d", got, arrived, want)
	}
}

// A flood ends only once the caller closes the connection.
func TestFlood(t *testing.T) {
	for _, flood := range []Flood{FloodLine, FloodHead, FloodInterim, FloodForeign, FloodBody, FloodChunks} {
		t.Run(string(flood), func(t *testing.T) {
			b := &Backend{
				Slots: 1,
				slots: make(chan struct{}, 1),
			}
			b.Replace("i-1")
			b.SetFlood(flood)
			server := httptest.NewServer(b)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: h\r\n"+HeaderAttempt+": 1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			const most = 4 << 20
			if got, err := io.CopyN(io.Discard, c, most); err != nil {
				t.Errorf("ended after %d bytes: %v", got, err)
			}
		})
	}
}
