package proxy

import (
	"context"
	"net"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// peerServer takes attempts, cancels and knowledge from other nodes.
type peerServer struct {
	wire.UnimplementedDoorServer
	node *Node
}

func (n *Node) servePeers(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(messageLimit),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.SharedWriteBuffer(true),
	)
	wire.RegisterDoorServer(server, &peerServer{
		node: n,
	})
	group.Go(func() error {
		return cyclam.AtStep("serve nodes", listener.Addr().String(), server.Serve(listener))
	})
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		return nil
	})
}

// Serve runs an attempt, or joins one that is under way, and streams its
// replies from the first one on.
func (p *peerServer) Serve(offer *wire.Offer, stream grpc.ServerStreamingServer[wire.Replies]) error {
	n := p.node
	n.noteVersion(cyclam.Version(offer.Version), cyclam.InstanceName(offer.GetAttempt().GetInstance()))
	j, settled := n.admit(offer)
	if settled != nil {
		load := n.load()
		if offer.Instance != string(n.self.Instance) {
			load.Incarnation = 0
		}
		return stream.Send(&wire.Replies{
			Load:    load,
			Replies: []*wire.Reply{settled},
		})
	}
	j.attach()
	defer n.release(j)
	sent := 0
	for at := 0; ; {
		ready, err := j.next(stream.Context(), at)
		if err != nil || len(ready) == 0 {
			return err
		}
		at += len(ready)
		sent += bodySize(ready)
		for _, part := range splitChunks(ready, sent >= largeAnswerBytes) {
			n.pacer.uncommit(j.unpromise(bodySize(part)))
			if wait := n.pacer.reserve(bodySize(part)); sent >= largeAnswerBytes && !sleep(stream.Context(), wait) {
				return stream.Context().Err()
			}
			if err := stream.Send(n.batch(part)); err != nil {
				return err
			}
		}
	}
}

// batch adds the load to replies, unless they only carry on a body.
func (n *Node) batch(replies []*wire.Reply) *wire.Replies {
	b := &wire.Replies{
		Replies: replies,
	}
	if _, body := replies[0].Kind.(*wire.Reply_Chunk); !body || len(replies) > 1 {
		b.Load = n.load()
	}
	return b
}

// Revoke gives an attempt up.
func (p *peerServer) Revoke(_ context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	attempt, err := codec.DecodeAttempt(r.Attempt)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	meant := cyclam.Identity{
		Instance:    cyclam.InstanceName(r.Instance),
		Incarnation: cyclam.Incarnation(r.Incarnation),
	}
	if meant != p.node.self {
		return &wire.CancelReply{}, nil
	}
	return &wire.CancelReply{
		Confirmed: p.node.revoke(attempt),
	}, nil
}

// Exchange answers with what the other node lacks.
func (p *peerServer) Exchange(_ context.Context, k *wire.Knowledge) (*wire.Knowledge, error) {
	p.node.learn(k)
	reply := p.node.knowledge(cyclam.Version(k.Version), k.Full)
	reply.Full = !p.node.Ready() && !p.node.stopping.Load()
	return reply, nil
}
