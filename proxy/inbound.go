package proxy

import (
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// inbound decides when the large bodies that other nodes announce are sent over the machine's
// link.
type inbound struct {
	mu    sync.Mutex
	state pace.Inbound
	last  uint64
	// undecided holds where the decisions on announced bodies are awaited.
	undecided map[uint64]chan pace.Decision
	// timer makes decisions that no event causes.
	timer *time.Timer
}

// announcedBody is a body that another node has announced.
type announcedBody struct {
	inbound *inbound
	id      uint64
	decided <-chan pace.Decision
}

// announce adds a body. It has to be ended, whatever becomes of it.
func (b *inbound) announce(t pace.Transfer) *announcedBody {
	decided := make(chan pace.Decision, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	t.ID = b.last
	if b.undecided == nil {
		b.undecided = map[uint64]chan pace.Decision{}
	}
	b.undecided[t.ID] = decided
	b.apply(b.state.Announce(time.Now(), t))
	return &announcedBody{
		inbound: b,
		id:      t.ID,
		decided: decided,
	}
}

// received counts bytes of the body that have arrived.
func (a *announcedBody) received(bytes int) {
	b := a.inbound
	b.mu.Lock()
	defer b.mu.Unlock()
	// They have been counted as they were read from the connection.
	b.state = b.state.WithOther(time.Now(), -bytes)
	b.apply(b.state.Receive(time.Now(), a.id, bytes))
}

// end removes a body that has arrived, or is not sent any more.
func (a *announcedBody) end() {
	b := a.inbound
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.undecided, a.id)
	b.apply(b.state.End(time.Now(), a.id))
}

// countRead counts bytes that have been read from a connection to another node.
func (b *inbound) countRead(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.WithOther(time.Now(), bytes)
}

// backlog returns how long a body that is announced now would wait.
func (b *inbound) backlog(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Backlog(now)
}

// apply replaces the state, passes on the decisions, and sets the timer. The caller holds mu.
func (b *inbound) apply(state pace.Inbound, decisions []pace.Decision) {
	b.state = state
	for _, d := range decisions {
		if decided, ok := b.undecided[d.ID]; ok {
			decided <- d
			delete(b.undecided, d.ID)
		}
	}
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	now := time.Now()
	if next, ok := state.Next(now); ok {
		b.timer = time.AfterFunc(next.Sub(now), b.tick)
	}
}

func (b *inbound) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.state.Tick(time.Now()))
}

// Deliver runs an attempt like Serve, once its body has been granted and has arrived.
func (p *peerServer) Deliver(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies]) error {
	n := p.node
	offer, err := stream.Recv()
	if err != nil {
		return err
	}
	if offer.Attempt == nil || offer.BodyBytes == 0 || offer.BodyBytes > maxMessageSize {
		return status.Errorf(codes.InvalidArgument, "offer of a body of %d bytes", offer.BodyBytes)
	}
	n.noteVersion(cyclam.Version(offer.Version), cyclam.InstanceName(offer.GetAttempt().GetInstance()))
	if refusal := n.foresee(offer); refusal != nil {
		return n.sendFinal(stream, offer, refusal)
	}
	share, refusal, err := n.receiveBody(stream, offer)
	switch {
	case err != nil:
		return err
	case refusal != nil:
		return n.sendFinal(stream, offer, refusal)
	}
	kept := false
	defer func() {
		if !kept {
			share.release()
		}
	}()
	return p.run(stream, offer, func(j *job) { kept = j.keepBody(share) })
}

