package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// startHastyUpstream starts an upstream that answers an upload as soon as it has read the head,
// without a length, and resets the connection while the upload is still being written.
func startHastyUpstream(s *testCluster) string {
	address := s.address()
	l := s.listen(address)
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				head := make([]byte, 8<<10)
				size, err := c.Read(head)
				if err != nil {
					return
				}
				if bytes.HasPrefix(head, []byte("GET /health")) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Instance: u1\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, id, _ := bytes.Cut(head[:size], []byte("X-Id: "))
				id, _, _ = bytes.Cut(id, []byte("\r\n"))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\n\r\npart", id)
				<-time.After(5 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return address
}

// A caller must not get as a whole answer what has arrived of an answer without a length whose
// connection is reset while the upload is still being written.
func TestAnswerResetDuringUpload(t *testing.T) {
	const uploadBytes = 16 << 20
	s := newTestCluster(t)
	config := testConfig(2)
	config.Limits.BodyBytes = 2 * uploadBytes
	s.platform.apply(t, config)
	door := s.node("door", nil, nil)
	door.Settings.Self.Service = "stock"
	door.Settings.Upstream = startHastyUpstream(s)
	s.run(door)
	front := s.start("front", nil, nil)
	s.awaitReady(door, front)
	for _, n := range []*Node{door, front} {
		for range 5 {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.Settings.Callers+"/book/x", bytes.NewReader(make([]byte, uploadBytes)))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "mesh.example"
			req.Header.Set("X-Id", "id-"+strconv.FormatInt(ids.Add(1), 10))
			req.Header.Set("X-Wait", "3s")
			resp, err := s.transport().RoundTrip(req)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("at %s: got %d with %q as a whole answer, want a failure", n.Settings.Self.Instance, resp.StatusCode, body)
			}
		}
	}
}
