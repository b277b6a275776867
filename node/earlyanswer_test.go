package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/valyala/fasthttp"
)

// An upstream that answers a long upload at once, without a length, and resets the connection
// while the upload is still being written must not make a whole answer of what has arrived of it.
func TestResetWhileWriting(t *testing.T) {
	const uploadBytes = 16 << 20
	const rounds = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				head := make([]byte, 4<<10)
				if _, err := conn.Read(head); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				<-time.After(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	client := newClients(setup.Upstream{
		Address:     l.Addr().String(),
		Connections: 1,
	}, dialTCP).upstream
	for range rounds {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + l.Addr().String() + "/")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(make([]byte, uploadBytes))
		if err := client.DoTimeout(req, resp, 5*time.Second); err == nil {
			t.Errorf("got %d with %q as a whole answer, want an error", resp.StatusCode(), resp.Body())
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}
