package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// decide applies a change to the scheduler's state and carries out the resulting
// decisions.
func (n *Node) decide(change func(sched.State) (sched.State, []sched.Decision)) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	n.decideLocked(change)
}

// decideLocked does the work of decide. The caller holds schedMu.
func (n *Node) decideLocked(change func(sched.State) (sched.State, []sched.Decision)) {
	state, decisions := change(n.scheduler)
	n.scheduler = state
	for _, d := range decisions {
		j, ok := n.jobs[d.Attempt]
		if !ok {
			continue
		}
		switch {
		case d.Ask:
			n.meters.questions.Inc(1)
			j.ask(&wire.Question{
				AskedUs: n.clock(time.Now()),
			})
			continue
		case d.Start:
			j.start(d.Word)
			go n.run(j)
			continue
		}
		n.meters.countRefusal(d.Reason)
		n.Log.Debug("attempt-refused", append(n.jobFields(j),
			"reason", d.Reason,
			"running", n.scheduler.Load(time.Now()).Running,
			"waiting", n.scheduler.Load(time.Now()).Waiting,
			"retry-after", d.RetryAfter,
		)...)
		j.append(declined(d.Reason, d.RetryAfter), true)
	}
}

// admit returns the job for an offer, or the final reply if the offer is not accepted.
// A job that is already known is joined. An attempt must not start if it is addressed
// to another process, was revoked, or was accepted here before and its answer is
// discarded. A resumed attempt that is not known here never started; it is revoked, so
// that its delayed offer can't start it.
func (n *Node) admit(offer *wire.Offer) (*job, *wire.Reply) {
	attempt, err := codec.DecodeAttempt(offer.Attempt)
	if err != nil {
		n.Log.Warn("offer-malformed", "id", string(offer.Id), "error", err)
		return nil, declined(cyclam.ReasonWrongTarget, 0)
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	target := addresseeOf(offer)
	if j, known := n.jobs[attempt]; known {
		n.noteWordLocked(j, n.timeOf(offer.SentUs), microseconds(offer.RemainingUs))
		return j, nil
	}
	now := time.Now()
	switch {
	case target != n.self && offer.Resume, n.fences.discarded.has(attempt):
		return nil, ended(cyclam.ReasonAnswerNotRetained)
	case offer.Resume && !n.fences.revoked.has(attempt):
		n.fences.revoked.add(attempt)
	}
	if reason := n.refusalOf(offer, attempt, now); reason != "" {
		return nil, declined(reason, 0)
	}
	j := newJob(context.Background(), offer, attempt, now)
	if refusal := n.screen(j, now); refusal != nil {
		return nil, refusal
	}
	n.acceptNotice(offer.Notice, now)
	sentAt := intent.SentAt(now, n.timeOf(offer.SentUs), microseconds(offer.RemainingUs))
	j.deadline = intent.Deadline(now, sentAt, microseconds(offer.RemainingUs))
	j.memory = &n.answers
	goal := intent.Deadline(now, sentAt, microseconds(offer.GoalUs))
	if bytes := int(n.answerBytes[offer.Route]); bytes >= largeAnswerBytes {
		ok, after := n.pacer.commit(now, n.scheduler.ServiceTime(), bytes, goal, j.deadline)
		if !ok {
			n.meters.countRefusal(cyclam.ReasonOverloaded)
			n.Log.Debug("answer-has-no-room", append(n.jobFields(j), "bytes", bytes, "after", after)...)
			return nil, declined(cyclam.ReasonOverloaded, after)
		}
		j.committed = bytes
	}
	n.jobs[attempt] = j
	if j.alone {
		n.quarantine.trial = j
	}
	j.append(&wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}, false)
	n.decideLocked(func(s sched.State) (sched.State, []sched.Decision) {
		return s.Arrive(now, sched.Work{
			Attempt:      attempt,
			Route:        offer.Route,
			Nested:       offer.Nested,
			Priority:     int(offer.Priority),
			Arrived:      now,
			SoftDeadline: goal,
			Deadline:     j.deadline,
			Word:         n.wordOf(offer, now, sentAt),
			Alone:        j.alone,
		})
	})
	return j, nil
}

// addresseeOf returns the node to which an offer is addressed.
func addresseeOf(offer *wire.Offer) cyclam.Identity {
	return cyclam.Identity{
		Instance:    cyclam.InstanceName(offer.Instance),
		Incarnation: cyclam.Incarnation(offer.Incarnation),
	}
}

// refusalOf returns why an offer is refused whatever else runs or waits here; empty if it is not.
// The caller holds schedMu.
func (n *Node) refusalOf(offer *wire.Offer, attempt cyclam.AttemptID, now time.Time) cyclam.Reason {
	switch {
	case addresseeOf(offer) != n.self:
		return cyclam.ReasonWrongTarget
	case n.fences.revoked.has(attempt):
		return cyclam.ReasonCancelled
	case n.closedToPeers(now):
		return cyclam.ReasonDraining
	case cyclam.ServiceName(offer.Service) != n.Settings.Self.Service:
		return cyclam.ReasonWrongTarget
	case n.withholds(offer, now):
		n.meters.countRefusal(cyclam.ReasonWithheld)
		return cyclam.ReasonWithheld
	default:
		return ""
	}
}

