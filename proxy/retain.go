package proxy

import (
	"slices"
	"time"
)

const (
	// refusalRetention is how long a refused job is kept. Afterwards its attempt id is
	// enough to answer a sender that resumes it.
	refusalRetention = 700 * time.Millisecond
	// retainedLimit bounds the retained answers, in bytes; jobOverhead is counted for
	// each beside its body.
	retainedLimit = 8 << 20
	jobOverhead   = 4 << 10
)

// expireJobs discards ended jobs without readers whose senders don't resume them any
// more, and the oldest answers beyond retainedLimit, read ones first. Their attempt ids
// are kept, so that they don't run again.
func (n *Node) expireJobs(now time.Time) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	var held []retainedJob
	bytes := 0
	for _, j := range n.jobs {
		r, ok := j.retained()
		switch {
		case !ok:
		case j.isSettled(), !r.resumable, now.After(j.deadline),
			r.refused && now.Sub(r.endedAt) > refusalRetention:
			n.discard(r)
		default:
			held = append(held, r)
			bytes += r.bytes
		}
	}
	if bytes > retainedLimit {
		slices.SortFunc(held, retainedJob.compare)
	}
	for _, r := range held {
		if bytes <= retainedLimit {
			break
		}
		bytes -= r.bytes
		n.discard(r)
	}
	n.fences.revoked.rotate(now)
	n.fences.discarded.rotate(now)
}

// discard removes an ended job and its answer. The caller holds schedMu.
func (n *Node) discard(r retainedJob) {
	attempt := r.job.attempt
	delete(n.jobs, attempt)
	r.job.release()
	if r.refused {
		n.fences.revoked.add(attempt)
		return
	}
	n.fences.discarded.add(attempt)
	if r.answered && !r.read {
		n.meters.discardedUnread.Inc(1)
	}
}

// retainedJob is an ended job without readers.
type retainedJob struct {
	job     *job
	endedAt time.Time
	// refused is set if the attempt did not run, answered if its answer is whole.
	refused  bool
	answered bool
	// read is set once the last reply has been passed on or nobody needs it, resumable
	// while a reader can still read all replies.
	read      bool
	resumable bool
	// bytes is the memory that the job counts for.
	bytes int
}

// compare orders jobs by which is discarded first.
func (r retainedJob) compare(other retainedJob) int {
	if r.read != other.read {
		if r.read {
			return -1
		}
		return 1
	}
	return r.endedAt.Compare(other.endedAt)
}

// retained returns the job as a retained one; false if it has not ended or has a reader.
func (j *job) retained() (retainedJob, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ended || len(j.readers) > 0 {
		return retainedJob{}, false
	}
	last := j.log[len(j.log)-1]
	return retainedJob{
		job:       j,
		endedAt:   j.endedAt,
		refused:   last.GetDeclined() != nil,
		answered:  last.GetEnd() != nil && last.GetEnd().Reason == "",
		read:      j.settled || j.read,
		resumable: j.dropped == 0,
		bytes:     j.buffered + jobOverhead,
	}, true
}
