package proxy

import (
	"context"
	"io"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// attempt is one sending of a call to one node, over as many connections as it
// takes to learn what became of it.
type attempt struct {
	node    *Node
	target  picker.Candidate
	offer   *wire.Offer
	results chan<- result
	// started is set once the upstream may have begun to work.
	started bool
	// accepted is set once the node has acknowledged the offer.
	accepted bool
	// patience is how many interruptions make the attempt suspect.
	patience int
}

// replies is a source of an attempt's replies; io.EOF ends it.
type replies interface {
	Recv() (*wire.Replies, error)
}

// resumePause is the pause between two tries to learn what became of an attempt.
const resumePause = 60 * time.Millisecond

// sending returns the call's offer as it is addressed to a node.
func (c *call) sending(target picker.Candidate) *wire.Offer {
	now := time.Now()
	o := proto.CloneOf(c.offer)
	o.Attempt = codec.EncodeAttempt(cyclam.AttemptID{
		Sender: c.node.self,
		Number: c.node.next.Add(1),
	})
	o.Instance = string(target.Endpoint.Instance)
	o.Incarnation = uint64(target.Endpoint.Incarnation)
	o.Service = string(c.service)
	o.RemainingUs = c.deadline.Sub(now).Microseconds()
	o.GoalUs = c.goal.Sub(now).Microseconds()
	o.Version = uint64(c.version)
	return o
}

// run reports the attempt's end; before it, it may report that the node is silent.
func (a *attempt) run(ctx context.Context, deadline time.Time) {
	if a.target.Endpoint.Identity == a.node.self {
		a.report(a.local(ctx))
		return
	}
	began := time.Now()
	interruptions := 0
	for {
		verdict, rest, err := a.remote(ctx, began)
		if err == nil {
			a.report(verdict, rest)
			return
		}
		if errors.Is(err, errNotConnected) && !a.offer.Resume {
			a.node.unreachable(a.target.Endpoint.Instance)
			a.report(cyclam.Refused(cyclam.ReasonUpstreamDown, 0), nil)
			return
		}
		if ctx.Err() != nil {
			a.giveUp()
			a.report(unknown(cyclam.ReasonDeadlineExceeded), nil)
			return
		}
		interruptions++
		if interruptions == 1 {
			a.started = true
			a.node.unreachable(a.target.Endpoint.Instance)
			a.node.Log.Warn("attempt-interrupted", append(a.fields(), "error", err)...)
		}
		if interruptions == a.patience {
			a.results <- result{
				target:  a.target,
				suspect: true,
			}
		}
		a.offer.Resume = true
		a.offer.RemainingUs = time.Until(deadline).Microseconds()
		select {
		case <-ctx.Done():
		case <-time.After(resumePause):
		}
	}
}

func (a *attempt) report(verdict cyclam.Completion, rest *tail) {
	a.results <- result{
		target:  a.target,
		verdict: verdict,
		rest:    rest,
		ran:     verdict.Outcome != cyclam.OutcomeNotRun,
	}
}

func (a *attempt) fields() []any {
	return []any{
		"id", a.offer.Id,
		"peer", a.target.Endpoint.Instance,
		"service", a.offer.Service,
		"accepted", a.accepted,
		"view-age", viewAge(a.target),
		"view-running", a.target.Load.Running,
		"view-waiting", a.target.Load.Waiting,
	}
}

// local runs the attempt at the own upstream.
func (a *attempt) local(ctx context.Context) (cyclam.Completion, *tail) {
	j, settled := a.node.admit(a.offer)
	if settled != nil {
		v, _, _ := a.collect(&once{
			reply: settled,
		}, nil)
		return v, nil
	}
	j.attach()
	source := &jobReader{
		ctx: ctx,
		job: j,
	}
	verdict, rest, err := a.collect(source, func() { a.node.release(j) })
	if err != nil {
		a.node.revoke(j.attempt)
		return unknown(cyclam.ReasonDeadlineExceeded), nil
	}
	return verdict, rest
}

// remote runs the attempt over the link to its node. An error means that what
// became of it is not known; errNotConnected that nothing was sent.
func (a *attempt) remote(ctx context.Context, began time.Time) (cyclam.Completion, *tail, error) {
	l := a.node.link(a.target.Endpoint.Control)
	conn, err := l.connect(ctx)
	if err != nil {
		return cyclam.Completion{}, nil, err
	}
	l.begin()
	sctx, cancel := context.WithCancel(ctx)
	finish := func() {
		cancel()
		l.end()
	}
	stream, err := wire.NewDoorClient(conn).Serve(sctx, a.offer)
	if err != nil {
		finish()
		return cyclam.Completion{}, nil, err
	}
	source := &linkReader{
		stream: stream,
		link:   l,
	}
	acknowledged := make(chan struct{})
	go l.awaitReply(sctx, conn, acknowledged, a.ackLimit())
	source.onFirst = func() {
		close(acknowledged)
		if !a.offer.Resume {
			a.node.answered(a.target.Endpoint.Instance, time.Since(began))
		}
	}
	verdict, rest, err := a.collect(source, finish)
	if status.Code(err) == codes.Unimplemented {
		return unknown(cyclam.ReasonAnswerLost), nil, nil
	}
	return verdict, rest, err
}

// ackSlack is how long an acknowledgement may take beyond three round trips: a
// node may stand still for a tenth of a second at its processor limit.
const ackSlack = 350 * time.Millisecond

func (a *attempt) ackLimit() time.Duration { return 3*a.target.RTT + ackSlack }

// collect reads replies until the attempt has ended or its answer is longer than
// what is held. Finish is called once nothing more is read.
func (a *attempt) collect(source replies, finish func()) (cyclam.Completion, *tail, error) {
	done := func() {
		if finish != nil {
			finish()
		}
	}
	reading := &reading{}
	for {
		batch, err := source.Recv()
		if err != nil {
			done()
			if err == io.EOF {
				err = errors.New("replies ended early")
			}
			return cyclam.Completion{}, nil, err
		}
		a.node.told(a.target.Endpoint.Instance, batch.Load)
		for _, reply := range batch.Replies {
			if verdict, ended := a.take(reading, reply); ended {
				done()
				return verdict, nil, nil
			}
		}
		if len(reading.answer.Body) > holdLimit {
			return doneWith(reading.answer), &tail{
				source: source,
				finish: done,
			}, nil
		}
	}
}

// reading is the part of an answer that was read.
type reading struct {
	answer cyclam.Answer
}

// take takes in one reply; true means that the attempt has ended with a verdict.
func (a *attempt) take(r *reading, reply *wire.Reply) (cyclam.Completion, bool) {
	switch k := reply.Kind.(type) {
	case *wire.Reply_Accepted:
		a.accepted = true
	case *wire.Reply_Started:
		a.started = true
	case *wire.Reply_Declined:
		return cyclam.Refused(cyclam.Reason(k.Declined.Reason), time.Duration(k.Declined.RetryAfterUs)*time.Microsecond), true
	case *wire.Reply_Head:
		r.answer = readHead(k.Head)
	case *wire.Reply_Chunk:
		r.answer.Body = append(r.answer.Body, k.Chunk...)
	case *wire.Reply_End:
		if k.End.Reason != "" || r.answer.Status == 0 {
			return unknown(cyclam.Reason(k.End.Reason)), true
		}
		return doneWith(r.answer), true
	}
	return cyclam.Completion{}, false
}

func readHead(h *wire.Head) cyclam.Answer {
	answer := cyclam.Answer{
		Status: int(h.Status),
	}
	if h.Length > 0 && h.Length <= holdLimit {
		answer.Body = make([]byte, 0, h.Length)
	}
	for _, f := range h.Headers {
		answer.Headers = append(answer.Headers, cyclam.Header{
			Name:  f.Name,
			Value: f.Value,
		})
	}
	return answer
}

func doneWith(answer cyclam.Answer) cyclam.Completion {
	return cyclam.Completion{
		Outcome: cyclam.OutcomeDone,
		Answer:  answer,
	}
}

func unknown(reason cyclam.Reason) cyclam.Completion {
	if reason == "" {
		reason = cyclam.ReasonAnswerLost
	}
	return cyclam.Completion{
		Outcome: cyclam.OutcomeUnknown,
		Reason:  reason,
	}
}

// revokeLimit bounds the message that gives an attempt up.
const revokeLimit = time.Second

// giveUp tells the node that nobody waits for the attempt any more.
func (a *attempt) giveUp() {
	l := a.node.link(a.target.Endpoint.Control)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), revokeLimit)
		defer cancel()
		conn, err := l.connect(ctx)
		if err == nil {
			_, err = wire.NewDoorClient(conn).Revoke(ctx, &wire.CancelRequest{
				Attempt:     a.offer.Attempt,
				Instance:    a.offer.Instance,
				Incarnation: a.offer.Incarnation,
			})
		}
		if err != nil {
			a.node.Log.Debug("revoke-failed", append(a.fields(), "error", err)...)
		}
	}()
}

