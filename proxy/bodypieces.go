package proxy

import (
	"context"
	"io"
	"strconv"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/guard"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const (
	// bodyBytesKey is the metadata of an offer that announces the size of its body, and
	// headBytesKey that of the memory of its header, if that is large.
	bodyBytesKey = "body-bytes"
	headBytesKey = "head-bytes"
	// bodyPiecesKey is the metadata of an offer whose body is sent ahead in pieces.
	bodyPiecesKey = "body-pieces"
	// bodyPiece is the size of these pieces, in bytes. Each is held encoded on both sides
	// while it is sent.
	bodyPiece = 64 << 10
)

// wholeOffer describes a stream on which the offer is the only message: it ends the stream
// in the same frame.
var wholeOffer = grpc.StreamDesc{
	StreamName:    "Serve",
	ServerStreams: true,
}

// withHeadSize announces what the header of an offer needs of the memory of the node that gets
// it.
func withHeadSize(ctx context.Context, o *wire.Offer) context.Context {
	if head := offerHeadMemory(o); head > 0 {
		return metadata.AppendToOutgoingContext(ctx, headBytesKey, strconv.FormatInt(head, 10))
	}
	return ctx
}

// withSizes announces what an offer needs of the memory of the node that gets it.
func withSizes(ctx context.Context, o *wire.Offer) context.Context {
	ctx = withHeadSize(ctx, o)
	if len(o.Body) < announcedBytes {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, bodyBytesKey, strconv.Itoa(len(o.Body)), bodyPiecesKey, "1")
}

// offerHeadMemory returns the memory that counts for the header of an offer, in bytes.
func offerHeadMemory(o *wire.Offer) int64 {
	bytes := len(o.Target)
	for _, f := range o.Headers {
		bytes += len(f.Name) + len(f.Value)
	}
	return guard.HeadMemory(bytes, len(o.Headers))
}

// announced returns the size that the metadata of an offer announces; zero if none.
func announced(ctx context.Context, key string) int64 {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(key) {
		if size, err := strconv.ParseInt(text, 10, 64); err == nil && size > 0 && size <= maxMessageSize {
			return size
		}
	}
	return 0
}

// offerStream is a stream on which an offer with a large body arrives.
type offerStream struct {
	grpc.ServerStream

	size  int64
	share *bodyShare
	// kept is set once a job releases the share.
	kept bool
}

// RecvMsg receives the offer, and before it the pieces of its body, if there are any.
func (s *offerStream) RecvMsg(m any) error {
	offer, ok := m.(*wire.Offer)
	if !ok {
		return status.Errorf(codes.Internal, "message on offer stream: got %T", m)
	}
	var body []byte
	for {
		if err := s.ServerStream.RecvMsg(offer); err != nil {
			return err
		}
		if offer.Attempt != nil {
			break
		}
		if body == nil {
			body = make([]byte, 0, s.size)
		}
		if int64(len(body)+len(offer.Body)) > s.size {
			return status.Error(codes.InvalidArgument, "body is larger than announced")
		}
		body = append(body, offer.Body...)
	}
	if body != nil {
		offer.Body = body
	}
	s.share.shrink(s.size)
	return nil
}

type offerStreamKey struct{}

// Context returns the stream's context, in which keepBody finds the stream.
func (s *offerStream) Context() context.Context {
	return context.WithValue(s.ServerStream.Context(), offerStreamKey{}, s)
}

// keepBody lets a job release the memory of the body that has arrived on a stream, once it
// has ended.
func keepBody(ctx context.Context, j *job) {
	if s, ok := ctx.Value(offerStreamKey{}).(*offerStream); ok {
		s.kept = j.keepBody(s.share)
	}
}

// boundOffers refuses offers whose headers or bodies would exceed the node's memory before
// they are read.
func (n *Node) boundOffers(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	ctx := stream.Context()
	if head := announced(ctx, headBytesKey); head > 0 {
		share := n.heads.reserve(head)
		if share == nil {
			return n.refuseOffer(stream, limitHeads, head)
		}
		defer share.release()
	}
	size := announced(ctx, bodyBytesKey)
	if size == 0 {
		return handler(server, stream)
	}
	copies := int64(receivedCopies)
	if announced(ctx, bodyPiecesKey) > 0 {
		copies = 1
	}
	share := n.bodies.reserve(copies * size)
	if share == nil {
		return n.refuseOffer(stream, limitBodies, size)
	}
	s := &offerStream{
		ServerStream: stream,
		size:         size,
		share:        share,
	}
	defer func() {
		if !s.kept {
			share.release()
		}
	}()
	return handler(server, s)
}

// refuseOffer refuses an offer for lack of memory.
func (n *Node) refuseOffer(stream grpc.ServerStream, limit clientLimit, bytes int64) error {
	n.meters.countRefusal(cyclam.ReasonOverloaded)
	n.Log.Info("body-refused", "limit", limit, "bytes", bytes, "retry-after", bodyRetryAfter)
	// The offer may be addressed to another node, so that this one's load is left out.
	return stream.SendMsg(&wire.Replies{
		Replies: []*wire.Reply{declined(cyclam.ReasonOverloaded, bodyRetryAfter)},
	})
}

// serve sends an offer over a connection. An error means that it could not be sent; a node
// that refuses it before it has been sent whole says so in its reply.
func serve(ctx context.Context, conn grpc.ClientConnInterface, o *wire.Offer) (grpc.BidiStreamingClient[wire.Offer, wire.Replies], error) {
	ctx = withSizes(ctx, o)
	desc, body := &wholeOffer, o.Body
	if len(body) >= announcedBytes {
		desc = &wire.Door_ServiceDesc.Streams[0]
		o.Body = nil
		defer func() { o.Body = body }()
	} else {
		body = nil
	}
	stream, err := conn.NewStream(ctx, desc, wire.Door_Serve_FullMethodName, grpc.StaticMethod())
	if err != nil {
		return nil, err
	}
	if err := sendOffer(stream, o, body); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	return &grpc.GenericClientStream[wire.Offer, wire.Replies]{
		ClientStream: stream,
	}, nil
}

// sendOffer sends the pieces of a body and the offer. It returns io.EOF if the other node has
// answered before that.
func sendOffer(stream grpc.ClientStream, o *wire.Offer, body []byte) error {
	for len(body) > 0 {
		size := min(bodyPiece, len(body))
		if err := stream.SendMsg(&wire.Offer{
			Body: body[:size],
		}); err != nil {
			return err
		}
		body = body[size:]
	}
	return stream.SendMsg(o)
}
