package origin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn

	reader *bufio.Reader
	// idleSince and keep tell until when the connection may be used again.
	idleSince time.Time
	keep      time.Duration
	// watched delivers what a read during the idle time returned.
	watched chan error
}

// abort ends every read and write under way.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.Conn.Close() }

// DialTCP opens a connection whose loss short probes show.
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

// A dead connection shows within probeIdle + probeCount * probeInterval.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// take returns an idle connection that is still good, or a new one.
func (p *Pool) take(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.open(ctx)
		}
		pause := time.Since(c.idleSince)
		if pause < c.keep && (idempotent || pause < freshIdle) && c.wake() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
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
	return &conn{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, readBuffer),
		keep:   defaultIdle,
	}, nil
}

// readBuffer holds the header of most answers.
const readBuffer = 4 << 10

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	c.watch()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// watch reads while the connection is idle: whatever comes then, an end or bytes
// that nobody asked for, makes it unusable.
func (c *conn) watch() {
	c.watched = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.reader.Peek(1)
		done <- err
	}(c.watched)
}

// wake ends the idle read and reports whether the connection is still good.
func (c *conn) wake() bool {
	c.abort()
	err := <-c.watched
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// Expire closes the connections that have been idle for too long.
func (p *Pool) Expire() {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) >= c.keep {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// keepShare is the part of the upstream's idle timeout that is used.
const keepShare = 0.7

// keptFor returns how long an answer lets its connection be used again.
func keptFor(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(keepShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdle
}
