package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/poison"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// job is one attempt at the local upstream. Its replies are kept as a log, which the
// sender can read again from the start after its connection broke.
type job struct {
	offer   *wire.Offer
	attempt cyclam.AttemptID
	arrived time.Time
	// deadline is when the sender stops waiting, as far as is known. It is guarded by
	// Node.schedMu and does not change once the job runs.
	deadline time.Time
	// ctx ends with the run. It is replaced when the run starts.
	ctx context.Context
	// cancel ends the run with a cause, which is logged.
	cancel context.CancelCauseFunc

	// fingerprint returns that of the request. It is first called before the job ends.
	fingerprint func() poison.Fingerprint
	// alone is set if the request runs while nothing else does.
	alone bool

	// memory counts the bytes in log; nil counts nothing.
	memory *answerMemory

	mu sync.Mutex
	// body is the memory that is reserved for the request's body, until the job has ended.
	body *bodyShare
	// word is the sender's word once the job has started.
	word    intent.Word
	log     []*wire.Reply
	dropped int
	// buffered is the memory of the body in log, in bytes; dropped is the number of
	// replies removed from its front.
	buffered int
	// throttled is set while more of the answer waits for room in log.
	throttled bool
	// wake is closed and replaced when the log or the read position changes.
	wake chan struct{}
	// committed is the bytes of the answer that are committed on the link's pacer and
	// not yet sent.
	committed int
	// question is the last question to the sender.
	question *wire.Question
	ended    bool
	endedAt  time.Time
	// read is set once a reader has passed on the last reply; its connection may have lost
	// it. settled is set once no reader needs the replies any more: the sender is on this
	// node or has said so.
	read    bool
	settled bool
	// readers are the streams that read the job; unreadSince is when the last one left.
	readers     map[*jobCursor]bool
	unreadSince time.Time
}

// jobCursor is the position of one stream that reads a job.
type jobCursor struct {
	// next is the index of the next reply, passed the number of replies that the stream
	// has passed on.
	next   int
	passed int
	// question is the last question that the stream has passed on.
	question *wire.Question
}

// answerBufferLimit is the most bytes of an answer that are buffered for reading again,
// if the node has room for them. A longer answer is streamed at the reader's pace.
const answerBufferLimit = 1 << 20

// Causes for which a run is cancelled.
var (
	errEnded   = errors.New("run has ended")
	errRevoked = errors.New("revoked by the sender")
	errUnread  = errors.New("no reader")
)

// errOldWord means that the sender has not been heard for too long.
var errOldWord = errors.New("sender's word is too old")

var errNotRetained = errors.New("start of the answer is no longer buffered")

func newJob(ctx context.Context, offer *wire.Offer, attempt cyclam.AttemptID, now time.Time) *job {
	j := &job{
		offer:       offer,
		attempt:     attempt,
		arrived:     now,
		deadline:    now.Add(microseconds(offer.RemainingUs)),
		fingerprint: fingerprintOf(offer, offer.GetBody),
		wake:        make(chan struct{}),
		readers:     map[*jobCursor]bool{},
	}
	j.ctx, j.cancel = context.WithCancelCause(ctx)
	return j
}

// start begins the run, which ends at the deadline at the latest. It rests on word. The
// caller holds Node.schedMu.
func (j *job) start(word intent.Word) {
	ctx, stopTimer := context.WithDeadline(j.ctx, j.deadline)
	cancel := j.cancel
	j.ctx, j.cancel = ctx, func(cause error) {
		cancel(cause)
		stopTimer()
	}
	j.mu.Lock()
	j.word = word
	j.mu.Unlock()
	j.append(&wire.Reply{Kind: &wire.Reply_Started{Started: &wire.Started{}}}, false)
}

// noteWord records that the sender wanted the attempt at a time.
func (j *job) noteWord(now, wantedAt time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.word = j.word.With(now, wantedAt)
}

// maySend returns nil if the started job may be sent to the upstream now: what its start
// rested on must still hold, because opening the connection takes time.
func (j *job) maySend(now time.Time) error {
	j.mu.Lock()
	word := j.word
	j.mu.Unlock()
	switch {
	case !j.deadline.After(now):
		return context.DeadlineExceeded
	case !word.Allows(now):
		return errOldWord
	}
	return j.ctx.Err()
}

// ask puts a question to the sender, in place of an earlier one.
func (j *job) ask(q *wire.Question) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.question = q
	j.signal()
}

