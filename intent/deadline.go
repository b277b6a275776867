// Package intent holds what the node beside an upstream knows of the wishes of an attempt's
// sender: until when the sender waits, and when it is known to have wanted the attempt. It
// decides from that whether an attempt may start and when its sender has to be asked.
// Package proxy uses it under "cyclamensaddle sidecar".
//
// It is designed for links that are full or broken: a message may take longer than its
// sender waits, and a revocation may be behind it. A start therefore rests on what the
// sender is known to have wanted shortly before, never on a revocation that has not arrived.
// Time on the way shortens what is left and never adds to it.
package intent

import "time"

// SentAt returns when an offer was sent that is received now, or the zero time if that is not
// known: the time in the offer is in the future, or so long ago that the sender would have
// stopped waiting. The clock of either node may have stood still meanwhile. The sender is
// asked then; one that has stopped waiting does not answer.
func SentAt(now, stated time.Time, remaining time.Duration) time.Time {
	if !known(now, stated) || !stated.Add(remaining).After(now) {
		return time.Time{}
	}
	return stated
}

// Deadline returns when the sender of an offer that is received now stops waiting, given
// what it would still wait when it sent the offer. If sentAt is zero or in the future, the
// time on the way is not known, and the deadline may be too late by it.
func Deadline(now, sentAt time.Time, remaining time.Duration) time.Time {
	if !known(now, sentAt) {
		sentAt = now
	}
	return sentAt.Add(remaining)
}

// known reports whether a time by another process's message can be right. Its clock may
// have stood still while its machine was suspended.
func known(now, at time.Time) bool { return !at.IsZero() && !at.After(now) }
