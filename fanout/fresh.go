package fanout

import "time"

// Unknown is the age of a version of which nothing is known. Longer ages count as it.
const Unknown = 365 * 24 * time.Hour

// Freshness tells how recently the version that a node has in force was known to be the
// store's newest. It is immutable; the zero value knows nothing. Times are readings of the
// node's own clock, which has to count the time for which the machine is suspended.
//
// What an answer says was true at some time after its question was sent. An answer may be
// late by any time, so nothing is concluded from when it arrives.
type Freshness struct {
	known bool
	// at is a time at which the version in force, or one before it, was the newest.
	at time.Duration
}

// WithAnswer returns the freshness after the store has answered a question sent at a time.
func (f Freshness) WithAnswer(sent time.Duration) Freshness { return f.WithWord(sent, 0) }

// WithWord returns the freshness after another node has answered a question sent at a time
// that the version in force was known to be the newest age before its answer.
func (f Freshness) WithWord(sent, age time.Duration) Freshness {
	if age < 0 || age >= Unknown || f.known && sent-age <= f.at {
		return f
	}
	return Freshness{
		known: true,
		at:    sent - age,
	}
}

// Age returns the time since the version in force was known to be the newest.
func (f Freshness) Age(now time.Duration) time.Duration {
	if !f.known || now-f.at >= Unknown {
		return Unknown
	}
	return max(0, now-f.at)
}

// Renewal decides when a node asks the store whether its version is still the newest,
// besides watching it. The zero Renewal never does.
//
// It is designed for this load pattern: a fleet of many nodes, each of which must know at
// any time that its version was the newest a few seconds ago, and a store that bears a few
// calls a second, turns some nodes away, and is down for seconds.
type Renewal struct {
	// Limit is the age up to which a node can use its version.
	Limit time.Duration
}

// Due returns the age of the word at which a node asks the store itself. The first reader
// of a region asks so often that all nodes of the region hear of it in time. The others
// ask if they hear nothing, one after the other. The nodes that are no readers ask last:
// many of them at once delay the readers, who are as likely to reach the store.
func (r Renewal) Due(p Plan) time.Duration {
	switch {
	case r.Limit <= 0:
		return Unknown
	case !p.Reader:
		return r.Limit * 6 / 5
	default:
		return time.Duration(1+p.Rank) * r.Limit / 8
	}
}
