package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

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

func (u *upstream) String() string { return fmt.Sprintf("upstream %s: %d runs", u.id, u.runs.Load()) }

// A link on which replies still come is not cut for one that is late; a silent
// one is.
func TestAwaitReply(t *testing.T) {
	const limit = 300 * time.Millisecond
	// The metrics library starts a goroutine that never ends, outside of the bubble.
	meters := newMeters(metrics.NewRegistry())
	tests := []struct {
		name  string
		heard bool
		reset bool
	}{
		{name: "other replies come", heard: true, reset: false},
		{name: "silent", heard: false, reset: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{
					Log:    hclog.NewNullLogger(),
					meters: meters,
				}
				l := &link{
					node:    n,
					address: "127.0.0.1:1",
				}
				conn, err := l.get()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				go l.awaitReply(ctx, conn, nil, limit)
				for range 15 {
					<-time.After(limit / 3)
					if test.heard {
						l.hear()
					}
				}
				l.mu.Lock()
				got := l.conn == nil
				l.mu.Unlock()
				if got != test.reset {
					t.Errorf("reset: got %t, want %t", got, test.reset)
				}
			})
		})
	}
}
