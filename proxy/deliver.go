package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// errLacksDeliver means that the other node is of an older build, which has not read the offer.
var errLacksDeliver = errors.New("node takes bodies only with their offers")

// grantedBytes is the size from which on a body waits for a grant, in bytes. Smaller ones save
// the round trip.
const grantedBytes = 24 << 10

// deliveredPiece is the size of the pieces of a granted body, in bytes: that of a frame, so that
// small messages on the connection come between them.
const deliveredPiece = 16 << 10

// delivers reports whether the attempt's body waits for a grant of a node.
func (a *attempt) delivers(conn *linkConn) bool {
	return len(a.offer.Body) >= grantedBytes && !a.offer.Resume && !conn.lacksDeliver.Load()
}

// announce offers the attempt without its body. The body is sent once the node has granted it.
func (a *attempt) announce(ctx context.Context, conn grpc.ClientConnInterface, o *wire.Offer) (grpc.BidiStreamingClient[wire.Offer, wire.Replies], error) {
	body := o.Body
	o.Body, o.BodyBytes = nil, uint64(len(body))
	defer func() { o.Body, o.BodyBytes = body, 0 }()
	stream, err := wire.NewDoorClient(conn).Deliver(withHeadSize(ctx, o))
	if err != nil {
		return nil, err
	}
	if err := stream.Send(o); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	attempt := o.Attempt
	a.granted = sync.OnceFunc(func() { go a.deliver(ctx, stream, attempt, body) })
	return stream, nil
}

// deliver sends the body that the node has granted. If the stream ends meanwhile, the reader of
// the replies finds out why.
func (a *attempt) deliver(ctx context.Context, stream grpc.ClientStream, attempt *wire.Attempt, body []byte) {
	pacer := &a.node.pacer
	if wait := pacer.prepay(len(body)); wait > 0 && !sleep(ctx, wait) {
		pacer.forgive(len(body))
		return
	}
	for len(body) > deliveredPiece {
		if stream.SendMsg(&wire.Offer{
			Body: body[:deliveredPiece],
		}) != nil {
			pacer.forgive(len(body))
			return
		}
		body = body[deliveredPiece:]
	}
	last := &wire.Offer{
		Attempt: attempt,
		Body:    body,
	}
	a.stampOffer(last, time.Now())
	if stream.SendMsg(last) == nil {
		_ = stream.CloseSend()
	}
}
