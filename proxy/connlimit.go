package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cyclamensaddle/cyclam/guard"
)

// roomPause is the pause between two looks for a client that may be given up, and roomWait
// how long a new connection waits for one.
const (
	roomPause = 20 * time.Millisecond
	roomWait  = guard.Patience + roomPause
)

// ConnLimit is a listener that bounds how many of its connections are open. To accept one more,
// it closes one that makes no progress. Set its exported fields before use.
type ConnLimit struct {
	net.Listener

	// Most is the number of open connections.
	Most    int
	Clients *ClientLog
	// Limit names the limit in logs and metrics.
	Limit string
	// ServedAfter is how many bytes a connection has to receive to be kept for good; zero
	// means that the server reports the phases by Track.
	ServedAfter int

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// limitedConn is a connection of a ConnLimit.
type limitedConn struct {
	net.Conn

	limit *ConnLimit
	// The listener's mutex guards the fields below.
	client   guard.Client
	received int
}

// Accept waits for the next connection that there is room for.
func (l *ConnLimit) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom() {
			l.Clients.note(clientLimit(l.Limit), raw.RemoteAddr(), guard.PhaseUnused)
			_ = raw.Close()
			continue
		}
		c := &limitedConn{
			Conn:  raw,
			limit: l,
			client: guard.Client{
				Phase: guard.PhaseUnused,
				Since: time.Now(),
			},
		}
		l.mu.Lock()
		if l.conns == nil {
			l.conns = map[*limitedConn]struct{}{}
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// makeRoom closes a connection if too many are open. It returns false if none may be closed.
func (l *ConnLimit) makeRoom() bool {
	for until := time.Now().Add(roomWait); ; <-time.After(roomPause) {
		full, victim := l.victim(time.Now())
		switch {
		case !full:
			return true
		case victim != nil:
			_ = victim.Close()
			return true
		case time.Now().After(until):
			return false
		}
	}
}

// victim reports whether all connections are in use, and returns the one that goes first.
func (l *ConnLimit) victim(now time.Time) (full bool, victim *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Most <= 0 || len(l.conns) < l.Most {
		return false, nil
	}
	conns := make([]*limitedConn, 0, len(l.conns))
	clients := make([]guard.Client, 0, len(l.conns))
	for c := range l.conns {
		conns, clients = append(conns, c), append(clients, c.client)
	}
	order := guard.Order(clients, now)
	if len(order) == 0 {
		return true, nil
	}
	victim = conns[order[0]]
	l.Clients.note(clientLimit(l.Limit), victim.RemoteAddr(), victim.client.Phase)
	return true, victim
}

// Track is the ConnState hook of an HTTP server, which calls a connection active once it has
// read the header of a request. Until then it counts as unused, however slowly that arrives.
func (*ConnLimit) Track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*limitedConn)
	switch {
	case ok && state == http.StateActive:
		conn.enter(guard.PhaseSending)
	case ok && state == http.StateIdle:
		conn.enter(guard.PhaseIdle)
	}
}

func (c *limitedConn) enter(phase guard.Phase) {
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	c.client = guard.Client{
		Phase: phase,
		Since: time.Now(),
	}
}

// Read reads and notes the progress.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	c.received += n
	if c.limit.ServedAfter > 0 && c.received >= c.limit.ServedAfter {
		c.client.Phase = guard.PhaseServing
	}
	if c.client.Phase == guard.PhaseSending {
		c.client.Since = time.Now()
	}
	return n, err
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.limit.mu.Lock()
	delete(c.limit.conns, c)
	c.limit.mu.Unlock()
	return c.Conn.Close()
}
