package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// startOddCluster starts a node beside an upstream that answers with a head as given, after the
// request's id and the signature, and another node.
func startOddCluster(t *testing.T, statusLine, fields, body string) (*testCluster, []*Node, *atomic.Int64) {
	s := newPausedCluster(t)
	runs := &atomic.Int64{}
	u := newRawUpstream(s, "u1", func(_ *rawUpstream, c net.Conn, r *http.Request, _ int) bool {
		runs.Add(1)
		_, _ = fmt.Fprintf(c, "%s\r\nX-Id: %s\r\nX-Signed: 1\r\n%s\r\n%s", statusLine, r.Header.Get("X-Id"), fields, body)
		return false
	})
	nodes := []*Node{s.startBeside("door", u), s.start("front", nil, nil)}
	s.awaitReady(nodes...)
	return s, nodes, runs
}

// A status that is none must not reach the caller, and not take its connection either: the caller
// learns that the outcome is not known.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes, runs := startOddCluster(t, "HTTP/1.1 "+status+" Odd", "Content-Length: 4\r\n", "good")
				for _, n := range nodes {
					got, body, _, err := s.request(t.Context(), n, http.MethodPost, "/book/x", time.Second)
					if err != nil || got != http.StatusBadGateway {
						t.Errorf("at %s: got %d %q, %v, want %d", n.Settings.Self.Instance, got, body, err, http.StatusBadGateway)
					}
				}
				if got, want := runs.Load(), int64(len(nodes)); got != want {
					t.Errorf("runs: got %d, want %d", got, want)
				}
			})
		})
	}
}

// A field whose name holds a blank or a control byte must not cost the caller the framing of the
// body, nor be passed on.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, field := range []string{
		"Content-Length : 4",
		"Transfer-Encoding : chunked",
		"X Odd: 1",
		"X\x01Odd: 1",
	} {
		t.Run(field, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes, _ := startOddCluster(t, "HTTP/1.1 200 OK", field+"\r\n", "4\r\ngood\r\n0\r\n\r\n")
				for _, n := range nodes {
					got, body, _, err := s.request(t.Context(), n, http.MethodPost, "/book/x", time.Second)
					if err != nil || got != http.StatusBadGateway {
						t.Errorf("at %s: got %d %q, %v, want %d", n.Settings.Self.Instance, got, body, err, http.StatusBadGateway)
					}
				}
			})
		})
	}
}
