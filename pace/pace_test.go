package pace

import (
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against downloads that fill the link's queue, on a link of 8.4 Mbit/s:
// sent at once, each small message behind them waits for all of them; paced, it
// waits for the link's queue only.
func TestPacingLimitsLinkQueue(t *testing.T) {
	const (
		rate      = 1.05e6
		downloads = 10
		size      = 90_000
		chunk     = 16 << 10
	)
	s := State{
		Rate: rate,
	}
	atOnce := s.sendTime(downloads * size)
	// queued is the sending time of the link's queue after a chunk is sent: the
	// chunks sent before, less what has left since.
	var queued, worst time.Duration
	last := now
	for range downloads * size / chunk {
		var wait time.Duration
		s, wait = s.Reserve(now, chunk)
		at := now.Add(wait)
		queued = max(0, queued-at.Sub(last)) + s.sendTime(chunk)
		last = at
		worst = max(worst, queued)
	}
	if got, want := worst, atOnce/10; got > want {
		t.Errorf("link queue: got %v, want at most a tenth of the %v without pacing", got, want)
	}
	if got, want := s.Backlog(now, 0), atOnce*9/10; got < want {
		t.Errorf("backlog: got %v, want at least %v", got, want)
	}
	if got, want := last.Sub(now), atOnce; got > want {
		t.Errorf("last chunk sent after %v, want at most the %v that the link needs", got, want)
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

// Guards against a link on which every download is late: with more downloads than
// the link can carry and all admitted, the queue grows until none is in time. With
// those refused that would leave too late, the downloads that the link can carry
// are in time.
func TestAdmitsOnOverloadedLink(t *testing.T) {
	const (
		rate         = 1.05e6
		size         = 90_000
		interval     = 65 * time.Millisecond // a third more than the capacity of the link
		serviceTime  = 200 * time.Millisecond
		softDeadline = time.Second
		count        = 300
	)
	serve := func(refuse bool) (inTime, refused int) {
		s := State{
			Rate: rate,
		}
		for i := range count {
			at := now.Add(time.Duration(i) * interval)
			ok, after := s.Admits(at, serviceTime, size, 0, at.Add(softDeadline), at.Add(4*softDeadline))
			if refuse && !ok {
				if after <= 0 {
					t.Errorf("refused: got a retry time of %v, want a positive one", after)
				}
				refused++
				continue
			}
			s, _ = s.Reserve(at, size)
			if s.Backlog(at, 0)+serviceTime <= softDeadline {
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
