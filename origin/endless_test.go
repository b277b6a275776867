package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newEndlessUpstream returns the address of an upstream that answers with first and then
// with repeated until the connection is closed, and the number of bytes that it wrote.
func newEndlessUpstream(t *testing.T, first, repeated string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	written := &atomic.Int64{}
	piece := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, first)
				for err == nil {
					var n int
					n, err = io.WriteString(c, piece)
					written.Add(int64(n))
				}
			}()
		}
	}()
	return l.Addr().String(), written
}

// An answer whose head does not end, and what comes in place of an answer without end,
// must be given up after a bounded number of bytes, long before the deadline.
func TestEndlessHeads(t *testing.T) {
	// What the sockets' buffers of both ends may hold beside what is read.
	const buffers = 16 << 20
	for _, c := range []struct {
		name, first, repeated string
	}{
		{"no line end", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		{"continued field", "HTTP/1.1 200 OK\r\nX-Long: a\r\n", " more\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"interim fields", "HTTP/1.1 100 Continue\r\n", "X-Field: value\r\n"},
		{"foreign body", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		{"foreign body with a length", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 999999999999\r\n\r\n", "x"},
		{"foreign answers", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"},
		{"trailers", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		{"chunk size", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, written := newEndlessUpstream(t, c.first, c.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			err := newPool(address).Do(ctx, Request{
				ID:     "id-1",
				Method: http.MethodGet,
				Host:   "h.example",
				Target: "/",
				Header: http.Header{},
			}, &recordingSink{})
			if err == nil {
				t.Error("got a complete answer, want an error")
			}
			if got, most := time.Since(began), 2*time.Second; got > most {
				t.Errorf("given up after %v, want at most %v: %v", got, most, err)
			}
			if got, most := written.Load(), int64(maxHeadBytes+maxSkippedBytes+buffers); got > most {
				t.Errorf("written: got %d bytes, want at most %d", got, most)
			}
		})
	}
}

// An answer of the request's own whose framing does not end must be given up as well. What it
// has delivered until then is passed on as it comes, so that nothing is kept.
func TestEndlessFramingOfOwnAnswer(t *testing.T) {
	const buffers = 16 << 20
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ first, repeated string }{
		"chunk size":       {first: head, repeated: "1"},
		"chunk extension":  {first: head + "1;", repeated: "x"},
		"chunk extensions": {first: head, repeated: "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		"no chunk":         {first: head, repeated: "bytes that are no chunk"},
		"trailers":         {first: head + "0\r\n", repeated: "X-Field: value\r\n"},
		"trailer":          {first: head + "0\r\nX-Field: ", repeated: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := newEndlessUpstream(t, c.first, c.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			err := newPool(address).Do(ctx, Request{
				ID:     "id-1",
				Method: http.MethodGet,
				Host:   "h.example",
				Target: "/",
				Header: http.Header{},
			}, &recordingSink{})
			if err == nil {
				t.Error("got a complete answer, want an error")
			}
			if got, most := time.Since(began), 2*time.Second; got > most {
				t.Errorf("given up after %v, want at most %v: %v", got, most, err)
			}
			if got, most := written.Load(), int64(maxHeadBytes+maxSkippedBytes+buffers); got > most {
				t.Errorf("written: got %d bytes, want at most %d", got, most)
			}
		})
	}
}

// A head that is long but within the bound must be read whole, and the bound must not
// apply to what follows it.
func TestLongHead(t *testing.T) {
	field := "X-Long: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"
	body := strings.Repeat("y", 4*maxHeadBytes)
	answer := "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\n" + field + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + body + "\r\n0\r\n\r\n"
	s := newScriptedUpstream(t, answer, answer)
	p := newPool(s.address)
	for range 2 {
		out, err := do(t, p, "id")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := out.body.Len(), len(body); got != want {
			t.Errorf("body: got %d bytes, want %d", got, want)
		}
		if got, want := len(out.head.Header.Get("X-Long")), maxHeadBytes/2; got != want {
			t.Errorf("field: got %d bytes, want %d", got, want)
		}
	}
	if got, want := s.conns.Load(), int64(1); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
