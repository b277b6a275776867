package origin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of both ends of a connection hold, so that a request with
// such a body is still being written when its upstream answers early.
const uploadBytes = 16 << 20

// newHastyUpstream returns the address of an upstream that answers each request as soon as it has
// read its head, and then ends the connection.
func newHastyUpstream(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				head := make([]byte, 4<<10)
				if _, err := c.Read(head); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a request with a long body.
func upload(t *testing.T, p *Pool) (*recordingSink, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := &recordingSink{}
	err := p.Do(ctx, Request{
		ID:     "id-1",
		Method: http.MethodPost,
		Host:   "h.example",
		Target: "/",
		Header: http.Header{"X-Id": {"id-1"}},
		Body:   bytes.Repeat([]byte("u"), uploadBytes),
	}, out)
	return out, err
}

// An upstream that answers a long upload at once, without a length, and resets the connection
// while the upload is still being written must not make a whole answer of what has arrived of it.
// The reset is reported once, to whichever of the two ends of the exchange asks first.
func TestResetWhileWriting(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: 1\r\n\r\n"
	for name, answer := range map[string]string{
		"part of the body": head + strings.Repeat("x", 4<<10),
		"no body":          head,
	} {
		t.Run(name, func(t *testing.T) {
			address := newHastyUpstream(t, answer, func(c *net.TCPConn) {
				<-time.After(5 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			const rounds = 20
			whole := 0
			for range rounds {
				if out, err := upload(t, newPool(address)); err == nil {
					whole++
					t.Logf("got %d bytes as a whole answer", out.body.Len())
				}
			}
			if whole > 0 {
				t.Errorf("whole answers: got %d of %d, want none", whole, rounds)
			}
		})
	}
}

// An early answer that says where it ends is whole, however its connection ends. So is one that
// ends with its connection, if its upstream goes on to read the request.
func TestEarlyAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: 1\r\n"
	reset := func(c *net.TCPConn) {
		<-time.After(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	readOn := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	closeLater := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-time.After(5 * time.Millisecond)
	}
	for name, c := range map[string]struct {
		answer  string
		end     func(*net.TCPConn)
		wantErr bool
	}{
		"with a length, then a reset": {
			answer: head + "Content-Length: 4\r\n\r\ngood",
			end:    reset,
		},
		"in chunks, then a reset": {
			answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
			end:    reset,
		},
		"with its connection, request read": {
			answer: head + "\r\ngood",
			end:    readOn,
		},
		"with its connection, request not read": {
			answer:  head + "\r\ngood",
			end:     closeLater,
			wantErr: true,
		},
		"in chunks that break off, then a reset": {
			answer:  head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
			end:     reset,
			wantErr: true,
		},
		"shorter than its length, then a reset": {
			answer:  head + "Content-Length: 9\r\n\r\ngood",
			end:     reset,
			wantErr: true,
		},
		"HTTP/1.0 with its connection, then reset": {
			answer:  "HTTP/1.0" + head[len("HTTP/1.1"):] + "\r\ngood",
			end:     reset,
			wantErr: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := newHastyUpstream(t, c.answer, c.end)
			for range 5 {
				out, err := upload(t, newPool(address))
				if got := err != nil; got != c.wantErr {
					t.Errorf("got %q, %v, want an error: %t", out.body.String(), err, c.wantErr)
				}
			}
		})
	}
}
