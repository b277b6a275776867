package proxy

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Forty downloads of 90 KB come at once over a link that carries a dozen of them
// within their goal of a second. Those that can't be in time are refused without
// waiting, the others arrive whole, and a short answer does not wait for them.
func TestDownloadsOnANarrowLink(t *testing.T) {
	const (
		size  = 90_000
		rate  = 1.05e6
		count = 40
	)
	s := newSite(t)
	u := newUpstream(t, "u1")
	body := bytes.Repeat([]byte("x"), size)
	u.work = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load/x" {
			_, _ = w.Write(body)
		}
	}
	door := s.node("door", u, nil)
	door.Settings.LinkRate = rate
	door.Settings.Self.Slots = count
	s.run(door)
	front := s.start("front", nil, nil)
	s.settle(door, front)
	s.want(front, http.MethodGet, "/load/x", http.StatusOK)
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, refused := 0, 0
	for range count {
		wg.Go(func() {
			status, got, header, err := s.ask(t.Context(), front, http.MethodGet, "/load/x", 4*time.Second)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case status == http.StatusOK && len(got) == size:
				served++
			case status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && took < time.Second:
				refused++
			default:
				t.Errorf("got %d with %d bytes after %v, want an answer that is whole or a refusal at once", status, len(got), took)
			}
		})
	}
	s.until("downloads are under way", func() bool { return u.runs.Load() > 1 })
	asked := time.Now()
	s.want(front, http.MethodGet, "/read/x", http.StatusOK)
	if got, want := time.Since(asked), 500*time.Millisecond; got > want {
		t.Errorf("short answer after %v, want at most %v", got, want)
	}
	wg.Wait()
	if served < 5 || refused < count/2 {
		t.Errorf("got %d served and %d refused of %d, want at least 5 and %d", served, refused, count, count/2)
	}
	// What was sent takes the link as long as it says.
	least := time.Duration(float64((served-2)*size) / rate * float64(time.Second))
	if got := time.Since(began); got < least {
		t.Errorf("%d downloads in %v, want at least %v", served, got, least)
	}
	s.until("nothing is promised any more", func() bool {
		door.out.mu.Lock()
		defer door.out.mu.Unlock()
		return door.out.promised == 0
	})
}

func TestPieces(t *testing.T) {
	chunk := func(n int) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_Chunk{Chunk: make([]byte, n)}}
	}
	end := ended("")
	tests := []struct {
		name    string
		replies []*wire.Reply
		large   bool
		want    []int
	}{
		{name: "small", replies: []*wire.Reply{chunk(3 * pieceSize), end}, large: false, want: []int{3 * pieceSize}},
		{name: "large", replies: []*wire.Reply{chunk(2*pieceSize + 1), end}, large: true, want: []int{pieceSize, pieceSize, 1, 0}},
		{name: "no body", replies: []*wire.Reply{end}, large: true, want: []int{0}},
		{name: "two chunks", replies: []*wire.Reply{chunk(5), chunk(7)}, large: true, want: []int{5, 7}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parts := pieces(test.replies, test.large)
			if len(parts) != len(test.want) {
				t.Fatalf("got %d parts, want %d", len(parts), len(test.want))
			}
			for i, part := range parts {
				if got, want := bodySize(part), test.want[i]; got != want {
					t.Errorf("part %d: got %d bytes, want %d", i, got, want)
				}
			}
		})
	}
}

// lists counts the lists of a store that is away.
type lists struct {
	*memory
	count int
}

// List fails.
func (l *lists) List(context.Context, ...cyclam.Kind) (cyclam.ObjectList, error) {
	l.count++
	return cyclam.ObjectList{}, cyclam.ErrUnavailable
}

// A node whose sources have lost the store reads it with growing pauses, not at
// each exchange.
func TestStaleSourcesAreCheckedWithPauses(t *testing.T) {
	meters := newMeters(metrics.NewRegistry())
	synctest.Test(t, func(t *testing.T) {
		platform := &lists{
			memory: newMemory(),
		}
		n := &Node{
			Platform: platform,
			Dialect:  testDialect{},
			Log:      hclog.NewNullLogger(),
			meters:   meters,
			began:    time.Now(),
		}
		check := &staleCheck{
			node: n,
		}
		const span = time.Minute
		for began := time.Now(); time.Since(began) < span; {
			check.run(t.Context())
			<-time.After(askEvery)
		}
		if got, want := platform.count, int(span/(retryMax/2)); got > want || got < 10 {
			t.Errorf("got %d reads in %v, want 10 to %d", got, span, want)
		}
	})
}
