// Package memnet connects listeners and dialers of one process without sockets. A goroutine
// that waits for such a connection waits for a channel, so that the clock of a testing/synctest
// bubble advances, which it does not while one waits for a socket.
package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// windowSize bounds the bytes that a connection holds in each direction until they are
	// read, as the buffers of sockets on a loopback interface do.
	windowSize = 4 << 20
	// connectTime is how long it takes to open a connection. Without it no time would pass in
	// a loop of requests on a paused clock.
	connectTime = 500 * time.Microsecond
)

// Network is a set of listeners. The zero value is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
	lastPort  int
}

// Close closes all connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// Address returns an address of the network that was not returned before.
func (n *Network) Address() string { return n.address().String() }

func (n *Network) address() *net.TCPAddr {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	// No socket listens there, so that a dial that bypasses the network is refused.
	return &net.TCPAddr{
		IP:   net.IPv4(127, 254, 0, byte(1+n.lastPort>>16)),
		Port: n.lastPort & 0xffff,
	}
}

// Listen opens a listener at an address of the network.
func (n *Network) Listen(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, opError("listen", at, syscall.EADDRINUSE)
	}
	l := &listener{
		network: n,
		at:      at,
		waiting: make(chan net.Conn, 128),
		closed:  make(chan struct{}),
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener. Without one at the address the connection is refused.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	select {
	case <-time.After(connectTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, opError("dial", at, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	near, far := pair(n.address(), at)
	n.mu.Lock()
	n.conns = append(n.conns, near, far)
	n.mu.Unlock()
	select {
	case l.waiting <- far:
		return near, nil
	case <-l.closed:
		return nil, opError("dial", at, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func opError(op string, at net.Addr, err error) error {
	return &net.OpError{
		Op:   op,
		Net:  "tcp",
		Addr: at,
		Err:  err,
	}
}

type listener struct {
	network *Network
	at      *net.TCPAddr
	waiting chan net.Conn
	closing sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.at, net.ErrClosed)
	}
}

// Close closes the listener and the connections that it has not returned.
func (l *listener) Close() error {
	l.closing.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.at.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.waiting:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.at }

// stream is one direction of a connection.
type stream struct {
	mu sync.Mutex
	// held is what was written and not read; ended is set once nothing more is written,
	// left once nothing more is read, and reset if the reader left with bytes unread.
	held  []byte
	ended bool
	left  bool
	reset bool
	// changed is closed and replaced when any of these or a deadline changes.
	changed chan struct{}
	// readBy and writeBy are the deadlines; zero for none.
	readBy  time.Time
	writeBy time.Time
}

// update changes the stream and wakes those who wait for it.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.wake()
}

// wake wakes those who wait. The caller holds mu.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait waits for a change or the deadline. The caller holds mu, which is released meanwhile.
func (s *stream) wait(deadline time.Time) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.left:
			return 0, net.ErrClosed
		case expired(s.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		case len(s.held) > 0:
			count := copy(p, s.held)
			s.held = s.held[count:]
			s.wake()
			return count, nil
		case s.reset:
			return 0, syscall.ECONNRESET
		case s.ended:
			return 0, io.EOF
		}
		s.wait(s.readBy)
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for {
		room := min(windowSize-len(s.held), len(p)-written)
		switch {
		case s.ended:
			return written, net.ErrClosed
		case expired(s.writeBy):
			return written, os.ErrDeadlineExceeded
		case s.left:
			return written, syscall.EPIPE
		case room > 0 || len(p) == 0:
			s.held = append(s.held, p[written:written+room]...)
			written += room
			s.wake()
			if written == len(p) {
				return written, nil
			}
			continue
		}
		s.wait(s.writeBy)
	}
}
