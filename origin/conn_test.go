package origin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// A request that may run only once must have a connection on which nothing else can arrive.
func TestOnceOnlyRequestHasOwnConnection(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer, signedAnswer, signedAnswer)
	p := newPool(s.address)
	once := func(id string) {
		t.Helper()
		if err := p.Do(t.Context(), Request{
			ID:     id,
			Method: http.MethodPost,
			Host:   "h.example",
			Target: "/",
			Header: http.Header{"X-Id": {id}},
			Body:   []byte("body"),
		}, &recordingSink{}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := do(t, p, "first"); err != nil {
		t.Fatal(err)
	}
	once("second")
	once("third")
	if got, want := s.conns.Load(), int64(3); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	if _, err := do(t, p, "fourth"); err != nil {
		t.Fatal(err)
	}
	if got, want := s.conns.Load(), int64(3); got != want {
		t.Errorf("connections after one that may be repeated: got %d, want %d", got, want)
	}
}

// Of the idle connections, one that has just carried an answer is the last choice.
func TestChoiceOfIdleConnection(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		idle []time.Duration
		want time.Duration
	}{
		{name: "none rested", idle: []time.Duration{15 * time.Millisecond, 10 * time.Millisecond, 0}, want: 15 * time.Millisecond},
		{name: "one rested", idle: []time.Duration{time.Second, 10 * time.Millisecond, 0}, want: time.Second},
		{name: "two rested", idle: []time.Duration{3 * time.Second, time.Second, 0}, want: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool("")
			for _, d := range c.idle {
				p.idle = append(p.idle, &conn{
					idleSince: now.Add(-d),
				})
			}
			if got := now.Sub(p.take(now).idleSince); got != c.want {
				t.Errorf("got the one idle for %v, want %v", got, c.want)
			}
			if got, want := len(p.idle), len(c.idle)-1; got != want {
				t.Errorf("idle afterwards: got %d, want %d", got, want)
			}
		})
	}
}

// brokenConn is a connection that accepts no byte from the second request on.
type brokenConn struct {
	net.Conn

	writes int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, errors.New("broken")
	}
	return c.Conn.Write(p)
}

// A request of which an idle connection takes no byte has not been sent, and is sent on a
// new one.
func TestIdleConnectionThatTakesNothing(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer, signedAnswer)
	p := newPool(s.address)
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := DialTCP(ctx, address)
		return &brokenConn{
			Conn: c,
		}, err
	}
	for _, id := range []string{"first", "second"} {
		if out, err := do(t, p, id); err != nil || out.body.String() != "good" {
			t.Errorf("%s: got %q, %v, want the answer", id, out.body.String(), err)
		}
	}
	if got, want := s.conns.Load(), int64(2); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// A request whose context ends while its connection is opened must not be sent.
func TestContextEndsWhileConnecting(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer)
	p := newPool(s.address)
	ctx, cancel := context.WithCancel(t.Context())
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := DialTCP(ctx, address)
		cancel()
		return c, err
	}
	err := p.Do(ctx, Request{
		ID:     "first",
		Method: http.MethodPost,
		Host:   "h.example",
		Target: "/",
		Header: http.Header{},
		Body:   []byte("body"),
	}, &recordingSink{})
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
	select {
	case target := <-s.targets:
		t.Errorf("got a request for %s at the upstream, want none", target)
	case <-time.After(straySilence):
	}
}

// BeforeSend must be called once the connection is open; it completes the header, and its
// refusal must keep all bytes from the upstream.
func TestBeforeSend(t *testing.T) {
	errRefused := errors.New("refused")
	tests := []struct {
		name       string
		method     string
		body       string
		idempotent bool
		// reuses is set if the request is sent on a connection that was used before.
		reuses bool
	}{
		{name: "new connection", method: http.MethodPost},
		{name: "body", method: http.MethodPost, body: strings.Repeat("x", 4*writeBufferSize)},
		{name: "reused connection", method: http.MethodGet, idempotent: true, reuses: true},
		{name: "body on a reused connection", method: http.MethodPut, body: "body", idempotent: true, reuses: true},
	}
	for _, test := range tests {
		for name, refusal := range map[string]error{"allowed": nil, "refused": errRefused} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				s := newScriptedUpstream(t, signedAnswer, signedAnswer)
				p := newPool(s.address)
				if test.reuses {
					if _, err := do(t, p, "first"); err != nil {
						t.Fatal(err)
					}
					<-s.targets
				}
				dials := 0
				p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					dials++
					return DialTCP(ctx, address)
				}
				calls := 0
				out := &recordingSink{}
				err := p.Do(t.Context(), Request{
					ID:         "second",
					Method:     test.method,
					Host:       "h.example",
					Target:     "/second",
					Header:     http.Header{},
					Body:       []byte(test.body),
					Idempotent: test.idempotent,
					BeforeSend: func(header http.Header) error {
						calls++
						if got, want := dials == 0, test.reuses; got != want {
							t.Errorf("called without a new connection: got %t, want %t", got, want)
						}
						header.Set("X-Id", "second")
						return refusal
					},
				}, out)
				if got, want := calls, 1; got != want {
					t.Errorf("calls: got %d, want %d", got, want)
				}
				if refusal == nil {
					if err != nil || out.body.String() != "good" {
						t.Errorf("got %q, %v, want the answer", out.body.String(), err)
					}
					return
				}
				if !errors.Is(err, ErrNotSent) || !errors.Is(err, errRefused) {
					t.Errorf("got %v, want ErrNotSent and the refusal", err)
				}
				select {
				case target := <-s.targets:
					t.Errorf("got a request for %s at the upstream, want none", target)
				case <-time.After(straySilence):
				}
			})
		}
	}
}
