package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A connection on which nothing was ever sent must not hold up a stop.
func TestStopClosesUnusedConnections(t *testing.T) {
	s := newTestCluster(t)
	n := s.start("front", nil, nil)
	s.awaitReady(n)
	took := timeStop(t, n)
	<-time.After(deregisterDelay - 500*time.Millisecond)
	c, err := net.Dial("tcp", n.Settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, most := <-took, deregisterDelay+lastLook+500*time.Millisecond; got > most {
		t.Errorf("stop: got %v, want at most %v", got, most)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("read: got %v, want the end of the connection", err)
	}
}

// A stopping node must answer each request that it passes on, though callers use their
// connections around the time at which it closes those that are idle.
func TestStopAnswersWhatItPassesOn(t *testing.T) {
	const callers = 60
	i := newDistantIdleTest(t, time.Minute)
	var answered, refused, unread atomic.Int64
	ask := func(c *keptConn) {
		_, _ = io.WriteString(c, strings.Replace(request(), "GET /read/", "POST /book/", 1))
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			unread.Add(1)
			return
		}
		if resp.StatusCode == http.StatusOK {
			answered.Add(1)
		} else {
			refused.Add(1)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	var conns []*keptConn
	for range callers {
		c := i.connect()
		ask(c)
		conns = append(conns, c)
	}
	stopped := timeStop(t, i.Node)
	var group sync.WaitGroup
	for k, c := range conns {
		group.Go(func() {
			<-time.After(deregisterDelay - 100*time.Millisecond + time.Duration(k)*10*time.Millisecond)
			ask(c)
		})
	}
	group.Wait()
	<-stopped
	t.Logf("second requests of %d callers: answered and refused %d, unread %d", callers, answered.Load()+refused.Load()-callers, unread.Load())
	if got, want := answered.Load(), i.app.runs.Load(); got != want {
		t.Errorf("answered: got %d, want as many as ran, %d", got, want)
	}
}
