package proxy

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// callerState is what a caller's connection is used for.
type callerState uint8

const (
	// callerIdle: nothing of the next request has been read.
	callerIdle callerState = iota
	// callerHeader: the header of a request is being read.
	callerHeader
	// callerServed: the header has been read; the HTTP server sets the deadlines.
	callerServed
)

// lastLook is how long a connection is read for once more after its timeout. An expired
// deadline hides bytes that have arrived, and a process whose processor time is throttled may
// stand still for 100 ms before it reads them.
const lastLook = 200 * time.Millisecond

// callerConn is a caller's connection. Its reader alone decides that it is idle and may be
// closed: another goroutine can't tell whether a request has been read meanwhile.
type callerConn struct {
	net.Conn

	callers *callerConns

	mu    sync.Mutex
	state callerState
	// since is when the state began, and limit how long it may last; zero is no limit.
	since time.Time
	limit time.Duration
	// looking is set during the last look.
	looking bool
	// bufferSize is the size of the server's read buffer, in bytes; zero until the first read.
	bufferSize int

	progress callerProgress
}

// Read reads with the deadline of the connection's state. While no byte of a request has
// arrived, it ends with io.EOF after the idle timeout or once the node closes idle
// connections; the server writes nothing to a connection that ends so.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if err := c.arm(len(p)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.received(n)
			if ended := c.admitHead(p[:n]); ended != nil {
				return 0, ended
			}
			return n, err
		}
		if ended := c.expired(err); ended != nil {
			return 0, ended
		}
	}
}

// arm sets the deadline for a read into size bytes. The first read of a connection goes into
// the whole of the server's buffer; those of a body may go into larger ones. Between two
// requests the server's buffer has less room than its size only if it holds a part of the
// next one.
func (c *callerConn) arm(size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if c.state == callerIdle && size < c.bufferSize {
		c.begin(callerHeader)
	}
	var deadline time.Time
	switch {
	case c.state == callerServed:
		return nil
	case c.state == callerIdle && c.ending():
		c.looking = true
		deadline = time.Now().Add(lastLook)
	case c.state == callerIdle && c.looking:
		deadline = time.Now().Add(lastLook)
	case c.limit > 0:
		deadline = c.since.Add(c.limit)
	}
	return errors.Wrap(c.SetReadDeadline(deadline), "set deadline of caller's connection")
}

// received records that n bytes have been read.
func (c *callerConn) received(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.progress.at = time.Now()
	}
	if n == 0 || c.state != callerIdle {
		return
	}
	if c.looking {
		c.callers.log.Info("request-at-idle-timeout", "caller", c.RemoteAddr(), "idle", time.Since(c.since), "limit", c.limit, "stopping", c.callers.retired.Load())
	}
	c.begin(callerHeader)
}

// expired returns the error with which a read ends after its deadline has passed, or nil
// if it goes on.
func (c *callerConn) expired(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callerServed {
		return err
	}
	now := time.Now()
	over := c.limit > 0 && !now.Before(c.since.Add(c.limit))
	switch {
	case c.state == callerHeader && (over && c.looking || c.progress.givenUp):
		return err
	case c.state == callerHeader && over:
		c.looking, c.limit = true, now.Sub(c.since)+lastLook
		return nil
	case c.state == callerHeader:
		return nil
	case !over && !c.ending():
		c.looking = false
		return nil
	case !c.looking:
		c.looking = true
		return nil
	}
	c.callers.countClosed(now.Sub(c.since))
	return io.EOF
}

// begin starts a state. Its limit is the one in force now: a caller relies on the limit
// that it knew when it began to wait, and raise adds what it may learn meanwhile. The caller
// of begin holds mu.
func (c *callerConn) begin(state callerState) {
	c.state, c.since, c.looking = state, time.Now(), false
	c.progress.at, c.progress.givenUp = c.since, false
	c.limit = c.limitIn(c.callers.limits())
}

// limitIn returns how long the present state may last by these limits.
func (c *callerConn) limitIn(limits cyclam.Limits) time.Duration {
	switch c.state {
	case callerIdle:
		return limits.IdleTimeout
	case callerHeader:
		if limits.HeaderTimeout > 0 {
			return limits.HeaderTimeout
		}
		return defaultHeaderTimeout
	default:
		return 0
	}
}

// raise applies limits that have come into force if they are longer than those that held
// when the present state began. Shorter ones hold from the next state on.
func (c *callerConn) raise(limits cyclam.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.limitIn(limits); limit <= 0 || c.limit <= 0 {
		c.limit = 0
	} else {
		c.limit = max(c.limit, limit)
	}
}

// setServed notes that the server has read a request's header, or that it waits for the
// next request.
func (c *callerConn) setServed(served bool) {
	if !served {
		c.releaseHead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !served {
		c.begin(callerIdle)
		return
	}
	c.progress.used = true
	c.begin(callerServed)
	_ = c.SetReadDeadline(time.Time{})
}

// wake makes the reader look for the last time if it waits for a request.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callerIdle && !c.looking {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseWrite closes the sending side; the server calls it after an answer that it gives
// before it has read the whole request.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.callers.remove(c)
	c.releaseHead()
	return c.Conn.Close()
}
