package proxy

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// arrivals records when requests arrived at an upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// since returns how many requests arrived from a time on.
func (a *arrivals) since(from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.times {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// most returns the highest number of arrivals in any span of this length from a time on.
func (a *arrivals) most(from time.Time, span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for a.times[first].Before(from) && first < i || at.Sub(a.times[first]) > span {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// The bound on what an upstream with a rate limit may get in any limitSpan: limitSlack
// times what the limit allows, and limitExtra requests.
const (
	limitSpan  = 4 * time.Second
	limitSlack = 1.5
	limitExtra = 5
	// limitNotice is the time after which a node that has passed on an answer with a limit
	// has to keep it.
	limitNotice = 500 * time.Millisecond
)

func limitBound(perSecond float64) int {
	return int(limitSlack*perSecond*limitSpan.Seconds()) + limitExtra
}

// insist sends requests from several workers through a node, each again after a short
// pause whatever the answer is, until ctx ends. It returns the counts of answers by
// status once all have ended.
func (s *testCluster) insist(ctx context.Context, n *Node, workers int, path string) func() map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[int]int{}
	for range workers {
		group.Go(func() {
			for ctx.Err() == nil {
				status, _, _, err := s.request(ctx, n, http.MethodPost, path, time.Second)
				if err == nil {
					mu.Lock()
					counts[status]++
					mu.Unlock()
				}
				sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	return func() map[int]int {
		group.Wait()
		return counts
	}
}

// limitedUpstream returns an upstream whose answers take a few milliseconds and the record
// of its requests.
func limitedUpstream(t *testing.T, id string) (*upstream, *arrivals) {
	u, got := newUpstream(t, id), &arrivals{}
	respond := respondAfter(5 * time.Millisecond)
	u.work = func(w http.ResponseWriter, r *http.Request) {
		got.add()
		respond(w, r)
	}
	return u, got
}

// All nodes together must keep the limit that an upstream names, in any span of time.
func TestRateLimitOfAllNodesTogether(t *testing.T) {
	s := newTestCluster(t)
	u, got := limitedUpstream(t, "u1")
	backend, first, second := s.start("door", u, nil), s.start("front-a", nil, nil), s.start("front-b", nil, nil)
	s.awaitReady(backend, first, second)
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan+3*time.Second)
	defer cancel()
	var ends []func() map[int]int
	for _, n := range []*Node{backend, first, second} {
		ends = append(ends, s.insist(ctx, n, 4, "/book/x"))
	}
	sleep(ctx, time.Second)
	const limit = 12
	u.nameLimit("12")
	told := time.Now().Add(limitNotice)
	for _, end := range ends {
		end()
	}
	if got, most := got.most(told, limitSpan), limitBound(limit); got > most {
		t.Errorf("requests in %v: got %d, want at most %d for a limit of %v a second", limitSpan, got, most, limit)
	}
}
