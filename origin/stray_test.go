package origin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// straySilence is how long an upstream of a stray test works before it answers.
const straySilence = 100 * time.Millisecond

// newStrayUpstream returns the address of an upstream that writes late bytes in the place
// of each answer but the first one of a connection, works on, and then answers. The
// counter tells how many runs ended because their connection was closed.
func newStrayUpstream(t *testing.T, late string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	cut := &atomic.Int64{}
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if !first {
				_, _ = io.WriteString(c, late)
				_ = c.SetReadDeadline(time.Now().Add(straySilence))
				if _, err := r.Peek(1); err == io.EOF {
					cut.Add(1)
					return
				}
				_ = c.SetReadDeadline(time.Time{})
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(signedAnswer, "$ID", req.Header.Get("X-Id")))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), cut
}

// Bytes that belong to no request must not end the run of the request that uses the
// connection next: the upstream works on it, and its answer follows.
func TestRunSurvivesBytesOfNoRequest(t *testing.T) {
	duplicate := strings.ReplaceAll(signedAnswer, "$ID", "first")
	for _, c := range []struct {
		name string
		late string
	}{
		{name: "nothing"},
		{name: "second copy of the answer before", late: duplicate},
		{name: "two copies", late: duplicate + duplicate},
		{name: "three copies", late: duplicate + duplicate + duplicate},
		{name: "copy that lost its first bytes", late: duplicate[20:]},
		{name: "rest of a body", late: "good"},
		{name: "line that is no status line", late: "what?\r\n\r\n"},
		{name: "interim answers", late: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, cut := newStrayUpstream(t, c.late)
			p := newPool(address)
			if _, err := do(t, p, "first"); err != nil {
				t.Fatal(err)
			}
			out, err := do(t, p, "second")
			if err != nil || out.body.String() != "good" {
				t.Errorf("got %q, %v, want the answer", out.body.String(), err)
			}
			<-time.After(straySilence)
			if got := cut.Load(); got != 0 {
				t.Errorf("runs cut: got %d, want 0", got)
			}
		})
	}
}

// A request whose context has ended must not be sent, however it got its connection: the
// upstream would begin to work for a caller that has left.
func TestEndedContextSendsNothing(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer, signedAnswer)
	p := newPool(s.address)
	if _, err := do(t, p, "first"); err != nil {
		t.Fatal(err)
	}
	<-s.targets
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := p.Do(ctx, Request{
		ID:         "second",
		Method:     http.MethodGet,
		Host:       "h.example",
		Target:     "/second",
		Header:     http.Header{"X-Id": {"second"}},
		Idempotent: true,
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
