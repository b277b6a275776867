package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Inbound is the receiving side of the node's own link. Other nodes announce large bodies and
// send each once it is granted, so that what many of them send to few nodes waits with its
// senders and not on the link, where small messages would stand behind it. A body that could
// not be answered in time is refused before any of it is sent. Inbound is immutable.
//
// It is designed for these load patterns: uploads from many senders that together nearly fill
// the narrow links of few receivers, a burst beyond that (what the links can bring arrives in
// time, the rest is refused at once), the time after it (nothing is left on the links that
// nobody waits for), and senders that die, or are slow, once a body has been granted.
type Inbound struct {
	// Rate is the receiving rate in bytes per second; zero grants each body at once.
	Rate float64

	// waiting holds the bodies that have been announced, and granted those that are being sent.
	waiting []Transfer
	granted []grant
	// drainedAt is when all granted bodies have arrived, if they come at the link's rate.
	drainedAt time.Time
	// other is the rate at which anything else is received, in bytes per second at time otherAt.
	other   float64
	otherAt time.Time
}

// Transfer is a body that another node has announced.
type Transfer struct {
	ID    uint64
	Bytes int
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// SoftDeadline is when the answer is wanted; after Deadline it is of no use.
	SoftDeadline time.Time
	Deadline     time.Time
	// Work is how long the request is expected to wait and run at the upstream once its body has
	// arrived.
	Work time.Duration
}

// grant is a body that is being sent.
type grant struct {
	id uint64
	// left is what has not arrived yet, in bytes. progressAt is when some of it did last, or
	// when it was granted.
	left       int
	progressAt time.Time
}

// Decision is what becomes of an announced body: it is granted, or refused.
type Decision struct {
	ID      uint64
	Granted bool
	// RetryAfter is the time until there is room for a body that is refused. Its answer will be
	// late then, as it would be beside those that wait now.
	RetryAfter time.Duration
}

const (
	// lead is how long before the link is idle the next body is granted: its sender hears of
	// it, and its first bytes arrive, after a round trip. Small messages stand behind no more
	// than what the link brings in that time, and a body.
	lead = 50 * time.Millisecond
	// maxUnderWay is how much may be granted and not have arrived, as receiving time, if senders
	// are slower than the link.
	maxUnderWay = 200 * time.Millisecond
	// lapse is the time without any bytes after which a granted body does not count any more. Its
	// sender may be dead, or its own link may be full.
	lapse = 400 * time.Millisecond
	// workMargin and wayMargin leave room for upstreams that vary, and for bodies that share the
	// link and the answer's way.
	workMargin = 1.5
	wayMargin  = 150 * time.Millisecond
	// leastWork is the fraction of the expected work that few requests fall short of.
	leastWork = 0.5
	// keptMargin is by how much a body that waits may turn out to be late before it is refused
	// after all: the expectation changes with everything that arrives.
	keptMargin = 100 * time.Millisecond
	// otherSpan is the time constant of the moving average of other traffic, and leastShare the
	// fraction of the rate that bodies may use at least.
	otherSpan  = time.Second
	leastShare = 0.25
)

// Announce adds a body that another node has announced.
func (s Inbound) Announce(now time.Time, t Transfer) (Inbound, []Decision) {
	if late, after := s.isLate(now, t, s.ahead(now, t), 0); late {
		return s, []Decision{
			{
				ID:         t.ID,
				RetryAfter: after,
			},
		}
	}
	at, _ := slices.BinarySearchFunc(s.waiting, t, compareTransfers)
	s.waiting = slices.Insert(slices.Clone(s.waiting), at, t)
	return s.Tick(now)
}

// Receive counts bytes of a granted body that have arrived.
func (s Inbound) Receive(now time.Time, id uint64, bytes int) (Inbound, []Decision) {
	i := s.indexOfGrant(id)
	if i < 0 {
		return s, nil
	}
	s.granted = slices.Clone(s.granted)
	g := &s.granted[i]
	g.left, g.progressAt = max(0, g.left-bytes), now
	return s.Tick(now)
}

// End removes a body that has arrived, or that is not sent any more.
func (s Inbound) End(now time.Time, id uint64) (Inbound, []Decision) {
	if i := slices.IndexFunc(s.waiting, func(t Transfer) bool { return t.ID == id }); i >= 0 {
		s.waiting = slices.Delete(slices.Clone(s.waiting), i, i+1)
		return s.Tick(now)
	}
	i := s.indexOfGrant(id)
	if i < 0 {
		return s, nil
	}
	if left := s.granted[i].left; left > 0 && s.drainedAt.After(now) {
		s.drainedAt = s.drainedAt.Add(-s.transferTime(now, left))
	}
	s.granted = slices.Delete(slices.Clone(s.granted), i, i+1)
	return s.Tick(now)
}

