package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
)

// revokeTimeout bounds one request that revokes an attempt. Past the deadline, requests
// go on for as long, because an offer may have been delayed on its way.
const revokeTimeout = time.Second

// lateRevocation is the time from which the confirmation of a revocation is logged as late.
const lateRevocation = 400 * time.Millisecond

// revoke tells the node in the background that the answer is no longer needed. It retries
// until the node has confirmed it or the attempt's deadline has passed: the node does not
// end a run because a connection is lost.
func (a *attempt) revoke() {
	if a.target.Endpoint.Identity == a.node.self {
		if id, err := codec.DecodeAttempt(a.offer.Attempt); err == nil {
			a.node.revoke(id)
		}
		return
	}
	a.node.revocations.Add(1)
	began := time.Now()
	go func() {
		defer a.node.revocations.Add(-1)
		ctx, cancel := context.WithDeadline(context.Background(), a.deadline.Add(revokeTimeout))
		defer cancel()
		for failures := 0; ; failures++ {
			err := a.requestRevoke(ctx)
			took := time.Since(began)
			if err == nil {
				a.node.meters.revocation.Update(took)
				if took > lateRevocation {
					a.node.Log.Info("revocation-late", append(a.logFields(), "failures", failures, "took", took)...)
				}
				return
			}
			if ctx.Err() != nil {
				a.node.Log.Debug("revoke-failed", append(a.logFields(), "failures", failures, "error", err)...)
				return
			}
			sleep(ctx, resumePause)
		}
	}()
}

// requestRevoke sends one request that revokes the attempt. If nothing is received
// meanwhile, another connection is tried.
func (a *attempt) requestRevoke(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	l := a.node.link(a.target.Endpoint.Control)
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	replied := make(chan struct{})
	go l.awaitReply(ctx, conn, replied, a.ackLimit(), "revocation", nil)
	_, err = wire.NewDoorClient(conn).Revoke(ctx, &wire.CancelRequest{
		Attempt:     a.offer.Attempt,
		Instance:    a.offer.Instance,
		Incarnation: a.offer.Incarnation,
	})
	close(replied)
	return cyclam.AtStep("revoke", l.address, err)
}
