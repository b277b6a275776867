package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// healthPath is the path of the health check.
const healthPath = "/healthz"

// maxWork bounds the work that a request may name.
const maxWork = 10 * time.Second

// backend is a stand-in of an application backend. A request names its work in milliseconds by the
// first part of its path after the route's prefix, as in /booking/1200/...
type backend struct {
	id      string
	service string
	address string
	control string
	slots   int
	rec     *record

	mu      sync.Mutex
	running int
	waiting int
	seq     int
	// runs holds the runs of each request by its id.
	runs map[string][]run
	// free is signalled by a place for each free slot.
	free chan struct{}
}

// run is one run of a request: when it arrived, and when its work began and ended.
type run struct {
	arrived time.Time
	began   time.Time
	ended   time.Time
	dropped bool
}

func (b *backend) start(ctx context.Context) error {
	b.runs = map[string][]run{}
	b.free = make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:     b,
		IdleTimeout: 10 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	born := time.Now().UnixMilli()
	go func() {
		for ctx.Err() == nil {
			b.beat(born)
			select {
			case <-ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return nil
}

// beat sends one heartbeat; it is repeated soon if the node does not acknowledge it.
func (b *backend) beat(born int64) {
	for range 5 {
		b.mu.Lock()
		b.seq++
		seq := b.seq
		b.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"address": b.address,
			"born":    born,
			"info":    map[string]any{"service": b.service, "version": "v1", "zone": "north-a", "slots": b.slots},
			"status":  map[string]any{"state": "ready", "seq": seq, "cold_remaining": "0ms"},
		})
		client := http.Client{
			Timeout: time.Second,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		}
		resp, err := client.Post("http://"+b.control+"/api/instances/"+b.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		<-time.After(200 * time.Millisecond)
	}
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

// ServeHTTP serves a health check or a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	header := w.Header()
	header.Set("Instance-Id", b.id)
	header.Set("Server-Load", b.load())
	header.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", attempt)
	refuse := func(status int) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch target := r.Header.Get("Target-Instance"); {
	case attempt == "":
		refuse(http.StatusBadRequest)
		return
	case target != "" && target != b.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case !b.takeSlot(r.Context()):
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer b.freeSlot()
	this := run{
		arrived: arrived,
		began:   time.Now(),
	}
	b.rec.line("%s runs %s", b.id, attempt)
	b.mu.Lock()
	number := len(b.runs[attempt])
	b.runs[attempt] = append(b.runs[attempt], this)
	b.mu.Unlock()
	select {
	case <-time.After(workOf(r.URL.Path)):
	case <-r.Context().Done():
		this.dropped = true
	}
	this.ended = time.Now()
	b.mu.Lock()
	b.runs[attempt][number] = this
	b.mu.Unlock()
	if this.dropped {
		b.rec.line("%s drops %s: its connection has closed", b.id, attempt)
		panic(http.ErrAbortHandler)
	}
	header.Set("Response-Signature", "3e1b.07."+attempt)
	header.Set("Server-Load", b.load())
	_, _ = io.WriteString(w, "done "+attempt)
}

// workOf returns the work that a path names.
func workOf(path string) time.Duration {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return 0
	}
	ms, _ := strconv.Atoi(parts[2])
	return min(maxWork, time.Duration(ms)*time.Millisecond)
}

// takeSlot waits for a slot; false means that the queue is full or that the caller has left.
func (b *backend) takeSlot(ctx context.Context) bool {
	b.mu.Lock()
	full := b.waiting >= 4*b.slots
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	taken := false
	select {
	case <-b.free:
		taken = true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if taken {
		b.running++
	}
	return taken
}

func (b *backend) freeSlot() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.free <- struct{}{}
}

// runsOf returns the runs of a request at all backends.
func (w *world) runsOf(attempt string) []run {
	var all []run
	for _, m := range w.machines {
		m.backend.mu.Lock()
		all = append(all, m.backend.runs[attempt]...)
		m.backend.mu.Unlock()
	}
	return all
}