// Tick grants the bodies for which there is room, the most urgent first, and refuses those that
// can't be answered in time any more.
func (s Inbound) Tick(now time.Time) (Inbound, []Decision) {
	if len(s.waiting) == 0 {
		return s, nil
	}
	var decisions []Decision
	var kept []Transfer
	s.granted = slices.Clone(s.granted)
	queue := s.drainTime(now)
	for _, t := range s.waiting {
		late, after := s.isLate(now, t, queue, keptMargin)
		switch {
		case late:
			decisions = append(decisions, Decision{
				ID:         t.ID,
				RetryAfter: after,
			})
			continue
		case len(kept) == 0 && s.hasRoom(now):
			decisions = append(decisions, Decision{
				ID:      t.ID,
				Granted: true,
			})
			s = s.grant(now, t)
		default:
			kept = append(kept, t)
		}
		queue += s.transferTime(now, t.Bytes)
	}
	s.waiting = kept
	return s, decisions
}

// hasRoom reports whether the next body may be sent.
func (s Inbound) hasRoom(now time.Time) bool {
	return s.Rate <= 0 || s.drainedAt.Sub(now) < lead && s.transferTime(now, s.underWay(now)) < maxUnderWay
}

func (s Inbound) grant(now time.Time, t Transfer) Inbound {
	if s.drainedAt.Before(now) {
		s.drainedAt = now
	}
	s.drainedAt = s.drainedAt.Add(s.transferTime(now, t.Bytes))
	s.granted = append(s.granted, grant{
		id:         t.ID,
		left:       t.Bytes,
		progressAt: now,
	})
	return s
}

// Next returns when Tick may decide something without another event; false if nothing waits.
func (s Inbound) Next(now time.Time) (time.Time, bool) {
	if len(s.waiting) == 0 {
		return time.Time{}, false
	}
	next := s.drainedAt.Add(-lead)
	for _, g := range s.granted {
		if until := g.progressAt.Add(lapse); until.After(now) && !next.After(now) {
			next = until
		}
	}
	if !next.After(now) {
		next = now.Add(lead)
	}
	return next, true
}

// WithOther returns the state after bytes have been received that belong to no granted body.
func (s Inbound) WithOther(now time.Time, bytes int) Inbound {
	s.other = s.otherRate(now) + float64(bytes)/otherSpan.Seconds()
	s.otherAt = now
	return s
}

func (s Inbound) otherRate(now time.Time) float64 {
	return s.other * math.Exp(-max(0, now.Sub(s.otherAt)).Seconds()/otherSpan.Seconds())
}

// Backlog returns how long it takes until a body that is announced now would be sent.
func (s Inbound) Backlog(now time.Time) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	backlog := s.drainTime(now)
	for _, t := range s.waiting {
		backlog += s.transferTime(now, t.Bytes)
	}
	return backlog
}

// drainTime returns how long the link needs for what has been granted.
func (s Inbound) drainTime(now time.Time) time.Duration {
	return max(0, s.drainedAt.Sub(now), s.transferTime(now, s.underWay(now)))
}

// ahead returns how long a body that is announced now would wait.
func (s Inbound) ahead(now time.Time, t Transfer) time.Duration {
	wait := s.drainTime(now)
	for _, other := range s.waiting {
		if compareTransfers(other, t) < 0 {
			wait += s.transferTime(now, other.Bytes)
		}
	}
	return wait
}

// isLate reports whether a body that waits for a time would not be answered by its soft deadline
// and a margin. Such a body is only sent if next to nothing waits, as it would take the place of
// others, and if it may still be answered before the deadline. The second result is how long it
// takes until next to nothing waits.
func (s Inbound) isLate(now time.Time, t Transfer, wait, margin time.Duration) (bool, time.Duration) {
	arrival := wait + s.transferTime(now, t.Bytes)
	if now.Add(arrival + time.Duration(leastWork*float64(t.Work))).After(t.Deadline) {
		return true, max(0, wait-minRefusalQueue)
	}
	end := now.Add(arrival + time.Duration(workMargin*float64(t.Work)) + wayMargin)
	return s.Rate > 0 && wait > minRefusalQueue && end.After(t.SoftDeadline.Add(margin)), wait - minRefusalQueue
}

// underWay returns how many granted bytes have not arrived and are still expected.
func (s Inbound) underWay(now time.Time) int {
	bytes := 0
	for _, g := range s.granted {
		if now.Sub(g.progressAt) < lapse {
			bytes += g.left
		}
	}
	return bytes
}

// transferTime returns how long the link needs for bytes beside other traffic.
func (s Inbound) transferTime(now time.Time, bytes int) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	rate := max(leastShare*s.Rate, s.Rate-s.otherRate(now))
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

func (s Inbound) indexOfGrant(id uint64) int {
	return slices.IndexFunc(s.granted, func(g grant) bool { return g.id == id })
}

// compareTransfers orders bodies by urgency, then by when their answers are wanted.
func compareTransfers(a, b Transfer) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.SoftDeadline.Compare(b.SoftDeadline), cmp.Compare(a.ID, b.ID))
}
