package drill

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// largeBody is the size of a large request, in bytes; largeAtOnce of them are sent at a
	// time to each of largeMachines machines, in largeRounds rounds.
	largeBody     = 16 << 20
	largeAtOnce   = 8
	largeMachines = 2
	largeRounds   = 3
	// largeDeadline is how long a client waits for the answer.
	largeDeadline = 5 * time.Second
)

// Clients that send many large requests at a time, each within the limit of the
// configuration, must not end a node by its memory, with the requests of all its clients.
func TestLargeRequests(t *testing.T) {
	f := startFleetOf(t, *seedFlag, workersPerMachine)
	f.stats.enter("large requests")
	body := bytes.Repeat([]byte("a"), largeBody)
	var served atomic.Int64
	for round := range largeRounds {
		var group sync.WaitGroup
		for _, m := range f.machines[:largeMachines] {
			for i := range largeAtOnce {
				group.Go(func() {
					status, err := sendLarge(f.clientsCtx, m, fmt.Sprintf("large-%s-%d-%d", m.name, round, i), body)
					switch {
					case err != nil, status == http.StatusServiceUnavailable:
					case status == http.StatusOK:
						served.Add(1)
					default:
						t.Errorf("large request at %s: got %d, want 200 or 503", m.name, status)
					}
				})
			}
		}
		group.Wait()
	}
	const sent = largeRounds * largeMachines * largeAtOnce
	if got, least := served.Load(), int64(sent/4); got < least {
		t.Errorf("large requests served: got %d of %d, want at least %d", got, sent, least)
	}
	var peaks []int64
	for _, m := range f.machines {
		got := m.peakMemory(t)
		peaks = append(peaks, got>>20)
		if got > memoryLimit {
			t.Errorf("peak memory of %s: got %d bytes, want at most %d", m.name, got, memoryLimit)
		}
	}
	t.Logf("large requests served: %d of %d; peak memory of the nodes, in MiB: %v", served.Load(), sent, peaks)
	f.report()
}

// sendLarge sends one large request and returns its status.
func sendLarge(ctx context.Context, m *machine, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, largeDeadline)
	defer cancel()
	c := client{
		machine: m,
	}
	req, err := c.newRequest(ctx, "/a-once/", oncePrefix+id, largeDeadline)
	if err != nil {
		return 0, err
	}
	req.Method = http.MethodPost
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
