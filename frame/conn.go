// Package frame decides what is an HTTP/1.1 answer: what makes a head a head, and where a body
// ends. All readers of answers use it, before anything in an answer is believed.
package frame

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrBroken means that a connection has ended although a write on it failed. A body that has no
// length is incomplete then.
var ErrBroken = errors.New("connection broken")

// Conn is a connection whose end is only reported as io.EOF if no write on it has failed. The
// system reports a reset once, to a read or to a write; reads that follow find the end of the
// connection, as if the other side had closed it after a whole answer.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// failed is the error of the first write that has failed, other than by a deadline of our
	// own.
	failed error
	// writing is closed when the write that is under way ends; nil if there is none.
	writing chan struct{}
}

// NewConn returns a connection over another one.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// writeGrace is how long the end of a connection waits for a write that is under way, whose error
// may not have been recorded yet.
const writeGrace = 20 * time.Millisecond

// Read reads what has arrived. At the end of the connection it returns io.EOF, or an error that
// wraps ErrBroken if a write has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error for the end of the connection.
func (c *Conn) endError() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-time.After(writeGrace):
		}
	}
	if err := c.Broken(); err != nil {
		return err
	}
	return io.EOF
}

// Broken returns an error that wraps ErrBroken if a write has failed, other than by a deadline,
// and nil otherwise.
func (c *Conn) Broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrBroken, c.failed)
}

// Write writes data. Only one goroutine may write at a time.
func (c *Conn) Write(p []byte) (int, error) {
	ended := make(chan struct{})
	c.mu.Lock()
	c.writing = ended
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.failed == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
	}
	c.writing = nil
	close(ended)
	return n, err
}
