// Package netem is a stand-in for the network between data centres: it delays
// connections by the places they join and cuts regions apart.
package netem

import (
	"context"
	"net"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Network knows where addresses are; set its fields before the first Dial.
type Network struct {
	// CentreDelay is the one-way delay between data centres of a region.
	CentreDelay time.Duration
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration

	mu     sync.Mutex
	places map[string]cyclam.Locality
	cut    bool
	conns  map[*conn]bool
}

// ErrPartitioned is returned while regions are cut apart.
var ErrPartitioned = errors.New("regions are cut apart")

// SetLocality says where an address is.
func (n *Network) SetLocality(address string, at cyclam.Locality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[string]cyclam.Locality{}
		n.conns = map[*conn]bool{}
	}
	n.places[address] = at
}

// Partition swallows everything between regions until Heal.
func (n *Network) Partition() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = true
}

// Heal ends a cut; connections that lost bytes break.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = false
	for c := range n.conns {
		if c.lossy {
			_ = c.Conn.Close()
		}
	}
}

// From returns a dial function for a node at a place.
func (n *Network) From(here cyclam.Locality) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		there := n.places[address]
		foreign := there.Region != here.Region
		cut := n.cut && foreign
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ErrPartitioned
		}
		var d net.Dialer
		inner, err := d.DialContext(ctx, "tcp", address)
		if err != nil || there == here || !foreign && n.CentreDelay == 0 {
			return inner, err
		}
		return n.wrap(inner, n.delay(foreign), foreign), nil
	}
}

func (n *Network) delay(foreign bool) time.Duration {
	if foreign {
		return n.RegionDelay
	}
	return n.CentreDelay
}

// conn delays both directions of a connection.
type conn struct {
	net.Conn
	network *Network
	foreign bool
	lossy   bool
	out     chan packet
	in      chan packet
	rest    []byte
	done    chan struct{}
	once    sync.Once
}

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// packets is how many writes may be under way on one connection.
const packets = 4096

func (n *Network) wrap(inner net.Conn, delay time.Duration, foreign bool) net.Conn {
	c := &conn{
		Conn:    inner,
		network: n,
		foreign: foreign,
		out:     make(chan packet, packets),
		in:      make(chan packet, packets),
		done:    make(chan struct{}),
	}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.pumpOut()
	go c.pumpIn(delay)
	return &delayed{
		conn:  c,
		delay: delay,
	}
}

// delayed is the caller's side of a conn.
type delayed struct {
	*conn
	delay time.Duration
}

// Write queues the bytes.
func (d *delayed) Write(b []byte) (int, error) {
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

// Read returns bytes that are due.
func (d *delayed) Read(b []byte) (int, error) {
	if len(d.rest) == 0 {
		p, ok := <-d.in
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(p.due))
		if p.err != nil {
			return 0, p.err
		}
		d.rest = p.data
	}
	count := copy(b, d.rest)
	d.rest = d.rest[count:]
	return count, nil
}

// Close closes the connection once what was written has left.
func (d *delayed) Close() error {
	d.once.Do(func() {
		close(d.done)
		d.network.mu.Lock()
		delete(d.network.conns, d.conn)
		d.network.mu.Unlock()
		time.AfterFunc(2*d.delay, func() { _ = d.Conn.Close() })
	})
	return nil
}

// swallows reports whether the network loses what is sent now.
func (c *conn) swallows() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.foreign && c.network.cut {
		c.lossy = true
	}
	return c.lossy
}

func (c *conn) pumpOut() {
	for {
		select {
		case p := <-c.out:
			time.Sleep(time.Until(p.due))
			if c.swallows() {
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

// readSize is the size in bytes of one read.
const readSize = 32 << 10

func (c *conn) pumpIn(delay time.Duration) {
	defer close(c.in)
	buffer := make([]byte, readSize)
	for {
		count, err := c.Conn.Read(buffer)
		if count > 0 && c.swallows() {
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
