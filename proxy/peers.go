package proxy

import (
	"context"
	"net"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// peerServer handles attempts, revocations and knowledge exchanges from other nodes.
type peerServer struct {
	wire.UnimplementedDoorServer
	node *Node
}

const (
	// handshakeTimeout bounds the time in which another node sends its first frames.
	handshakeTimeout = 5 * time.Second
	// peerHeaderBytes bounds the header of a call between nodes.
	peerHeaderBytes = 16 << 10
	// prefaceBytes is the length of what a connection of another node begins with.
	prefaceBytes = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
)

// servePeers runs the gRPC server for other nodes until the context ends.
func (n *Node) servePeers(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	n.peers = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.StreamInterceptor(n.boundOffers),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.SharedWriteBuffer(true),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(peerHeaderBytes),
	)
	wire.RegisterDoorServer(n.peers, &peerServer{
		node: n,
	})
	group.Go(func() error {
		return cyclam.AtStep("serve other nodes", listener.Addr().String(), n.peers.Serve(&pacedListener{
			Listener: &ConnLimit{
				Listener:    listener,
				Most:        n.clientLimits.Peers,
				Clients:     n.Clients,
				Limit:       string(limitPeers),
				ServedAfter: prefaceBytes,
			},
			pacer:  &n.pacer,
			onRead: n.inbound.countRead,
		}))
	})
	group.Go(func() error {
		<-ctx.Done()
		n.peers.Stop()
		return nil
	})
}

// Serve runs an attempt, or joins one that is in progress, and streams its replies from
// the first one on.
func (p *peerServer) Serve(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies]) error {
	n := p.node
	offer, err := stream.Recv()
	if err != nil {
		return err
	}
	n.noteVersion(cyclam.Version(offer.Version), cyclam.InstanceName(offer.GetAttempt().GetInstance()))
	return p.run(stream, offer, func(j *job) { keepBody(stream.Context(), j) })
}

// sendFinal sends the only reply to an offer.
func (n *Node) sendFinal(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies], offer *wire.Offer, final *wire.Reply) error {
	load := n.load()
	if offer.Instance != string(n.self.Instance) {
		load.Incarnation = 0
	}
	return stream.Send(&wire.Replies{
		Load:    load,
		Replies: []*wire.Reply{final},
	})
}

// run runs an attempt whose offer has arrived, or joins one that is in progress, and streams its
// replies. keep is called with the job.
func (p *peerServer) run(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies], offer *wire.Offer, keep func(*job)) error {
	n := p.node
	j, final := n.admit(offer)
	if final != nil {
		return n.sendFinal(stream, offer, final)
	}
	keep(j)
	reader := j.attach()
	defer n.release(j, reader)
	sent := 0
	for {
		ready, err := j.next(stream.Context(), reader)
		if errors.Is(err, errNotRetained) {
			return stream.Send(n.batch([]*wire.Reply{ended(cyclam.ReasonAnswerNotRetained)}))
		}
		if err != nil || len(ready) == 0 {
			return err
		}
		sent += bodySize(ready)
		for _, part := range splitChunks(ready, sent >= largeAnswerBytes) {
			n.pacer.uncommit(j.uncommit(bodySize(part)))
			if wait := n.pacer.prepay(bodySize(part)); sent >= largeAnswerBytes && !sleep(stream.Context(), wait) {
				n.pacer.forgive(bodySize(part))
				return stream.Context().Err()
			}
			if err := stream.Send(n.batch(part)); err != nil {
				return err
			}
		}
	}
}

// batch returns a message with the replies. It includes the node's load unless the only
// reply is a piece of the body.
func (n *Node) batch(replies []*wire.Reply) *wire.Replies {
	b := &wire.Replies{
		Replies: replies,
	}
	if _, body := replies[0].Kind.(*wire.Reply_Chunk); !body || len(replies) > 1 {
		b.Load = n.load()
	}
	return b
}

// Revoke cancels an attempt and reports whether it is certain not to run.
func (p *peerServer) Revoke(_ context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	attempt, err := codec.DecodeAttempt(r.Attempt)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	target := cyclam.Identity{
		Instance:    cyclam.InstanceName(r.Instance),
		Incarnation: cyclam.Incarnation(r.Incarnation),
	}
	if target != p.node.self {
		return &wire.CancelReply{}, nil
	}
	return &wire.CancelReply{
		Confirmed: p.node.revoke(attempt),
	}, nil
}

// Confirm records that the sender of an attempt still wants it.
func (p *peerServer) Confirm(_ context.Context, c *wire.Confirmation) (*wire.ConfirmationReply, error) {
	attempt, err := codec.DecodeAttempt(c.Attempt)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	target := cyclam.Identity{
		Instance:    cyclam.InstanceName(c.Instance),
		Incarnation: cyclam.Incarnation(c.Incarnation),
	}
	if target == p.node.self {
		p.node.noteWord(attempt, c)
	}
	return &wire.ConfirmationReply{}, nil
}

// Exchange merges the other node's knowledge and returns what that node lacks. While
// this node is not ready, it asks for the whole fleet.
func (p *peerServer) Exchange(_ context.Context, k *wire.Knowledge) (*wire.Knowledge, error) {
	p.node.applyKnowledge(k)
	reply := p.node.knowledgeFor(audience{
		region: cyclam.Region(k.Self.GetRegion()),
		brief:  k.Brief,
	}, cyclam.InstanceName(k.Self.GetInstance()), configIDOf(k), k.Full)
	reply.Full = !p.node.Ready() && !p.node.stopping.Load()
	return reply, nil
}
