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

// maxBacklog is the maximum number of messages queued on a link. A link with
// more is closed; when the peer reconnects, the two sides compare their states
// and exchange the difference.
const maxBacklog = 4096

var errBacklog = errors.New("send backlog exceeds the limit: peer is too slow")

// link is the send queue of one link.
type link struct {
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	backlog []cyclam.Message
	closing bool
}

// stream is the part of a gRPC stream that client and server have in common.
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

// drain returns all queued messages and reports whether the link is to close
// after them.
func (l *link) drain() ([]cyclam.Message, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	messages := l.backlog
	l.backlog = nil
	return messages, l.closing
}

// sendLoop sends the queued messages, batched into one envelope, until the link
// closes.
func (l *link) sendLoop(ctx context.Context, s stream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		messages, closing := l.drain()
		if len(messages) > maxBacklog {
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

// sendLink queues messages on a link. It runs under the node's lock, which
// preserves their order.
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

// openLink connects to another node in the background and runs the link until
// it closes.
func (n *Node) openLink(e cyclam.OpenLink) {
	ctx, cancel := context.WithCancel(n.ctx)
	l := newLink(cancel)
	n.links[e.Link] = l
	go func() {
		err := n.runOutgoingLink(ctx, e, l)
		n.dropLink(e.Link, cyclam.AtStep("link", e.Address, err))
	}()
}

func (n *Node) runOutgoingLink(ctx context.Context, e cyclam.OpenLink, l *link) error {
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

// peerServer serves links and cancels from other nodes.
type peerServer struct {
	wire.UnimplementedPeerServer
	node *Node
}

// Link serves a link that another node has opened, as the parent's side of it.
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

// runLink sends and receives on a link until either direction ends.
func (n *Node) runLink(ctx context.Context, id cyclam.LinkID, l *link, s stream, counter *byteCounter) error {
	done := make(chan error, 2)
	go func() { done <- l.sendLoop(ctx, s) }()
	go func() { done <- n.receiveLoop(id, s, counter) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) receiveLoop(id cyclam.LinkID, s stream, counter *byteCounter) error {
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
		counter.observe(n.self.Locality, messages)
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