// append adds a reply to the log; last marks the final one, with which the request is
// released. Replies after the final one are ignored.
func (j *job) append(reply *wire.Reply, last bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.log = append(j.log, reply)
	j.buffer(replyBytes(reply))
	j.ended = last
	if last {
		j.endedAt = time.Now()
		j.offer.Body, j.offer.Headers = nil, nil
		j.body.release()
		j.body = nil
	}
	j.signal()
}

// keepBody hands over the memory that is reserved for the request's body. It returns false if
// the job does not need it.
func (j *job) keepBody(share *bodyShare) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended || j.body != nil {
		return false
	}
	j.body = share
	return true
}

// replyBytes returns the memory that a reply counts for, in bytes.
func replyBytes(reply *wire.Reply) int {
	if chunk := reply.GetChunk(); chunk != nil {
		return len(chunk) + replyOverhead
	}
	return 0
}

// buffer counts bytes that were added to the log, or removed if negative. The caller holds
// mu.
func (j *job) buffer(bytes int) {
	j.buffered += bytes
	j.memory.add(bytes)
}

// release counts the log as removed, because the node no longer holds the job.
func (j *job) release() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.buffer(-j.buffered)
}

// signal wakes all waiting goroutines. The caller holds mu.
func (j *job) signal() {
	close(j.wake)
	j.wake = make(chan struct{})
}

// throttle drops replies that all readers have passed on and blocks while more bytes are
// left than an answer may hold. Without a reader nothing is dropped, so that the job can
// be resumed.
func (j *job) throttle() error {
	for {
		limit := j.memory.perAnswer()
		j.mu.Lock()
		if j.buffered <= limit {
			j.throttled = false
			j.mu.Unlock()
			return nil
		}
		for passed := j.passed(); j.buffered > limit && j.dropped < passed; {
			j.buffer(-replyBytes(j.log[0]))
			j.log = j.log[1:]
			j.dropped++
		}
		wake, full := j.wake, j.buffered > limit
		j.throttled = full
		j.mu.Unlock()
		if !full {
			return nil
		}
		select {
		case <-wake:
		case <-j.ctx.Done():
			return j.ctx.Err()
		}
	}
}

// passed returns the number of replies that all readers have passed on. The caller holds
// mu.
func (j *job) passed() int {
	passed, first := 0, true
	for r := range j.readers {
		if first || r.passed < passed {
			passed, first = r.passed, false
		}
	}
	return passed
}

// batchLimit is the most replies sent in one message.
const batchLimit = 16

// next returns the available replies that r has not read and blocks until there is one.
// It takes those that it returned before as passed on. No replies and no error mean that
// the job has ended.
func (j *job) next(ctx context.Context, r *jobCursor) ([]*wire.Reply, error) {
	for {
		j.mu.Lock()
		if r.passed < r.next {
			r.passed = r.next
			if j.throttled {
				j.signal()
			}
		}
		index := r.next - j.dropped
		if index < 0 {
			j.mu.Unlock()
			return nil, errNotRetained
		}
		if asked := j.question != r.question && !j.ended; asked || index < len(j.log) {
			ready := slices.Clone(j.log[index:min(len(j.log), index+batchLimit)])
			r.next += len(ready)
			if asked {
				ready = append(ready, &wire.Reply{Kind: &wire.Reply_Question{Question: j.question}})
			}
			r.question = j.question
			j.mu.Unlock()
			return ready, nil
		}
		if j.ended {
			j.read = true
			j.mu.Unlock()
			return nil, nil
		}
		wake := j.wake
		j.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// settle records that no reader needs the replies any more.
func (j *job) settle() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.settled = true
}

// isSettled reports whether no reader needs the replies any more. That they were passed on
// does not tell: the connection may have lost them.
func (j *job) isSettled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.settled
}

// attach adds a reader, which starts at the first reply.
func (j *job) attach() *jobCursor {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &jobCursor{}
	j.readers[r] = true
	return r
}

// detach removes a reader and reports whether none is left while the job is still
// running. For an ended job, the retention of its answer starts anew.
func (j *job) detach(r *jobCursor) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.readers, r)
	j.unreadSince = time.Now()
	if j.ended {
		j.endedAt = j.unreadSince
	}
	return len(j.readers) == 0 && !j.ended
}

// unreadFor returns how long the job has had no reader; zero if it has one.
func (j *job) unreadFor(now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.readers) > 0 || j.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(j.unreadSince)
}

// hasEnded reports whether the final reply is in the log.
func (j *job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// resumable reports whether a new reader can still read all replies.
func (j *job) resumable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.dropped == 0
}

// uncommit removes up to bytes from the job's committed bytes and returns how many were
// removed.
func (j *job) uncommit(bytes int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	bytes = min(bytes, j.committed)
	j.committed -= bytes
	return bytes
}
