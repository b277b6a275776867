package intent

import "time"

// clockMemory is how long a stamp is used at least. It is much longer than the pause between
// two messages of a pair of nodes in a large fleet, and short enough that two clocks don't
// drift apart by more than some milliseconds meanwhile.
const clockMemory = time.Minute

// Clock bounds the steady clock of another process by the stamps in its messages, without
// a round trip: a message that is received was stamped earlier, so the other clock shows at
// least the stamp by now. The zero value knows nothing. It is immutable.
type Clock struct {
	// startedBy is the latest time at which the other clock can have started, by the
	// stamps of the current period; previous is that of the period before. Zero values
	// mean that there was no stamp.
	startedBy time.Time
	previous  time.Time
	// since is when the current period began.
	since time.Time
}

// WithStamp returns the clock after a message was received that the other process stamped
// with the time since its start.
func (c Clock) WithStamp(now time.Time, stamp time.Duration) Clock {
	c = c.at(now)
	if c.since.IsZero() {
		c.since = now
	}
	if startedBy := now.Add(-stamp); c.startedBy.IsZero() || startedBy.Before(c.startedBy) {
		c.startedBy = startedBy
	}
	return c
}

// Earliest returns the earliest time since its start that the other clock can show now;
// false if too little is known. It falls short of the true time by the delay of the fastest
// message received.
func (c Clock) Earliest(now time.Time) (time.Duration, bool) {
	c = c.at(now)
	startedBy := c.startedBy
	if startedBy.IsZero() || !c.previous.IsZero() && c.previous.Before(startedBy) {
		startedBy = c.previous
	}
	if startedBy.IsZero() {
		return 0, false
	}
	return now.Sub(startedBy), true
}

// at returns the clock without the stamps that are no longer used.
func (c Clock) at(now time.Time) Clock {
	switch age := now.Sub(c.since); {
	case c.since.IsZero() || age < clockMemory:
	case age < 2*clockMemory:
		c.previous, c.startedBy, c.since = c.startedBy, time.Time{}, c.since.Add(clockMemory)
	default:
		c = Clock{}
	}
	return c
}
