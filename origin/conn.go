package origin

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/frame"
	"github.com/pkg/errors"
)

// conn is one HTTP/1.1 connection to the upstream.
type conn struct {
	*frame.Conn

	reader *bufio.Reader
	// returned holds bytes that were read and are to be read again.
	returned []byte
	// readable is how many more bytes may be read.
	readable int
	// written is how many bytes the present exchange has written.
	written int
	// refusal is the error of the present request's BeforeSend.
	refusal error
	// idleSince is when the last exchange ended; the connection may be reused
	// until idleTimeout later.
	idleSince   time.Time
	idleTimeout time.Duration
	// rested is how long the connection had been idle when it was reused; reused is set if
	// it has served another request before.
	rested time.Duration
	reused bool
	// idleRead receives the result of the read that runs while the connection is
	// idle.
	idleRead chan error
}

// unbounded allows any number of bytes to be read.
const unbounded = math.MaxInt

// allow sets how many more bytes may be read from the socket; those in the reader's buffer
// don't count.
func (c *conn) allow(bytes int) { c.readable = bytes }

// unread makes the last bytes that were read the next ones. It returns the memory that
// holds them, which is that of space if they fit.
func (c *conn) unread(b, space []byte) []byte {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	held := slices.Grow(space[:0], len(b)+len(buffered)+len(c.returned))
	held = append(append(append(held, b...), buffered...), c.returned...)
	c.returned = held
	c.reader.Reset(c)
	return held
}

// pending returns how many bytes can be read without reading from the socket.
func (c *conn) pending() int { return c.reader.Buffered() + len(c.returned) }

// Read reads what was returned, and then from the socket. It returns ErrTooLong once the allowed bytes have been read.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.returned) > 0 {
		n := copy(p, c.returned)
		c.returned = c.returned[n:]
		return n, nil
	}
	if c.readable <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readable)])
	if c.readable != unbounded {
		c.readable -= n
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// abort makes pending and later reads and writes fail at once.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.Conn.Close() }

// DialTCP opens a TCP connection with keep-alive probes frequent enough to detect
// a dead peer within seconds. Errors carry the step and the address.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	c, err := d.DialContext(ctx, "tcp", address)
	return c, cyclam.AtStep("connect", address, err)
}

// Keep-alive probes detect a dead connection within
// probeIdle + probeCount * probeInterval.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// get returns an idle connection that can be reused, or a new one if there is none or if
// fresh is set.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(time.Now())
		if c == nil {
			break
		}
		idleFor := time.Since(c.idleSince)
		if idleFor < c.idleTimeout && c.stopIdleRead() {
			c.rested, c.reused, c.written = idleFor, true, 0
			return c, nil
		}
		c.close()
	}
	return p.open(ctx)
}

// take removes an idle connection from the pool: the one used last of those that have been
// idle for restTime, as an upstream drops connections that are idle for long; without such
// a one, the one that has been idle for longest.
func (p *Pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	chosen := 0
	for i, c := range p.idle {
		if now.Sub(c.idleSince) >= restTime {
			chosen = i
		}
	}
	c := p.idle[chosen]
	p.idle = slices.Delete(p.idle, chosen, chosen+1)
	return c
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = DialTCP
	}
	raw, err := dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:        frame.NewConn(raw),
		readable:    unbounded,
		idleTimeout: defaultIdleTimeout,
	}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// readBufferSize, in bytes, is large enough for the header of most answers.
const readBufferSize = 4 << 10

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	c.startIdleRead()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// startIdleRead reads in the background while the connection is idle. Anything
// that arrives then, whether a close or unsolicited bytes, makes the connection
// unusable.
func (c *conn) startIdleRead() {
	c.idleRead = make(chan error, 1)
	go func(result chan<- error) {
		_, err := c.reader.Peek(1)
		result <- err
	}(c.idleRead)
}

// stopIdleRead ends the idle read and reports whether the connection can be
// reused. It can if the read ended by the deadline alone: no bytes came and the
// upstream did not close.
func (c *conn) stopIdleRead() bool {
	c.abort()
	err := <-c.idleRead
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// Expire closes the connections that have been idle for their idle timeout.
func (p *Pool) Expire() {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) >= c.idleTimeout {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// idleTimeoutShare is the fraction of the upstream's advertised idle timeout
// during which a connection is reused, so that the upstream does not close it
// first.
const idleTimeoutShare = 0.7

// parseKeepAlive returns how long a connection may stay idle according to the
// Keep-Alive header of an answer, or defaultIdleTimeout if it does not say.
func parseKeepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutShare * float64(cyclam.Span(seconds, time.Second)))
		}
	}
	return defaultIdleTimeout
}
