package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request at whose node SIGTERM has come must not be given up because the upstream's
// connection, used for another request just before, delivers bytes of no request.
func TestStopKeepsRunAmongStrayBytes(t *testing.T) {
	s := newPatientCluster(t)
	u := newUpstream(t, "u1")
	const work = 300 * time.Millisecond
	cut := make(chan bool, 1)
	answer := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance: u1\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 6\r\n\r\nworked", r.Header.Get("X-Id"))
	}
	u.work = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		go func() {
			defer c.Close()
			answer(c, r)
			in := bufio.NewReader(c)
			next, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			u.runs.Add(1)
			_, _ = io.WriteString(c, "worked\r\n")
			_ = c.SetReadDeadline(time.Now().Add(work))
			_, err = in.Peek(1)
			cut <- err == io.EOF
			answer(c, next)
		}()
	}
	backend, ingress := s.start("door", u, nil), s.start("front", nil, nil)
	s.awaitReady(backend, ingress)
	if got, want := s.want(ingress, http.MethodPost, "/book/x", http.StatusOK), "worked"; got != want {
		t.Fatalf("first: got %q, want %q", got, want)
	}
	go ingress.Stop(t.Context())
	s.waitFor("the node is stopping", ingress.stopping.Load)
	status, body, _, err := s.request(t.Context(), ingress, http.MethodPost, "/book/x", 7*time.Second)
	if err != nil || status != http.StatusOK || body != "worked" {
		t.Errorf("got %d %q, %v, want the answer", status, body, err)
	}
	if <-cut {
		t.Error("the run was cut, want it to end by itself")
	}
}
