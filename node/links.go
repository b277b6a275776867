package node

import (
	"context"
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// backlogLimit is how many messages may wait on a link; a peer that lags more
// is closed and starts over with a comparison.
const backlogLimit = 4096

var errBacklog = errors.New("peer does not keep up")

// link is the sending side of one link.
type link struct {
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	backlog []cyclam.Message
	closing bool
}

// stream is what both ends of a gRPC link offer.
type stream interface {
	Send(*wire.Envelope) error
	Recv() (*wire.Envelope, error)
}

func newLink(cancel context.CancelFunc) *link {
	return &link{
		cancel: cancel,
		wake:   make(chan struct{}, 1),
	}
}

func (l *link) push(messages []cyclam.Message) {
	l.mu.Lock()
	l.backlog = append(l.backlog, messages...)
	l.mu.Unlock()
	l.signal()
}

func (l *link) close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns everything that waits, and whether the link ends after it.
func (l *link) take() ([]cyclam.Message, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	messages := l.backlog
	l.backlog = nil
	return messages, l.closing
}

// pump sends what waits, all of it in one envelope, until the link ends.
func (l *link) pump(ctx context.Context, s stream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		messages, closing := l.take()
		if len(messages) > backlogLimit {
			return errBacklog
		}
		if len(messages) > 0 {
			envelope, err := codec.Pack(messages)
			if err != nil {
				return err
			}
			if err := s.Send(envelope); err != nil {
				return errors.Wrap(err, "send")
			}
		}
		if closing {
			return nil
		}
	}
}

// sendLink queues messages; it runs under the node's lock and keeps their order.
func (n *Node) sendLink(e cyclam.SendLink) {
	if l, ok := n.links[e.Link]; ok {
		l.push(e.Messages)
	}
}

func (n *Node) closeLink(e cyclam.CloseLink) {
	if l, ok := n.links[e.Link]; ok {
		n.Log.Debug("link-closing", "link", e.Link, "reason", e.Reason)
		l.close()
	}
}

// openLink connects to another node in the background.
func (n *Node) openLink(e cyclam.OpenLink) {
	ctx, cancel := context.WithCancel(n.ctx)
	l := newLink(cancel)
	n.links[e.Link] = l
	go func() {
		err := n.runOutgoing(ctx, e, l)
		n.dropLink(e.Link, cyclam.AtStep("link", e.Address, err))
	}()
}

func (n *Node) runOutgoing(ctx context.Context, e cyclam.OpenLink, l *link) error {
	defer l.cancel()
	counter := &byteCounter{
		meters: n.meters,
	}
	conn, err := grpc.NewClient(e.Address, n.dialOptions(counter)...)
	if err != nil {
		return err
	}
	defer conn.Close()
	s, err := wire.NewPeerClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	n.dispatch(cyclam.LinkOpened{
		Stamp: stamp(),
		Link:  e.Link,
	})
	return n.runLink(ctx, e.Link, l, s, counter)
}

// peerServer takes links and cancels from other nodes.
type peerServer struct {
	wire.UnimplementedPeerServer
	node *Node
}

// Link runs the feeding end of a link.
func (p *peerServer) Link(s grpc.BidiStreamingServer[wire.Envelope, wire.Envelope]) error {
	n := p.node
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	id := cyclam.LinkID(n.nextLink.Add(1))
	l := newLink(cancel)
	n.mu.Lock()
	n.links[id] = l
	n.mu.Unlock()
	n.dispatch(cyclam.LinkAccepted{
		Stamp: stamp(),
		Link:  id,
	})
	err := n.runLink(ctx, id, l, s, nil)
	n.dropLink(id, err)
	return err
}

// runLink pumps both directions until either ends.
func (n *Node) runLink(ctx context.Context, id cyclam.LinkID, l *link, s stream, counter *byteCounter) error {
	done := make(chan error, 2)
	go func() { done <- l.pump(ctx, s) }()
	go func() { done <- n.receive(id, s, counter) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) receive(id cyclam.LinkID, s stream, counter *byteCounter) error {
	for {
		envelope, err := s.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		messages, err := codec.Unpack(envelope)
		if err != nil {
			n.meters.malformed.Inc(1)
			return err
		}
		counter.notePeer(n.self.Locality, messages)
		n.dispatch(cyclam.LinkReceived{
			Stamp:    stamp(),
			Link:     id,
			Messages: messages,
		})
	}
}

func (n *Node) dropLink(id cyclam.LinkID, err error) {
	n.mu.Lock()
	delete(n.links, id)
	n.mu.Unlock()
	n.dispatch(cyclam.LinkClosed{
		Stamp: stamp(),
		Link:  id,
		Err:   err,
	})
}
