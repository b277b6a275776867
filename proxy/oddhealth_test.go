package proxy

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// What is no answer must not pass a health check, whatever else it says.
func TestHealthCheckWithoutAnAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Instance: u1\r\nContent-Length: 4\r\n\r\ngood"
	for name, c := range map[string]struct {
		answer string
		wantID string
	}{
		"whole": {
			answer: whole,
			wantID: "u1",
		},
		"after an interim one": {
			answer: "HTTP/1.1 102 Processing\r\n\r\n" + whole,
			wantID: "u1",
		},
		"with its connection": {
			answer: "HTTP/1.1 200 OK\r\nX-Instance: u1\r\n\r\ngood",
			wantID: "u1",
		},
		"very long": {
			answer: "HTTP/1.1 200 OK\r\nX-Instance: u1\r\n\r\n" + strings.Repeat("x", 4*healthAnswerLimit),
			wantID: "u1",
		},
		"status of zero": {
			answer: strings.Replace(whole, "200", "000", 1),
		},
		"status beyond all": {
			answer: strings.Replace(whole, "200", "999", 1),
		},
		"blank in a name": {
			answer: strings.Replace(whole, "Content-Length:", "Content-Length :", 1),
		},
		"control byte in a name": {
			answer: strings.Replace(whole, "X-Instance", "X-\x01Instance", 1),
		},
		"two framings": {
			answer: strings.Replace(whole, "Content", "Transfer-Encoding: chunked\r\nContent", 1),
		},
		"bytes before it": {
			answer: "what?\r\n\r\n" + whole,
		},
		"cut short": {
			answer: whole[:len(whole)-1],
		},
		"cut in its head": {
			answer: whole[:30],
		},
		"nothing": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPausedCluster(t)
				n := s.node("door", nil, nil)
				n.Settings.Upstream = s.address()
				n.prepare()
				l := s.listen(n.Settings.Upstream)
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
				began := time.Now()
				got, err := n.checkHealth(t.Context(), "/health")
				if wantErr := c.wantID == ""; (err != nil) != wantErr || got.id != c.wantID || got.healthy == wantErr {
					t.Errorf("got %+v, %v, want the id %q", got, err, c.wantID)
				}
				if took, most := time.Since(began), probeTimeout; took > most {
					t.Errorf("took %v, want at most %v", took, most)
				}
			})
		})
	}
}
