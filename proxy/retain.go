package proxy

import (
	"slices"
	"time"
)

const (
	// refusalRetention is how long a refused job is kept. Afterwards its attempt id is
	// enough to answer a sender that resumes it.
	refusalRetention = 700 * time.Millisecond
	// retainedLimit bounds the bodies of retained answers, in bytes.
	retainedLimit = 8 << 20
)

// expireJobs discards ended jobs without readers whose senders can't resume them any
// more, and the oldest answers beyond retainedLimit, settled ones first. Their attempt
// ids are kept, so that they don't run again.
func (n *Node) expireJobs(now time.Time) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	var held []retainedJob
	bytes := 0
	for _, j := range n.jobs {
		r, ok := j.retained()
		switch {
		case !ok:
		case r.refused && now.Sub(r.endedAt) > refusalRetention, !r.resumable, now.After(j.deadline):
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
	if r.refused {
		n.fences.revoked.add(attempt)
		return
	}
	n.fences.discarded.add(attempt)
	if r.answered && !r.settled {
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
	// settled is set once no reader needs the replies any more, resumable while one can
	// still read all of them.
	settled   bool
	resumable bool
	// bytes is the size of the body that is buffered.
	bytes int
}

// compare orders jobs by which is discarded first.
func (r retainedJob) compare(other retainedJob) int {
	if r.settled != other.settled {
		if r.settled {
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
	if !j.ended || j.readers > 0 {
		return retainedJob{}, false
	}
	last := j.log[len(j.log)-1]
	return retainedJob{
		job:       j,
		endedAt:   j.endedAt,
		refused:   last.GetDeclined() != nil,
		answered:  last.GetEnd() != nil && last.GetEnd().Reason == "",
		settled:   j.settled,
		resumable: j.dropped == 0,
		bytes:     j.buffered,
	}, true
}
