// Package canary decides how a service's traffic moves to a new release: which share of the
// requests the release gets, whether its answers show that it is bad, and when the move goes
// on, ends or is turned back. It does no input or output and reads no clock.
//
// It is designed for these load patterns: a release that fails or is slow from its start, from
// some time on, on one route only, or only while it is busy (requests are sent to it in pulses,
// to one upstream at a time, so that a small share makes it busy); a good release whose first
// answers are slow (answers during the warm-up do not count as slow); a service that is sick as
// a whole (the former release is the measure); one sick upstream among good ones; and few
// requests (the move goes on if all of few answers were good).
package canary

import (
	"hash/fnv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Step is one stage of the share that the new release gets.
type Step struct {
	// Until is the part of the order's duration at which the step ends.
	Until float64
	// Share is the part of the service's requests.
	Share float64
	// Pulsed is set if the share is sent in short pulses, which make an upstream busy.
	Pulsed bool
}

// Tuning holds what the operator bounds.
type Tuning struct {
	// Share and Slack bound the requests that reach a bad release: Share of all requests of
	// its service, and Slack more.
	Share float64
	Slack float64
	// Rollback is how long after its 50th bad answer a bad release may still get requests.
	Rollback time.Duration
}

// Enabled reports whether the operator's bounds provide for rollouts.
func (t Tuning) Enabled() bool { return t.Share > 0 && t.Rollback > 0 }

// steps holds the steps as multiples of Tuning.Share. All together stay well below
// it, so that what is sent until a fault is noticed fits into the rest.
var steps = []Step{
	{
		Until: 0.15,
		Share: 0.2,
	},
	{
		Until: 0.3,
		Share: 0.5,
	},
	{
		Until:  0.5,
		Share:  0.8,
		Pulsed: true,
	},
	{
		Until: 0.65,
		Share: 2.5,
	},
	// The last step is for a service that gets few requests: the slack allows for it.
	{
		Until: 0.65,
		Share: 5,
	},
}

// decisive is the first step after which the new release may take over.
const decisive = 3

// Step returns a step of the rollout; numbers beyond the last one give the last one.
func (t Tuning) Step(number int) Step {
	s := steps[max(0, min(number, len(steps)-1))]
	s.Share = min(0.5, s.Share*t.Share)
	return s
}

const (
	// pulsePeriod and pulseWidth set the pulses. One pulse goes to one upstream.
	pulsePeriod = 2 * time.Second
	pulseWidth  = 350 * time.Millisecond
	// creditLimit bounds the requests that a node may catch up on.
	creditLimit = 3
)

// Sampler picks the requests of one node that go to the new release, so that all nodes together
// keep the share of a step without a message. It is immutable.
type Sampler struct {
	credit float64
}

// NewSampler returns a sampler. Start is random between 0 and 1, so that the nodes, and those
// that restart, do not all begin with a request, or without one.
func NewSampler(start float64) Sampler {
	return Sampler{
		credit: start,
	}
}

// Next counts one request at a time since the order, and reports whether it goes to the new
// release.
func (s Sampler) Next(step Step, age time.Duration) (Sampler, bool) {
	s.credit = min(creditLimit, s.credit+step.Share)
	if s.credit < 1 || step.Pulsed && age%pulsePeriod >= pulseWidth {
		return s, false
	}
	s.credit--
	return s, true
}

// WithReturned returns the sampler after a picked request could not be sent to the new release.
func (s Sampler) WithReturned() Sampler {
	s.credit = min(creditLimit, s.credit+1)
	return s
}

// panel is how many upstreams of the new release get requests before the last step.
const panel = 4

// Rank returns the order in which upstreams of the new release are tried at a time since the
// order; lower comes first. The first one changes with each pulse. False means that the
// upstream has to wait for the last step.
func Rank(age time.Duration, number, count int) (int, bool) {
	size := min(panel, count)
	if number >= size {
		return number, false
	}
	return (number + size - int(age/pulsePeriod)%size) % size, true
}

// Hash orders the upstreams of a release in the same way at all nodes.
func Hash(order string, instance cyclam.InstanceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(order + "/" + string(instance)))
	return h.Sum64()
}
