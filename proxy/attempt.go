package proxy

import (
	"context"
	"io"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/frame"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// attempt is the sending of a call to one node. It reconnects as often as needed to
// learn its outcome.
type attempt struct {
	node    *Node
	target  picker.Candidate
	offer   *wire.Offer
	results chan<- result
	// goal and deadline are those of the call.
	goal     time.Time
	deadline time.Time
	// answer answers a question of the node, and granted sends the body that waits for its grant.
	answer  func(*wire.Question)
	granted func()
	// started is set once the upstream may have started to work.
	started bool
	// accepted is set once the node has acknowledged the offer.
	accepted bool
	// called holds the requests that the run has made.
	called []*wire.Called
	// leaving is set once the node has told that it is about to stop.
	leaving bool
	// held counts the memory of what is received for the call.
	held *heldAnswers
	// disturbances counts the interruptions of the link and the times that it was silent.
	// After suspectAfter of them the attempt is reported as suspect.
	disturbances atomic.Int32
	// disturbedAt is the time of the last one, since the node's start.
	disturbedAt  atomic.Int64
	suspectAfter int32
}

// resumePause is the pause before an interrupted attempt is resumed.
const resumePause = 60 * time.Millisecond

// offerFor returns the call's offer with a new attempt id, addressed to target.
func (c *call) offerFor(target picker.Candidate) *wire.Offer {
	now := time.Now()
	o := proto.CloneOf(c.offer)
	o.Attempt = codec.EncodeAttempt(cyclam.AttemptID{
		Sender: c.node.self,
		Number: c.node.attemptSeq.Add(1),
	})
	o.Instance = string(target.Endpoint.Instance)
	o.Incarnation = uint64(target.Endpoint.Incarnation)
	o.Service = string(c.service)
	o.AnswersQuestions = target.Endpoint.Identity != c.node.self
	o.Version = uint64(c.version)
	o.Alone = c.suspected
	o.Rollout = c.node.rolloutMark(c.service, target.Endpoint.Release)
	o.Body = c.body
	c.node.mu.Lock()
	o.Notice = c.node.fleet.noticeFor(target.Endpoint.Instance, now)
	c.node.mu.Unlock()
	return o
}

// run sends the attempt and reports its outcome. Before that it may report once
// that the attempt is suspect.
func (a *attempt) run(ctx context.Context) {
	if a.target.Endpoint.Identity == a.node.self {
		a.report(a.runLocal(ctx))
		return
	}
	a.node.noteSent(a)
	defer a.node.noteAcked(a)
	interrupted := false
	for {
		completion, rest, err := a.runRemote(ctx)
		if errors.Is(err, errLacksDeliver) {
			continue
		}
		if err == nil {
			if rest == nil {
				a.finish()
			}
			a.report(completion, rest)
			return
		}
		if errors.Is(err, errNotConnected) && !a.offer.Resume {
			a.node.markUnreachable(a.target.Endpoint.Instance)
			a.report(cyclam.Refused(cyclam.ReasonUpstreamDown, 0), nil)
			return
		}
		if ctx.Err() != nil {
			a.revoke()
			a.report(unknown(cyclam.ReasonDeadlineExceeded), nil)
			return
		}
		if !interrupted {
			interrupted, a.started = true, true
			a.node.Log.Warn("attempt-interrupted", append(a.logFields(), "error", err)...)
		}
		a.noteDisturbance()
		// The node has the request, or refuses the attempt.
		a.offer.Resume, a.offer.Body, a.offer.Headers = true, nil, nil
		select {
		case <-ctx.Done():
		case <-time.After(resumePause):
		}
	}
}

// noteDisturbance records that the link was interrupted or is silent: the node is avoided,
// and another one may be tried as well.
func (a *attempt) noteDisturbance() {
	// One silence may be noticed in several ways.
	now, last := int64(time.Since(a.node.startTime)), a.disturbedAt.Load()
	if last != 0 && time.Duration(now-last) < silenceTimeout/2 || !a.disturbedAt.CompareAndSwap(last, now) {
		return
	}
	count := a.disturbances.Add(1)
	if count == 1 {
		a.node.markUnreachable(a.target.Endpoint.Instance)
	}
	if count == a.suspectAfter {
		a.results <- result{
			target:  a.target,
			suspect: true,
		}
	}
}

// awaitTurn waits until the node's link has room for the request's body. It returns false
// and the completion of an attempt that is not sent, because it would be too late. A body that
// waits for a grant waits for the link after that.
func (a *attempt) awaitTurn(ctx context.Context, delivers bool) (cyclam.Completion, bool) {
	bytes := len(a.offer.Body)
	switch now := time.Now(); {
	case bytes < bulkBytes:
		return cyclam.Completion{}, true
	case delivers:
		wait := a.node.pacer.backlog(now)
		return cyclam.Refused(cyclam.ReasonOverloaded, wait), now.Add(wait).Before(a.deadline)
	}
	wait, ok := a.node.pacer.prepayBy(bytes, a.deadline)
	switch {
	case !ok:
		return cyclam.Refused(cyclam.ReasonOverloaded, wait), false
	case wait > 0 && !sleep(ctx, wait):
		a.node.pacer.forgive(bytes)
		return cyclam.Refused(cyclam.ReasonDeadlineExceeded, 0), false
	default:
		a.node.noteSent(a)
		return cyclam.Completion{}, true
	}
}

func (a *attempt) report(completion cyclam.Completion, rest *answerRest) {
	a.results <- result{
		target:     a.target,
		completion: completion,
		rest:       rest,
		mayHaveRun: completion.Outcome != cyclam.OutcomeNotRun,
		called:     a.called,
	}
}

func (a *attempt) logFields() []any {
	return []any{
		"id", string(a.offer.Id),
		"peer", a.target.Endpoint.Instance,
		"service", a.offer.Service,
		"accepted", a.accepted,
		"view-age", viewAge(a.target),
		"view-running", a.target.Load.Running,
		"view-waiting", a.target.Load.Waiting,
	}
}

// runLocal runs the attempt at the local upstream.
func (a *attempt) runLocal(ctx context.Context) (cyclam.Completion, *answerRest) {
	a.stamp(time.Now())
	j, final := a.node.admit(a.offer)
	if final != nil {
		v, _, _ := a.collect(ctx, &singleReply{
			reply: final,
		}, nil)
		return v, nil
	}
	reader := j.attach()
	source := &jobReader{
		ctx:    ctx,
		job:    j,
		cursor: reader,
	}
	completion, rest, err := a.collect(ctx, source, func() {
		j.settle()
		a.node.release(j, reader)
	})
	if err != nil {
		a.revoke()
		return unknown(cyclam.ReasonDeadlineExceeded), nil
	}
	return completion, rest
}

// runRemote runs the attempt over the link to its node. An error means that the
// outcome is not known; errNotConnected means that nothing was sent, errLacksDeliver that the
// body has to be sent with the offer.
func (a *attempt) runRemote(ctx context.Context) (cyclam.Completion, *answerRest, error) {
	began := time.Now()
	l := a.node.link(a.target.Endpoint.Control)
	conn, err := l.connect(ctx)
	if err != nil {
		return cyclam.Completion{}, nil, err
	}
	delivers, connected := a.delivers(conn), time.Now()
	if refused, ok := a.awaitTurn(ctx, delivers); !ok {
		return refused, nil, nil
	}
	began = began.Add(time.Since(connected))
	l.beginAttempt(a, a.noteDisturbance)
	sctx, cancel := context.WithCancel(ctx)
	finish := func() {
		cancel()
		l.endAttempt(a)
	}
	client := wire.NewDoorClient(conn)
	a.stamp(time.Now())
	send := serve
	if delivers {
		send = a.announce
	}
	stream, err := send(sctx, conn, a.offer)
	if err != nil {
		finish()
		return cyclam.Completion{}, nil, err
	}
	source := &linkReader{
		stream: stream,
	}
	a.answer = func(q *wire.Question) { go a.confirm(sctx, client, q) }
	acked := make(chan struct{})
	go l.awaitReply(sctx, conn, acked, a.ackLimit(), "offer", a.noteDisturbance)
	source.onFirst = func() {
		close(acked)
		a.node.noteAcked(a)
		if !a.offer.Resume {
			a.node.observeRTT(a.target.Endpoint.Instance, time.Since(began))
		}
	}
	completion, rest, err := a.collect(ctx, source, finish)
	if status.Code(err) == codes.Unimplemented && delivers {
		conn.lacksDeliver.Store(true)
		return cyclam.Completion{}, nil, errLacksDeliver
	}
	if status.Code(err) == codes.Unimplemented {
		return unknown(cyclam.ReasonAnswerLost), nil, nil
	}
	return completion, rest, err
}

// ackSlack is how long an acknowledgement may take beyond three round trips: a
// node at its CPU quota may be throttled for 100 ms.
const ackSlack = 350 * time.Millisecond

func (a *attempt) ackLimit() time.Duration { return 3*a.target.RTT + ackSlack }

// collect reads replies until the attempt has ended or its answer exceeds the bytes that
// one answer may hold; the rest is then returned as a stream. finish is called once
// nothing more is read; nil is allowed. The attempt is revoked if ctx ends before the
// rest has been read.
func (a *attempt) collect(ctx context.Context, source replyReader, finish func()) (cyclam.Completion, *answerRest, error) {
	done := sync.OnceFunc(func() {
		if finish != nil {
			finish()
		}
	})
	partial := &partialAnswer{}
	for {
		batch, err := source.Recv()
		if err != nil {
			done()
			if err == io.EOF {
				err = errors.New("reply stream ended before the answer was complete")
			}
			return cyclam.Completion{}, nil, err
		}
		if batch.Load != nil && batch.Load.Incarnation == 0 {
			a.node.noteTakenOver(a.target.Endpoint)
		} else {
			a.node.updateLoad(a.target.Endpoint.Instance, batch.Load)
		}
		a.leaving = a.leaving || batch.Load.GetLeaving()
		for _, reply := range batch.Replies {
			if completion, ended := a.apply(partial, reply); ended {
				done()
				return completion, nil, nil
			}
		}
		if len(partial.answer.Body) > a.node.answers.perAnswer() {
			return doneWith(partial.answer), &answerRest{
				source: source,
				finish: done,
				keepAnswer: context.AfterFunc(ctx, func() {
					done()
					a.revoke()
				}),
			}, nil
		}
	}
}

// partialAnswer is the part of an answer received so far.
type partialAnswer struct {
	answer cyclam.Answer
}

// apply processes one reply; true means that the attempt has ended with the
// returned completion.
func (a *attempt) apply(r *partialAnswer, reply *wire.Reply) (cyclam.Completion, bool) {
	switch k := reply.Kind.(type) {
	case *wire.Reply_Accepted:
		a.accepted = true
	case *wire.Reply_Started:
		a.started = true
	case *wire.Reply_Granted:
		if a.granted != nil {
			a.granted()
		}
	case *wire.Reply_Question:
		if a.answer != nil {
			a.answer(k.Question)
		}
	case *wire.Reply_Declined:
		return cyclam.Refused(cyclam.Reason(k.Declined.Reason), microseconds(k.Declined.RetryAfterUs)), true
	case *wire.Reply_Head:
		r.answer = decodeHead(k.Head)
		if err := frame.CheckFields(r.answer.Status, headerFields(r.answer.Headers)); err != nil {
			a.node.Log.Warn("head-malformed", append(a.logFields(), "error", err)...)
			return unknown(cyclam.ReasonAnswerLost), true
		}
	case *wire.Reply_Chunk:
		r.answer.Body = append(r.answer.Body, k.Chunk...)
		a.held.add(len(k.Chunk))
	case *wire.Reply_End:
		a.called = k.End.Called
		if k.End.Reason != "" || r.answer.Status == 0 {
			return unknown(cyclam.Reason(k.End.Reason)), true
		}
		return doneWith(r.answer), true
	}
	return cyclam.Completion{}, false
}

func decodeHead(h *wire.Head) cyclam.Answer {
	answer := cyclam.Answer{
		Status: int(h.Status),
	}
	if h.Length > 0 && h.Length <= answerBufferLimit {
		// The upstream may state a length that it does not send.
		answer.Body = make([]byte, 0, min(h.Length, minAnswerBuffer))
	}
	for _, f := range h.Headers {
		answer.Headers = append(answer.Headers, cyclam.Header{
			Name:  f.Name,
			Value: string(f.Value),
		})
	}
	return answer
}

// headerFields returns the names and values of header fields.
func headerFields(headers []cyclam.Header) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, h := range headers {
			if !yield(h.Name, h.Value) {
				return
			}
		}
	}
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
