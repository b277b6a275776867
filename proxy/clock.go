package proxy

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// clock returns the reading of this process's steady clock that messages carry, in
// microseconds.
func (n *Node) clock(now time.Time) uint64 { return uint64(now.Sub(n.startTime).Microseconds()) }

// timeOf returns the time at which this process's steady clock showed a reading; the zero
// time for none.
func (n *Node) timeOf(clock uint64) time.Time {
	if clock == 0 {
		return time.Time{}
	}
	return n.startTime.Add(reading(clock))
}

// reading returns the time that a steady clock's reading states.
func reading(clock uint64) time.Duration {
	return microseconds(int64(min(clock, math.MaxInt64)))
}

// noteClock applies the reading in a node's own load. The caller holds mu.
func (m *member) noteClock(l *wire.Load, now time.Time) {
	if l.GetClockUs() != 0 {
		m.clock = m.clock.WithStamp(now, reading(l.ClockUs))
	}
}

// clockOf returns what another process's steady clock shows at least, in microseconds; zero
// if that is not known.
func (n *Node) clockOf(process cyclam.Identity, now time.Time) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[process.Instance]
	if !ok || m.view.Endpoint.Identity != process {
		return 0
	}
	earliest, _ := m.clock.Earliest(now)
	return uint64(max(0, earliest.Microseconds()))
}

// stamp brings the times of the offer up to date, because it is sent now.
func (a *attempt) stamp(now time.Time) { a.stampOffer(a.offer, now) }

// stampOffer states in an offer of the attempt how much time is left now.
func (a *attempt) stampOffer(o *wire.Offer, now time.Time) {
	o.RemainingUs = a.deadline.Sub(now).Microseconds()
	o.GoalUs = a.goal.Sub(now).Microseconds()
	o.SentUs = a.node.clockOf(a.target.Endpoint.Identity, now)
}
