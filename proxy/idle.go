package proxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/hashicorp/go-hclog"
)

// defaultHeaderTimeout bounds the reading of a request's header if no configuration is
// known or the one in force does not.
const defaultHeaderTimeout = 30 * time.Second

// defaultLimits apply until a configuration is known.
var defaultLimits = cyclam.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: defaultHeaderTimeout,
	IdleTimeout:   time.Minute,
}

// limits returns the limits of the configuration in force.
func (n *Node) limits() cyclam.Limits {
	if t := n.current.Load(); t != nil {
		return t.Config.Limits
	}
	return defaultLimits
}

// callerConns accepts callers' connections and knows those that are open. A connection's
// mutex may be held while mu is taken, but not the reverse.
type callerConns struct {
	net.Listener

	log    hclog.Logger
	limits func() cyclam.Limits
	// retired is set once connections that wait for a request are to be closed.
	retired atomic.Bool
	// most is how many connections may be open, zero for any number. clients counts those
	// that are given up, and heads is the memory of large headers.
	most    int
	clients *ClientLog
	heads   *bodyMemory

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// closed is the number of connections closed as idle since the last line of the log,
	// longest the longest time that one of them had been idle.
	closed  int
	longest time.Duration
}

// Accept waits for the next connection.
func (s *callerConns) Accept() (net.Conn, error) {
	raw, err := s.acceptWithin()
	if err != nil && s.retired.Load() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	c := &callerConn{
		Conn:    raw,
		callers: s,
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.setServed(false)
	return c, nil
}

// track is the ConnState hook of the server.
func (*callerConns) track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if ok && (state == http.StateActive || state == http.StateIdle) {
		conn.setServed(state == http.StateActive)
	}
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// open returns the connections that are open.
func (s *callerConns) open() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// raise applies limits that have come into force to the open connections.
func (s *callerConns) raise(limits cyclam.Limits) {
	for _, c := range s.open() {
		c.raise(limits)
	}
}

// countClosed counts a connection that is closed as idle.
func (s *callerConns) countClosed(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
	s.longest = max(s.longest, idle)
}

// logClosed logs how many connections have been closed as idle since the last call.
func (s *callerConns) logClosed() {
	s.mu.Lock()
	closed, longest, open := s.closed, s.longest, len(s.conns)
	s.closed, s.longest = 0, 0
	s.mu.Unlock()
	if closed > 0 {
		s.log.Info("idle-connections-closed", "closed", closed, "open", open, "limit", s.limits().IdleTimeout, "longest", longest)
	}
}

// shut stops accepting connections and retires those that are open. It replaces the server's
// own shutdown, which closes connections from another goroutine than their reader and drops
// requests that are being read.
func (s *callerConns) shut() {
	s.retire()
	if err := s.Listener.Close(); err != nil {
		s.log.Debug("close-failed", "step", "close callers' listener", "error", err)
	}
}

// retire closes the connections that wait for a request, now and from now on. Each is
// closed by its reader.
func (s *callerConns) retire() {
	s.retired.Store(true)
	for _, c := range s.open() {
		c.wake()
	}
}

// count returns the number of open connections.
func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
