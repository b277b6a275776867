package picker

import cyclam "github.com/cyclamensaddle/cyclam"

const (
	// maxRefusals is how many refusals a request collects before its caller is refused.
	maxRefusals = 6
	// maxOverloads is how many of them may be for overload. Each offer takes processor time
	// at two nodes, which a fleet whose upstreams are all full needs for requests that it
	// can serve; and the caller waits meanwhile.
	maxOverloads = 2
)

// Refusals counts how often a request was refused, or lost on its way, and decides how it is
// offered again. It is immutable.
type Refusals struct {
	// Nested is set for a request of running work. That work holds a slot and fails with the
	// request, so the request is offered to any upstream for as long as it may be.
	Nested bool

	overloads int
	others    int
}

// With returns the count after a refusal.
func (r Refusals) With(reason cyclam.Reason) Refusals {
	if reason == cyclam.ReasonOverloaded {
		r.overloads++
	} else {
		r.others++
	}
	return r
}

// Exhausted reports whether the request is not to be offered again.
func (r Refusals) Exhausted() bool {
	return r.overloads+r.others >= maxRefusals || !r.Nested && r.overloads >= maxOverloads
}

// StartAtOnce reports whether the request is only to be offered to upstreams with a free
// slot: one that seemed best among full ones has refused it.
func (r Refusals) StartAtOnce() bool { return !r.Nested && r.overloads > 0 }

// lateFraction is the fraction of the time between goal and deadline by which an answer may
// be expected late for a request to be offered, so that short bursts are absorbed. Package
// sched queues work by the same bound.
const lateFraction = 0.5
