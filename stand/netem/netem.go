// Package netem emulates the network between data centres: it delays connections
// by the localities of their ends and partitions regions. Benchmarks and
// integration tests run the nodes of an in-process cluster over it.
package netem

import (
	"context"
	"net"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Network maps addresses to localities and keeps the emulated connections. Set its
// exported fields before the first dial.
type Network struct {
	// CentreDelay is the one-way delay between data centres of the same region.
	CentreDelay time.Duration
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration

	mu          sync.Mutex
	localities  map[string]cyclam.Locality
	partitioned bool
	conns       map[*conn]bool
}

// ErrPartitioned is returned by a dial to another region during a partition.
var ErrPartitioned = errors.New("network partition between regions")

// SetLocality registers the locality of an address.
func (n *Network) SetLocality(address string, at cyclam.Locality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.localities == nil {
		n.localities = map[string]cyclam.Locality{}
		n.conns = map[*conn]bool{}
	}
	n.localities[address] = at
}

// Partition drops all traffic between regions until Heal, and new dials between
// regions wait until their context ends.
func (n *Network) Partition() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = true
}

// Heal ends a partition and closes the connections that lost bytes, since their
// byte streams are no longer intact.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = false
	for c := range n.conns {
		if c.lossy {
			_ = c.Conn.Close()
		}
	}
}

// From returns the dial function of a node in the given locality.
func (n *Network) From(local cyclam.Locality) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		remote := n.localities[address]
		crossRegion := remote.Region != local.Region
		unreachable := n.partitioned && crossRegion
		n.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return nil, ErrPartitioned
		}
		var d net.Dialer
		inner, err := d.DialContext(ctx, "tcp", address)
		if err != nil || remote == local || !crossRegion && n.CentreDelay == 0 {
			return inner, err
		}
		return n.wrap(inner, n.delay(crossRegion), crossRegion), nil
	}
}

func (n *Network) delay(crossRegion bool) time.Duration {
	if crossRegion {
		return n.RegionDelay
	}
	return n.CentreDelay
}

// conn delays both directions of a connection. Each direction has a queue of
// packets with due times.
type conn struct {
	net.Conn
	network     *Network
	crossRegion bool
	// lossy is set once bytes were dropped; all later traffic is dropped too.
	lossy  bool
	out    chan packet
	in     chan packet
	unread []byte
	done   chan struct{}
	once   sync.Once
}

// packet is the data of one write or read, delivered at its due time.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// queueLength is how many packets one direction of a connection may hold.
const queueLength = 4096

func (n *Network) wrap(inner net.Conn, delay time.Duration, crossRegion bool) net.Conn {
	c := &conn{
		Conn:        inner,
		network:     n,
		crossRegion: crossRegion,
		out:         make(chan packet, queueLength),
		in:          make(chan packet, queueLength),
		done:        make(chan struct{}),
	}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.pumpOut()
	go c.pumpIn(delay)
	return &delayedConn{
		conn:  c,
		delay: delay,
	}
}

// delayedConn is the net.Conn that a dial returns: it reads from and writes to the
// queues of a conn.
type delayedConn struct {
	*conn
	delay time.Duration
}

// Write queues a copy of b for sending after the delay.
func (d *delayedConn) Write(b []byte) (int, error) {
	p := packet{
		data: append([]byte(nil), b...),
		due:  time.Now().Add(d.delay),
	}
	select {
	case d.out <- p:
		return len(b), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Read waits for the next packet to come due and returns its bytes.
func (d *delayedConn) Read(b []byte) (int, error) {
	if len(d.unread) == 0 {
		p, ok := <-d.in
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(p.due))
		if p.err != nil {
			return 0, p.err
		}
		d.unread = p.data
	}
	count := copy(b, d.unread)
	d.unread = d.unread[count:]
	return count, nil
}

// Close closes the connection after twice the delay, so that queued writes can
// leave.
func (d *delayedConn) Close() error {
	d.once.Do(func() {
		close(d.done)
		d.network.mu.Lock()
		delete(d.network.conns, d.conn)
		d.network.mu.Unlock()
		time.AfterFunc(2*d.delay, func() { _ = d.Conn.Close() })
	})
	return nil
}

// drops reports whether traffic sent now is lost, and marks the connection lossy
// if it is.
func (c *conn) drops() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.crossRegion && c.network.partitioned {
		c.lossy = true
	}
	return c.lossy
}

func (c *conn) pumpOut() {
	for {
		select {
		case p := <-c.out:
			time.Sleep(time.Until(p.due))
			if c.drops() {
				continue
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// readSize is the buffer size of one read in bytes.
const readSize = 32 << 10

func (c *conn) pumpIn(delay time.Duration) {
	defer close(c.in)
	buffer := make([]byte, readSize)
	for {
		count, err := c.Conn.Read(buffer)
		if count > 0 && c.drops() {
			continue
		}
		p := packet{
			data: append([]byte(nil), buffer[:count]...),
			due:  time.Now().Add(delay),
			err:  err,
		}
		select {
		case c.in <- p:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}