// microseconds returns a duration of a message, at most cyclam.MaxSpan in either direction.
func microseconds(us int64) time.Duration { return cyclam.Span(us, time.Microsecond) }

// isRunning reports whether the local upstream is running a request with this id.
func (n *Node) isRunning(id string) bool {
	if id == "" {
		return false
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.runningByID[id] > 0
}

// run executes a job that the scheduler has started.
func (n *Node) run(j *job) {
	began := time.Now()
	id := string(j.offer.Id)
	n.schedMu.Lock()
	n.runningByID[id]++
	n.schedMu.Unlock()
	defer n.endRun(id)
	header := http.Header{}
	for _, f := range j.offer.Headers {
		header.Add(f.Name, string(f.Value))
	}
	// sentTo is the process to which the request was sent last.
	var sentTo atomic.Pointer[addressee]
	caller := cyclam.ServiceName(j.offer.CallerService)
	beforeSend := func(header http.Header) error {
		now := time.Now()
		to, err := n.addressee(now)
		if err != nil {
			return err
		}
		sentTo.Store(&to)
		n.Dialect.WriteAttempt(header, cyclam.AttemptMeta{
			ID:        id,
			Remaining: j.deadline.Sub(now),
			Target:    to.id,
			Caller:    caller,
			Keyed:     j.offer.Keyed,
			Team:      cyclam.TeamName(j.offer.Team),
		})
		if err := j.maySend(now); err != nil {
			return err
		}
		if err := n.mayRun(j); err != nil {
			return err
		}
		n.crashes.noteSent(j, now)
		return nil
	}
	sink := &jobSink{
		job:     j,
		observe: func(meta cyclam.AnswerMeta) { n.observeAnswer(sentTo.Load(), meta) },
	}
	if j.alone {
		n.awaitQuiet(j)
	}
	n.meters.upstreamRequests.Inc(1)
	err := n.origin.Do(j.ctx, origin.Request{
		ID:         id,
		Method:     j.offer.Method,
		Host:       j.offer.Host,
		Target:     string(j.offer.Target),
		Header:     header,
		Body:       j.offer.Body,
		Idempotent: j.offer.Idempotent,
		BeforeSend: beforeSend,
	}, sink)
	n.noteRunEnd(j, sink, err)
	if sink.meta.Misdirected {
		n.noteMisdirected(sentTo.Load())
	}
	run, last := n.classifyRun(j, sink, err, time.Since(began))
	if end := last.GetEnd(); end != nil {
		end.Called = n.called(id)
	}
	n.countRolloutRun(j, sentTo.Load(), sink, run, err)
	if sink.skipped > 0 {
		n.Log.Info("stray-bytes-skipped", append(n.jobFields(j), "bytes", sink.skipped)...)
	}
	if err == nil && sink.status < http.StatusInternalServerError {
		n.recordAnswerBytes(j.offer.Route, sink.bytes)
	}
	j.append(last, true)
	j.cancel(errEnded)
	n.decide(func(s sched.State) (sched.State, []sched.Decision) { return s.End(time.Now(), run) })
}

// noteRunEnd records what the end of a run says of the upstream's process.
func (n *Node) noteRunEnd(j *job, sink *jobSink, err error) {
	answered := false
	defer func() { n.endTrial(j, answered) }()
	switch {
	case errors.Is(err, origin.ErrNotSent), sink.meta.NotRun, sink.meta.Misdirected:
		n.crashes.noteNotRun(j)
	case err == nil && sink.status != http.StatusGatewayTimeout:
		answered = true
		n.crashes.noteAnswered(j)
		n.noteAnswered(j)
	default:
		// An upstream that answers at the deadline has given up the request itself.
		givenUp := err == nil || j.ctx.Err() != nil
		if n.crashes.noteLost(j, time.Now(), givenUp) && !givenUp {
			go n.checkUpstream()
		}
	}
}

// recordAnswerBytes updates the moving average of a route's answer size, in bytes.
func (n *Node) recordAnswerBytes(route string, bytes int) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	mean, ok := n.answerBytes[route]
	if !ok {
		mean = float64(bytes)
	}
	n.answerBytes[route] = mean + bytesWeight*(float64(bytes)-mean)
}

// endRun removes one attempt from the count of running attempts of a request.
func (n *Node) endRun(id string) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	n.runningByID[id]--
	if n.runningByID[id] == 0 {
		delete(n.runningByID, id)
		delete(n.calledByID, id)
		delete(n.nestedOf, id)
	}
}