// receiveBody has the body of an offer sent once the link has room for it, and returns the share
// of its memory. A reply means that the offer is refused; the body has not been sent then.
func (n *Node) receiveBody(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies], offer *wire.Offer) (*bodyShare, *wire.Reply, error) {
	now := time.Now()
	deadline, goal := n.endsOf(offer, now)
	announced := n.inbound.announce(pace.Transfer{
		Bytes:        int(offer.BodyBytes),
		Priority:     int(offer.Priority),
		SoftDeadline: goal,
		Deadline:     deadline,
		Work:         n.expectedStay(offer.Route, now),
	})
	defer announced.end()
	decision, err := n.awaitDecision(stream, announced)
	if err != nil {
		return nil, nil, err
	}
	if !decision.Granted {
		n.meters.countRefusal(cyclam.ReasonOverloaded)
		n.Log.Debug("body-has-no-room", "id", string(offer.Id), "bytes", offer.BodyBytes, "waited", time.Since(now), "after", decision.RetryAfter)
		return nil, declined(cyclam.ReasonOverloaded, decision.RetryAfter), nil
	}
	n.meters.grantWait.UpdateSince(now)
	if refusal := n.foresee(offer); refusal != nil {
		return nil, refusal, nil
	}
	share := n.bodies.reserve(int64(offer.BodyBytes))
	if share == nil {
		n.meters.countRefusal(cyclam.ReasonOverloaded)
		return nil, declined(cyclam.ReasonOverloaded, bodyRetryAfter), nil
	}
	err = stream.Send(n.batch([]*wire.Reply{{Kind: &wire.Reply_Granted{Granted: &wire.Granted{}}}}))
	if err == nil {
		err = announced.receive(stream, offer)
	}
	if err != nil {
		share.release()
		return nil, nil, err
	}
	return share, nil, nil
}

// awaitDecision waits until an announced body is granted or refused. If that takes time, its sender
// is told first that the announcement has arrived.
func (n *Node) awaitDecision(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies], announced *announcedBody) (pace.Decision, error) {
	select {
	case decision := <-announced.decided:
		return decision, nil
	default:
	}
	if err := stream.Send(n.batch([]*wire.Reply{{Kind: &wire.Reply_Noted{Noted: &wire.Noted{}}}})); err != nil {
		return pace.Decision{}, err
	}
	select {
	case decision := <-announced.decided:
		return decision, nil
	case <-stream.Context().Done():
		return pace.Decision{}, stream.Context().Err()
	}
}

// receive receives the body of an offer. Its last piece tells when it was sent, and how long its
// sender waits from then on.
func (a *announcedBody) receive(stream grpc.BidiStreamingServer[wire.Offer, wire.Replies], offer *wire.Offer) error {
	body := make([]byte, 0, offer.BodyBytes)
	for {
		piece, err := stream.Recv()
		if err != nil {
			return err
		}
		if uint64(len(body)+len(piece.Body)) > offer.BodyBytes {
			return status.Error(codes.InvalidArgument, "body is larger than announced")
		}
		body = append(body, piece.Body...)
		a.received(len(piece.Body))
		if piece.Attempt == nil {
			continue
		}
		if uint64(len(body)) < offer.BodyBytes {
			return status.Error(codes.InvalidArgument, "body is smaller than announced")
		}
		offer.Body = body
		offer.RemainingUs, offer.GoalUs, offer.SentUs = piece.RemainingUs, piece.GoalUs, piece.SentUs
		return nil
	}
}

// endsOf returns when the sender of an offer that is received now stops waiting, and when it wants
// the answer.
func (n *Node) endsOf(offer *wire.Offer, now time.Time) (deadline, goal time.Time) {
	remaining := microseconds(offer.RemainingUs)
	sentAt := intent.SentAt(now, n.timeOf(offer.SentUs), remaining)
	return intent.Deadline(now, sentAt, remaining), intent.Deadline(now, sentAt, microseconds(offer.GoalUs))
}

// foresee returns the refusal of an offer that would be refused as things stand, before its body
// is sent; nil if there is none.
func (n *Node) foresee(offer *wire.Offer) *wire.Reply {
	attempt, err := codec.DecodeAttempt(offer.Attempt)
	if err != nil {
		return declined(cyclam.ReasonWrongTarget, 0)
	}
	now := time.Now()
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if reason := n.refusalOf(offer, attempt, now); reason != "" {
		return declined(reason, 0)
	}
	deadline, goal := n.endsOf(offer, now)
	_, decisions := n.scheduler.Arrive(now, sched.Work{
		Attempt:      attempt,
		Route:        offer.Route,
		Nested:       offer.Nested,
		Priority:     int(offer.Priority),
		Arrived:      now,
		SoftDeadline: goal,
		Deadline:     deadline,
	})
	for _, d := range decisions {
		if d.Attempt == attempt && !d.Start && !d.Ask {
			n.meters.countRefusal(d.Reason)
			return declined(d.Reason, d.RetryAfter)
		}
	}
	return nil
}

// expectedStay returns how long a request of a route is expected to wait and run at the local
// upstream.
func (n *Node) expectedStay(route string, now time.Time) time.Duration {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.scheduler.ExpectedStay(now, route)
}
