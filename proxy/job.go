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

// job is one attempt at the own upstream: a log of replies that its sender
// reads, and may read again from the start after its connection broke.
type job struct {
	offer    *wire.Offer
	attempt  cyclam.AttemptID
	arrived  time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	log     []*wire.Reply
	dropped int
	held    int
	read    int
	wake    chan struct{}
	// promised is the bytes that the link has to carry for it yet.
	promised int
	ended    bool
	endedAt  time.Time
	readers  int
}

// holdLimit is how many bytes of an answer are kept for reading again; a longer
// one is passed on piece by piece, at the reader's pace.
const holdLimit = 1 << 20

var errNotHeld = errors.New("answer is no longer held from its start")

func newJob(ctx context.Context, offer *wire.Offer, attempt cyclam.AttemptID, now time.Time) *job {
	remaining := time.Duration(offer.RemainingUs) * time.Microsecond
	j := &job{
		offer:    offer,
		attempt:  attempt,
		arrived:  now,
		deadline: now.Add(remaining),
		wake:     make(chan struct{}),
	}
	j.ctx, j.cancel = context.WithDeadline(ctx, j.deadline)
	return j
}

// append adds a reply; a last one ends the job.
func (j *job) append(reply *wire.Reply, last bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.log = append(j.log, reply)
	j.held += len(reply.GetChunk())
	j.ended = last
	if last {
		j.endedAt = time.Now()
	}
	j.signal()
}

// signal wakes whoever waits; the caller holds the lock.
func (j *job) signal() {
	close(j.wake)
	j.wake = make(chan struct{})
}

// throttle waits while more than holdLimit bytes were not read yet.
func (j *job) throttle() error {
	for {
		j.mu.Lock()
		if j.held <= holdLimit {
			j.mu.Unlock()
			return nil
		}
		for j.held > holdLimit && j.dropped < j.read {
			j.held -= len(j.log[0].GetChunk())
			j.log = j.log[1:]
			j.dropped++
		}
		wake, full := j.wake, j.held > holdLimit
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

// batchLimit bounds the replies that are sent as one message.
const batchLimit = 16

// next returns the replies from number at on that are ready, waiting for one;
// none means that the job has ended before.
func (j *job) next(ctx context.Context, at int) ([]*wire.Reply, error) {
	for {
		j.mu.Lock()
		index := at - j.dropped
		if index < 0 {
			j.mu.Unlock()
			return nil, errNotHeld
		}
		if index < len(j.log) {
			ready := slices.Clone(j.log[index:min(len(j.log), index+batchLimit)])
			if end := at + len(ready); end > j.read {
				j.read = end
				if j.held > holdLimit {
					j.signal()
				}
			}
			j.mu.Unlock()
			return ready, nil
		}
		if j.ended {
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

// attach counts a reader, detach takes it back and reports whether none is left
// while the job still runs.
func (j *job) attach() {
	j.mu.Lock()
	j.readers++
	j.mu.Unlock()
}

func (j *job) detach() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	if j.ended {
		j.endedAt = time.Now()
	}
	return j.readers == 0 && !j.ended
}

// orphaned reports whether nobody reads the job.
func (j *job) orphaned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && !j.ended
}

// unpromise takes bytes off what is promised and returns how many were.
func (j *job) unpromise(bytes int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	bytes = min(bytes, j.promised)
	j.promised -= bytes
	return bytes
}

// done reports whether the job has ended and nobody reads it, and since when.
func (j *job) done() (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endedAt, j.ended && j.readers == 0
}