// classifyRun returns the result of a run for the scheduler and the final reply for the
// sender.
func (n *Node) classifyRun(j *job, sink *jobSink, err error, took time.Duration) (sched.RunResult, *wire.Reply) {
	run := sched.RunResult{
		Route:     j.offer.Route,
		Took:      took,
		Ran:       true,
		Load:      sink.meta.Load,
		LoadKnown: sink.meta.LoadKnown,
	}
	reason := cyclam.Reason("")
	switch {
	case errors.Is(err, errOldWord):
		run.Ran, reason = false, cyclam.ReasonUnconfirmed
	case errors.Is(err, errAbsent):
		run.Ran, reason = false, cyclam.ReasonUpstreamDown
	case errors.Is(err, errDrained):
		run.Ran, reason = false, cyclam.ReasonDraining
	case errors.Is(err, errBanned):
		run.Ran, reason = false, cyclam.ReasonBanned
	case errors.Is(err, errSuspected):
		run.Ran, reason = false, cyclam.ReasonSuspected
	case errors.Is(err, origin.ErrNotSent) && (j.ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded)):
		// The job was cancelled before any of the request was sent, which says nothing
		// about the upstream's health.
		run.Ran, reason = false, cyclam.ReasonCancelled
	case errors.Is(err, origin.ErrNotSent):
		run.Ran, run.Failed, reason = false, true, cyclam.ReasonUpstreamDown
	case sink.meta.Misdirected:
		run.Ran, reason = false, cyclam.ReasonWrongTarget
	case sink.meta.NotRun:
		run.Ran, run.Failed, reason = false, true, cyclam.ReasonUpstreamRefused
	}
	if reason != "" {
		n.Log.Warn("upstream-did-not-run", append(n.jobFields(j), "reason", reason, "error", err)...)
		return run, declined(reason, 0)
	}
	n.meters.run.Update(took)
	switch {
	case errors.Is(err, context.Canceled):
		run.Ran = false
		reason = cyclam.ReasonCancelled
	case errors.Is(err, context.DeadlineExceeded):
		run.Failed = true
		reason = cyclam.ReasonDeadlineExceeded
	case err != nil:
		run.Failed = true
		reason = cyclam.ReasonAnswerLost
	case sink.status >= http.StatusInternalServerError:
		run.Failed = true
	}
	if reason != "" {
		n.Log.Warn("run-without-answer", append(n.jobFields(j),
			"reason", reason,
			"took", took,
			"waited", time.Since(j.arrived)-took,
			"cause", context.Cause(j.ctx),
			"unread-for", j.unreadFor(time.Now()),
			"request", j.fingerprint(),
			"error", err,
		)...)
	}
	return run, ended(reason)
}

// jobSink appends the local upstream's answer to a job as replies.
type jobSink struct {
	job *job
	// observe is called with the metadata of the answer before any of it is passed on.
	observe func(cyclam.AnswerMeta)
	meta    cyclam.AnswerMeta
	status  int
	bytes   int
	// skipped is how many bytes of no request came before the answer.
	skipped int
}

// Head appends the head of the answer, unless the upstream did not run the request.
func (s *jobSink) Head(h origin.Head) error {
	s.meta, s.status, s.skipped = h.Meta, h.Status, h.Skipped
	s.observe(h.Meta)
	if h.Meta.NotRun || h.Meta.Misdirected {
		return nil
	}
	head := &wire.Head{
		Status: uint32(h.Status),
		Length: h.Length,
	}
	for name, values := range h.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Field{
				Name:  name,
				Value: []byte(value),
			})
		}
	}
	s.job.append(&wire.Reply{Kind: &wire.Reply_Head{Head: head}}, false)
	return nil
}

// Chunk appends a piece of the body and blocks while the job buffers too many unread
// bytes.
func (s *jobSink) Chunk(data []byte) error {
	if s.meta.NotRun || s.meta.Misdirected {
		return nil
	}
	s.bytes += len(data)
	s.job.append(&wire.Reply{Kind: &wire.Reply_Chunk{Chunk: data}}, false)
	return s.job.throttle()
}

func declined(reason cyclam.Reason, retryAfter time.Duration) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Declined{Declined: &wire.Declined{
		Reason:       string(reason),
		RetryAfterUs: retryAfter.Microseconds(),
	}}}
}

func ended(reason cyclam.Reason) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_End{End: &wire.End{
		Reason: string(reason),
	}}}
}

func (n *Node) jobFields(j *job) []any {
	return []any{
		"id", string(j.offer.Id),
		"attempt", j.attempt.String(),
		"service", j.offer.Service,
		"age", time.Since(j.arrived),
		"left", time.Until(j.deadline),
	}
}

// load returns the load that this node reports to other nodes.
func (n *Node) load() *wire.Load {
	now := time.Now()
	n.schedMu.Lock()
	l := n.scheduler.Load(now)
	notice := n.ownNotice()
	n.schedMu.Unlock()
	l.Leaving = l.Leaving || n.closedToPeers(now)
	l.Version = n.version()
	l.SendBacklog, l.ReceiveBacklog, l.LinkRate = n.pacer.backlog(now), n.inbound.backlog(now), n.Settings.LinkRate
	w := encodeLoad(l, n.self.Incarnation, notice.encode(now))
	w.ClockUs = n.clock(now)
	return w
}
