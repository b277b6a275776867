package node

import (
	"io"
	"net"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/valyala/fasthttp"
)

// What is no answer of an upstream must leave the outcome unknown, whatever else it says.
func TestAnswersThatAreNone(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   cyclam.Outcome
	}{
		"an answer": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeDone,
		},
		"with its connection": {
			answer: "HTTP/1.1 200 OK\r\n\r\ngood",
			want:   cyclam.OutcomeDone,
		},
		"not started": {
			answer: "HTTP/1.1 503 Full\r\nX-Work-Started: no\r\nContent-Length: 0\r\n\r\n",
			want:   cyclam.OutcomeNotRun,
		},
		"status of zero": {
			answer: "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"status of one": {
			answer: "HTTP/1.1 001 Odd\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"status beyond all": {
			answer: "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"not started, no status": {
			answer: "HTTP/1.1 000 Odd\r\nX-Work-Started: no\r\nContent-Length: 0\r\n\r\n",
			want:   cyclam.OutcomeUnknown,
		},
		"blank after a length": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ngood, and more",
			want:   cyclam.OutcomeUnknown,
		},
		"blank after chunks": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
			want:   cyclam.OutcomeUnknown,
		},
		"blank in a name": {
			answer: "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"control byte in a name": {
			answer: "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"control byte in a value": {
			answer: "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"chunks and a length": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
			want:   cyclam.OutcomeUnknown,
		},
		"chunks of HTTP/1.0": {
			answer: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
			want:   cyclam.OutcomeUnknown,
		},
		"two lengths": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ngood, and",
			want:   cyclam.OutcomeUnknown,
		},
		"bytes before it": {
			answer: "what?\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
		"cut short": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood",
			want:   cyclam.OutcomeUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.Close()
			}()
			client := newClients(setup.Upstream{
				Address:     l.Addr().String(),
				Connections: 1,
			}, dialTCP).upstream
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI("http://" + l.Addr().String() + "/")
			err = client.DoTimeout(req, resp, 5*time.Second)
			if got := upstreamCompletion(resp, err); got.Outcome != c.want {
				t.Errorf("got %v with %q, %v, want %v", got.Outcome, got.Answer.Body, err, c.want)
			}
		})
	}
}
