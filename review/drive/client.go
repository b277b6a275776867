package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is what a client has got for one attempt.
type reply struct {
	attempt   string
	machine   *machine
	path      string
	sentAt    time.Time
	endedAt   time.Time
	status    int
	signature string
	body      string
	err       error
	// kept is set if the connection had served a request before, closes if the answer ends it.
	kept   bool
	closes bool
}

// clients send requests at the machines and keep what they get.
type clients struct {
	world *world

	mu      sync.Mutex
	count   int
	replies []reply
	wait    sync.WaitGroup
}

// send sends one request from a client of a machine.
func (c *clients) send(m *machine, method, path string, deadline time.Duration, body string) reply {
	c.mu.Lock()
	c.count++
	attempt := fmt.Sprintf("a%06d", c.count)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	got := reply{
		attempt: attempt,
		machine: m,
		path:    path,
		sentAt:  time.Now(),
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(m.ip, portOutbound)+path, strings.NewReader(body))
	if err != nil {
		got.err = err
		return got
	}
	req.Host = host
	req.Header.Set(headerAttempt, attempt)
	req.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	c.world.note("client on %s sends %s, %s %s", m.name, attempt, method, path)
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.status, got.signature, got.body = resp.StatusCode, resp.Header.Get(headerSignature), string(data)
	}
	got.err, got.endedAt = err, time.Now()
	c.world.note("client on %s gets for %s: %d, signature %q, body %q, error %v", m.name, attempt, got.status, got.signature, strings.TrimSpace(got.body), err)
	c.mu.Lock()
	c.replies = append(c.replies, got)
	c.mu.Unlock()
	return got
}

// every sends a request each interval until the channel is closed.
func (c *clients) every(interval time.Duration, stop <-chan struct{}, send func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				send()
			}()
		}
	}()
}
