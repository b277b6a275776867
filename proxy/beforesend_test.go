package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// slowConnects makes connections of n to its upstream take d while the result is positive;
// each one lowers it.
func slowConnects(n *Node, d time.Duration) *atomic.Int64 {
	left := &atomic.Int64{}
	dial := n.Dial
	if dial == nil {
		dial = origin.DialTCP
	}
	n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if address == n.Settings.Upstream && left.Add(-1) >= 0 && !sleep(ctx, d) {
			return nil, ctx.Err()
		}
		return dial(ctx, address)
	}
	return left
}

// The time that a connection to the upstream takes must shorten the time that it is handed.
func TestTimeOfConnectingShortensDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			connect = goneWithin + 200*time.Millisecond
			wait    = 2500 * time.Millisecond
		)
		s := newPausedCluster(t)
		u := s.newUpstream("u1")
		starts := u.startsOf("/book/x", respondAfter(0))
		n := s.node("door", u, nil)
		slow := slowConnects(n, connect)
		s.run(n)
		s.awaitReady(n)
		slow.Store(1)
		deadline := time.Now().Add(wait)
		status, body, _, err := s.request(t.Context(), n, http.MethodPost, "/book/x", wait)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := status, http.StatusOK; got != want {
			t.Fatalf("status: got %d %q, want %d", got, body, want)
		}
		run := <-starts
		if got, want := run.at.Add(run.handed).Sub(deadline), goneWithin; got > want {
			t.Errorf("handed beyond the deadline: got %v, want at most %v", got, want)
		}
	})
}

// An attempt that is not sent because its sender's word has become too old must end as not
// run, which is no sign against the upstream: the caller may try again.
func TestAttemptNotSentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connect = goneWithin + 200*time.Millisecond
		p := newLatePair(t, 2)
		lines := &lineBuffer{}
		p.door.Log = hclog.New(&hclog.LoggerOptions{
			Output: lines,
		})
		slow := slowConnects(p.door, connect)
		starts := p.upstream.startsOf("/book/x", respondAfter(0))
		p.open()
		slow.Store(1)
		p.want(p.front, http.MethodPost, "/book/x", http.StatusServiceUnavailable)
		if got, want := len(starts), 0; got != want {
			t.Errorf("runs of a refused request: got %d, want %d", got, want)
		}
		if line, want := lines.find("upstream-did-not-run"), "reason="+string(cyclam.ReasonUnconfirmed); !strings.Contains(line, want) {
			t.Errorf("log: got %q, want a line with %q", line, want)
		}
		synctest.Wait()
		if got := p.door.load(); got.Running != 0 || got.Failing != 0 {
			t.Errorf("load: got %d running, %v failing, want 0, 0", got.Running, got.Failing)
		}
		p.want(p.front, http.MethodPost, "/book/x", http.StatusOK)
	})
}

// What a start rested on must hold when the request is sent.
func TestJobMayBeSent(t *testing.T) {
	const tooOld = time.Second
	now := time.Now()
	old := intent.Received(now.Add(-tooOld), now.Add(-tooOld))
	tests := []struct {
		name string
		word intent.Word
		// heardAt is when the sender's latest word, which came after the start, was said.
		heardAt time.Time
		left    time.Duration
		cancel  bool
		want    error
	}{
		{name: "recent word", word: intent.Received(now, now), left: time.Second},
		{name: "sender that can't be asked", left: time.Second},
		{name: "old word", word: old, left: time.Second, want: errOldWord},
		{name: "answer after the start", word: old, heardAt: now, left: time.Second},
		{name: "old answer after the start", word: old, heardAt: now.Add(-tooOld / 2), left: time.Second, want: errOldWord},
		{name: "deadline has passed", want: context.DeadlineExceeded},
		{name: "cancelled", left: time.Second, cancel: true, want: context.Canceled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := newJob(t.Context(), &wire.Offer{}, cyclam.AttemptID{}, now)
				j.deadline = now.Add(test.left)
				j.start(test.word)
				defer j.cancel(errEnded)
				j.noteWord(now, test.heardAt)
				if test.cancel {
					j.cancel(errRevoked)
				}
				if got := j.maySend(now); !errors.Is(got, test.want) {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}
