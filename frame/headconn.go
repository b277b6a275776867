package frame

import (
	"bytes"
	"net"

	"github.com/pkg/errors"
)

// HeadConn is a Conn that checks the head of each answer with CheckHead, for clients whose own
// reader accepts more. Its client writes a request as a whole before it reads the answer, and
// reads the answer as a whole before it writes the next one.
type HeadConn struct {
	*Conn

	// awaited is set from the first byte of a request until the head of its answer has arrived.
	// head is what has arrived of that.
	awaited bool
	head    []byte
}

// NewHeadConn returns a connection over another one.
func NewHeadConn(c net.Conn) *HeadConn {
	return &HeadConn{
		Conn: NewConn(c),
	}
}

// Write writes a part of a request.
func (c *HeadConn) Write(p []byte) (int, error) {
	if !c.awaited {
		c.awaited, c.head = true, nil
	}
	return c.Conn.Write(p)
}

// Read reads a part of an answer. It returns an error that wraps ErrNoHead, and not the bytes
// that end the head, if that is none.
func (c *HeadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.awaited && n > 0 {
		if fault := c.receive(p[:n]); fault != nil {
			return 0, fault
		}
	}
	return n, err
}

// receive checks the heads that end with the bytes that have just arrived.
func (c *HeadConn) receive(data []byte) error {
	searched := max(0, len(c.head)-len("\n\r"))
	c.head = append(c.head, data...)
	for {
		size := headSize(c.head, searched)
		if size < 0 {
			if len(c.head) > MaxHeadBytes {
				return errors.Wrapf(ErrNoHead, "%d bytes without an end", len(c.head))
			}
			return nil
		}
		if err := CheckHead(c.head[:size]); err != nil {
			return err
		}
		if !IsInterim(c.head) {
			c.awaited, c.head = false, nil
			return nil
		}
		c.head, searched = c.head[size:], 0
	}
}

// headSize returns the size of the head at the beginning of a text, up to its empty line; negative
// if it has none. The search begins at an index.
func headSize(text []byte, from int) int {
	for {
		end := bytes.IndexByte(text[from:], '\n')
		if end < 0 {
			return -1
		}
		from += end + 1
		switch rest := text[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}
