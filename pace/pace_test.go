package pace

import (
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Downloads that come together on a link of 8.4 Mbit/s: at once, each small
// message behind them waits for all of them; paced, for the link's queue only.
func TestSmallMessagesPassDownloads(t *testing.T) {
	const (
		rate      = 1.05e6
		downloads = 10
		size      = 90_000
		piece     = 16 << 10
	)
	s := State{
		Rate: rate,
	}
	atOnce := s.span(downloads * size)
	// queued is what stands in the link's queue at each moment when a piece is
	// sent: the pieces sent before, less what has left since.
	var queued, worst time.Duration
	last := now
	for range downloads * size / piece {
		var wait time.Duration
		s, wait = s.Reserve(now, piece)
		at := now.Add(wait)
		queued = max(0, queued-at.Sub(last)) + s.span(piece)
		last = at
		worst = max(worst, queued)
	}
	if got, want := worst, atOnce/10; got > want {
		t.Errorf("queue in the link: got %v, want at most a tenth of the %v without pacing", got, want)
	}
	if got, want := s.Backlog(now, 0), atOnce*9/10; got < want {
		t.Errorf("backlog: got %v, want at least %v", got, want)
	}
	if got, want := last.Sub(now), atOnce; got > want {
		t.Errorf("last piece sent after %v, want at most the %v that the link needs", got, want)
	}
}

func TestIdleLinkDoesNotWait(t *testing.T) {
	for _, s := range []State{
		{},
		{Rate: 1e6},
	} {
		_, wait := s.Reserve(now, 16<<10)
		if wait != 0 {
			t.Errorf("rate %v: got a wait of %v, want none", s.Rate, wait)
		}
	}
}

// More downloads than the link can carry: accepted all, the queue grows until
// none is in time; with what can't leave in time refused, those that the link can
// carry are.
func TestOverloadedLink(t *testing.T) {
	const (
		rate  = 1.05e6
		size  = 90_000
		every = 65 * time.Millisecond // a third more than the link carries
		work  = 200 * time.Millisecond
		goal  = time.Second
		count = 300
	)
	serve := func(refuse bool) (inTime, refused int) {
		s := State{
			Rate: rate,
		}
		for i := range count {
			at := now.Add(time.Duration(i) * every)
			ok, after := s.Admits(at, work, size, 0, at.Add(goal), at.Add(4*goal))
			if refuse && !ok {
				if after <= 0 {
					t.Errorf("refused without a time to come back: got %v", after)
				}
				refused++
				continue
			}
			s, _ = s.Reserve(at, size)
			if s.Backlog(at, 0)+work <= goal {
				inTime++
			}
		}
		return inTime, refused
	}
	baseline, _ := serve(false)
	got, refused := serve(true)
	if want := count * 7 / 10; got < want {
		t.Errorf("in time: got %d of %d with %d refused, want at least the %d that the link can carry", got, count, refused, want)
	}
	if got <= 2*baseline {
		t.Errorf("in time: got %d, want more than twice the %d without refusals", got, baseline)
	}
}
