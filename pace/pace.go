// Package pace spreads large answers over the time that a node's own link needs
// for them.
//
// The load pattern that it answers: downloads that together nearly fill a narrow
// link. Sent at once they fill the link's queue, which delays every small message,
// acknowledgement and answer to a nested call; here they wait in the process, and
// small messages overtake them.
package pace

import "time"

// State is the own link's sending side; Reserve returns a changed copy.
type State struct {
	// Rate is how many bytes a second are sent; zero means that nothing waits.
	Rate float64
	// clear is when all that was accepted has left.
	clear time.Time
}

// queueSpan is how much the link's own queue may hold: enough to keep the link
// busy while the process is not scheduled, little beside a request's goal.
const queueSpan = 30 * time.Millisecond

// Reserve accepts bytes and returns how long to wait before they are sent.
func (s State) Reserve(now time.Time, bytes int) (State, time.Duration) {
	if s.Rate <= 0 {
		return s, 0
	}
	if s.clear.Before(now) {
		s.clear = now
	}
	wait := max(0, s.clear.Sub(now)-queueSpan)
	s.clear = s.clear.Add(s.span(bytes))
	return s, wait
}

// Backlog returns how long it takes until all that was accepted has left, with
// promised bytes of accepted answers that Reserve was not told of yet.
func (s State) Backlog(now time.Time, promised int) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return max(0, s.clear.Sub(now)) + s.span(promised)
}

// Admits reports whether a large answer that is ready after work leaves in time
// for the goal, or for the deadline if the goal has passed; promised is as in
// Backlog. An answer that could only be late would delay those that come after it,
// so it is not admitted while others wait; without a queue it is sent, late or not.
// The second result is how long it takes until there is room.
func (s State) Admits(now time.Time, work time.Duration, bytes, promised int, goal, deadline time.Time) (bool, time.Duration) {
	if s.Rate <= 0 {
		return true, 0
	}
	queued := s.Backlog(now, promised)
	limit := goal
	if !limit.After(now) {
		limit = deadline
	}
	over := work + queued + s.span(bytes) - limit.Sub(now)
	if queued <= queueLeast || over <= 0 {
		return true, 0
	}
	return false, over
}

// queueLeast is the queue that no answer is refused for: about one download of
// 90 KB on a link of 8.4 Mbit/s.
const queueLeast = 100 * time.Millisecond

// span returns how long bytes take.
func (s State) span(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.Rate * float64(time.Second))
}
