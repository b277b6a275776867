package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// job is one attempt at the local upstream. Its replies are kept as a log, which the
// sender can read again from the start after its connection broke.
type job struct {
	offer    *wire.Offer
	attempt  cyclam.AttemptID
	arrived  time.Time
	deadline time.Time
	ctx      context.Context
	// cancel ends the run with a cause, which is logged.
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	log     []*wire.Reply
	dropped int
	// buffered is the number of body bytes in log; dropped is the number of replies
	// removed from its front; read is the number of replies read so far.
	buffered int
	read     int
	// wake is closed and replaced when the log or the read position changes.
	wake chan struct{}
	// committed is the bytes of the answer that are committed on the link's pacer and
	// not yet sent.
	committed int
	ended     bool
	endedAt   time.Time
	// settled is set once no reader needs the replies any more: the last one has been
	// read, or the sender has revoked the attempt.
	settled bool
	// readers is the number of streams that read the job; unreadSince is when the last
	// one left.
	readers     int
	unreadSince time.Time
}

// answerBufferLimit is the most bytes of an answer that are buffered for reading again.
// A longer answer is streamed at the reader's pace.
const answerBufferLimit = 1 << 20

// Causes for which a run is cancelled.
var (
	errEnded   = errors.New("run has ended")
	errRevoked = errors.New("revoked by the sender")
	errUnread  = errors.New("no reader")
)

var errNotRetained = errors.New("start of the answer is no longer buffered")

func newJob(ctx context.Context, offer *wire.Offer, attempt cyclam.AttemptID, now time.Time) *job {
	remaining := time.Duration(offer.RemainingUs) * time.Microsecond
	j := &job{
		offer:    offer,
		attempt:  attempt,
		arrived:  now,
		deadline: now.Add(remaining),
		wake:     make(chan struct{}),
	}
	ctx, stopTimer := context.WithDeadline(ctx, j.deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	j.ctx, j.cancel = ctx, func(cause error) {
		cancel(cause)
		stopTimer()
	}
	return j
}

// append adds a reply to the log; last marks the final one. Replies after the final one
// are ignored.
func (j *job) append(reply *wire.Reply, last bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.log = append(j.log, reply)
	j.buffered += len(reply.GetChunk())
	j.ended = last
	if last {
		j.endedAt = time.Now()
	}
	j.signal()
}

// signal wakes all waiting goroutines. The caller holds mu.
func (j *job) signal() {
	close(j.wake)
	j.wake = make(chan struct{})
}

// throttle drops replies that have been read and blocks while more than
// answerBufferLimit bytes are unread. Without a reader nothing is dropped, so that the
// job can be resumed.
func (j *job) throttle() error {
	for {
		j.mu.Lock()
		if j.buffered <= answerBufferLimit {
			j.mu.Unlock()
			return nil
		}
		for j.readers > 0 && j.buffered > answerBufferLimit && j.dropped < j.read {
			j.buffered -= len(j.log[0].GetChunk())
			j.log = j.log[1:]
			j.dropped++
		}
		wake, full := j.wake, j.buffered > answerBufferLimit
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

// batchLimit is the most replies sent in one message.
const batchLimit = 16

// next returns the available replies from index at on and blocks until there is one. No
// replies and no error mean that the job has ended before at.
func (j *job) next(ctx context.Context, at int) ([]*wire.Reply, error) {
	for {
		j.mu.Lock()
		index := at - j.dropped
		if index < 0 {
			j.mu.Unlock()
			return nil, errNotRetained
		}
		if index < len(j.log) {
			ready := slices.Clone(j.log[index:min(len(j.log), index+batchLimit)])
			if end := at + len(ready); end > j.read {
				j.read = end
				if j.buffered > answerBufferLimit {
					j.signal()
				}
			}
			j.mu.Unlock()
			return ready, nil
		}
		if j.ended {
			j.settled = true
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

// isSettled reports whether no reader needs the replies any more.
func (j *job) isSettled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.settled
}

// attach adds a reader.
func (j *job) attach() {
	j.mu.Lock()
	j.readers++
	j.mu.Unlock()
}

// detach removes a reader and reports whether none is left while the job is still
// running. For an ended job, the retention of its answer starts anew.
func (j *job) detach() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	j.unreadSince = time.Now()
	if j.ended {
		j.endedAt = j.unreadSince
	}
	return j.readers == 0 && !j.ended
}

// unreadFor returns how long the job has had no reader; zero if it has one.
func (j *job) unreadFor(now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.readers > 0 || j.unreadSince.IsZero() {
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

// unread reports whether the job has not ended and has no reader.
func (j *job) unread() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && !j.ended
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
