// Package pace spreads large answers over the time that the node's own link needs
// to send them. It runs when a node admits and sends the answer to an attempt.
// Package proxy uses it, under "cyclamensaddle sidecar" only.
//
// It is designed for this load pattern: downloads that together nearly fill a
// narrow link. Sent at once they fill the link's queue, which delays every small
// message, acknowledgement and answer to a nested call; paced, they wait in the
// process, and small messages overtake them.
package pace

import "time"

// State is the sending side of the node's own link; Reserve returns a changed
// copy.
type State struct {
	// Rate is the sending rate in bytes per second; zero disables pacing.
	Rate float64
	// drainedAt is when all accepted bytes have left.
	drainedAt time.Time
}

// maxLinkQueue is how much may queue in the link itself, as sending time: enough
// to keep the link busy while the process is not scheduled, and little compared
// with a request's soft deadline.
const maxLinkQueue = 30 * time.Millisecond

// Reserve accepts bytes and returns how long to wait before they are sent.
func (s State) Reserve(now time.Time, bytes int) (State, time.Duration) {
	if s.Rate <= 0 {
		return s, 0
	}
	if s.drainedAt.Before(now) {
		s.drainedAt = now
	}
	wait := max(0, s.drainedAt.Sub(now)-maxLinkQueue)
	s.drainedAt = s.drainedAt.Add(s.sendTime(bytes))
	return s, wait
}

// Backlog returns how long it takes until all accepted bytes have left, with
// promised bytes of accepted answers that have not been passed to Reserve yet.
func (s State) Backlog(now time.Time, promised int) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return max(0, s.drainedAt.Sub(now)) + s.sendTime(promised)
}

// Admits reports whether a large answer that is ready after serviceTime leaves
// before the soft deadline, or before the deadline if the soft deadline has
// passed; promised is as in Backlog. An answer that would be late is not admitted
// while others are queued, because it would delay those that come after it; with
// next to no queue it is sent even if it is late. The second result is how long it
// takes until there is room.
func (s State) Admits(now time.Time, serviceTime time.Duration, bytes, promised int, softDeadline, deadline time.Time) (bool, time.Duration) {
	if s.Rate <= 0 {
		return true, 0
	}
	queued := s.Backlog(now, promised)
	limit := softDeadline
	if !limit.After(now) {
		limit = deadline
	}
	excess := serviceTime + queued + s.sendTime(bytes) - limit.Sub(now)
	if queued <= minRefusalQueue || excess <= 0 {
		return true, 0
	}
	return false, excess
}

// minRefusalQueue is the queue up to which no answer is refused: about one
// download of 90 KB on a link of 8.4 Mbit/s.
const minRefusalQueue = 100 * time.Millisecond

// sendTime returns how long the link needs to send bytes.
func (s State) sendTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.Rate * float64(time.Second))
}
