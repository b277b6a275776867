package relay

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
	"time"

	"github.com/pkg/errors"
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
