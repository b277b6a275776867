package memnet

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// conn is one end of a connection.
type conn struct {
	in    *stream
	out   *stream
	local net.Addr
	peer  net.Addr
}

// pair returns the two ends of a connection between two addresses.
func pair(dialer, listener net.Addr) (near, far *conn) {
	there, back := newStream(), newStream()
	near = &conn{
		in:    back,
		out:   there,
		local: dialer,
		peer:  listener,
	}
	far = &conn{
		in:    there,
		out:   back,
		local: listener,
		peer:  dialer,
	}
	return near, far
}

func newStream() *stream {
	return &stream{
		changed: make(chan struct{}),
	}
}

// wrap returns an error of the connection as those of sockets are, so that callers find out
// in the usual ways what it is.
func (c *conn) wrap(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return opError(op, c.peer, err)
}

// Read reads what has arrived, or waits for it until the deadline. An expired deadline hides
// what has arrived.
func (c *conn) Read(p []byte) (int, error) {
	count, err := c.in.read(p)
	return count, c.wrap("read", err)
}

// Write writes to the other end, or waits until that has read enough.
func (c *conn) Write(p []byte) (int, error) {
	count, err := c.out.write(p)
	return count, c.wrap("write", err)
}

// Close closes both directions. The other end reads what was written before, and then finds the
// connection reset if bytes from it were not read.
func (c *conn) Close() error {
	unread := false
	c.in.update(func() {
		unread = len(c.in.held) > 0
		c.in.left, c.in.held = true, nil
	})
	c.out.update(func() {
		c.out.ended, c.out.reset = true, c.out.reset || unread
	})
	return nil
}

// CloseWrite ends the direction to the other end.
func (c *conn) CloseWrite() error {
	c.out.update(func() { c.out.ended = true })
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.peer }

// SetDeadline sets both deadlines; zero for none.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time until which Read waits; zero for none.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readBy = t })
	return nil
}

// SetWriteDeadline sets the time until which Write waits; zero for none.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeBy = t })
	return nil
}