// linkReader reads replies from another node.
type linkReader struct {
	stream  grpc.ServerStreamingClient[wire.Replies]
	link    *link
	onFirst func()
}

// Recv returns the next replies.
func (r *linkReader) Recv() (*wire.Replies, error) {
	reply, err := r.stream.Recv()
	if err == nil {
		r.link.hear()
		if r.onFirst != nil {
			r.onFirst()
			r.onFirst = nil
		}
	}
	return reply, err
}

// jobReader reads replies of a job of this node.
type jobReader struct {
	ctx context.Context
	job *job
	at  int
}

// Recv returns the next replies.
func (r *jobReader) Recv() (*wire.Replies, error) {
	ready, err := r.job.next(r.ctx, r.at)
	r.at += len(ready)
	if err == nil && len(ready) == 0 {
		return nil, io.EOF
	}
	return &wire.Replies{
		Replies: ready,
	}, err
}

// once is a source of one reply.
type once struct {
	reply *wire.Reply
}

// Recv returns the reply.
func (o *once) Recv() (*wire.Replies, error) {
	return &wire.Replies{
		Replies: []*wire.Reply{o.reply},
	}, nil
}

// tail is the rest of an answer that is passed on as it comes.
type tail struct {
	source replies
	finish func()
}

// copyTo writes the rest; an error means that the answer is not whole.
func (t *tail) copyTo(w io.Writer) error {
	defer t.finish()
	for {
		batch, err := t.source.Recv()
		if err != nil {
			return err
		}
		for _, reply := range batch.Replies {
			switch k := reply.Kind.(type) {
			case *wire.Reply_Chunk:
				if _, err := w.Write(k.Chunk); err != nil {
					return err
				}
			case *wire.Reply_End:
				if k.End.Reason != "" {
					return errors.New(k.End.Reason)
				}
				return nil
			}
		}
	}
}
