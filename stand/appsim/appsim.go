// Package appsim is a stand-in for an application backend on the hosting platform: it
// serves requests with the platform's headers in a bounded number of slots, and reports
// itself to the node beside it. Tests run it behind a node.
//
// It uses the platform's names. The stand-in for an upstream of the project's own
// dialect is in package upstub.
package appsim

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

	"github.com/pkg/errors"
)

// Header fields of requests and answers.
const (
	HeaderAttempt   = "Attempt-Id"
	HeaderDeadline  = "Deadline-Ms"
	HeaderSignature = "Response-Signature"
	headerTarget    = "Target-Instance"
	headerInstance  = "Instance-Id"
	headerNotRun    = "Not-Executed"
	headerLoad      = "Server-Load"
	headerLimit     = "Server-Limit"
	headerLeaving   = "Server-Leaving"
)

// HealthPath is the path of the health check.
const HealthPath = "/healthz"

// Backend is a stand-in of an application backend. Set its exported fields before Run.
type Backend struct {
	ID      string
	Service string
	Zone    string
	// Address is the host:port at which it listens and which it reports.
	Address string
	// ControlPlane is the host:port of the node that gets its heartbeats.
	ControlPlane string
	// Slots is the number of requests that run at a time; as many again wait.
	Slots int
	// Heartbeat is the interval of heartbeats.
	Heartbeat time.Duration
	// Work returns how long a request takes.
	Work func() time.Duration
	// OnRun, if set, is called with the id of each attempt that starts to run.
	OnRun func(attempt string)
	// OnArrive, if set, is called with the id of each attempt that arrives, whether it
	// runs or not.
	OnArrive func(attempt string)
	// CrashSuffix, if set, is the end of the paths of requests that end the backend's process
	// while they run. The next process starts after CrashPause, under the id that OnCrash
	// returns.
	CrashSuffix string
	CrashPause  time.Duration
	OnCrash     func() string
	// LargeSuffix, if set, is the end of the paths of requests whose answers are padded to
	// LargeBytes.
	LargeSuffix string
	LargeBytes  int

	mu sync.Mutex
	// crashed is closed when the present process ends.
	crashed  chan struct{}
	slots    chan struct{}
	running  int
	waiting  int
	id       string
	born     time.Time
	sequence uint64
	draining bool
	// leaving makes answers say that the backend leaves, whatever it reports.
	leaving bool
	// done is set once the backend has said that it ends.
	done bool
	// limit is the rate limit that answers name; empty if none.
	limit string
	flood Flood
	// odd is the share of the requests that get what is no answer.
	odd float64
}

// Run serves requests and sends heartbeats until ctx ends.
func (b *Backend) Run(ctx context.Context) error {
	b.mu.Lock()
	b.slots = make(chan struct{}, b.Slots)
	b.mu.Unlock()
	for id := b.ID; ; {
		if err := b.runProcess(ctx, id); err != nil || ctx.Err() != nil {
			return err
		}
		id = b.OnCrash()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(b.CrashPause):
		}
	}
}

// runProcess runs one process of the backend until it crashes or ctx ends.
func (b *Backend) runProcess(ctx context.Context, id string) error {
	b.Replace(id)
	crashed := make(chan struct{})
	b.mu.Lock()
	b.crashed = crashed
	b.mu.Unlock()
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		return errors.Wrap(err, "listen for requests")
	}
	server := &http.Server{
		Handler: b,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-crashed:
			cancel()
		}
		_ = server.Close()
	}()
	go b.report(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve requests")
	}
	return nil
}

// crash ends the present process.
func (b *Backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.crashed:
	default:
		close(b.crashed)
	}
}

// Replace makes the backend answer as another process, which has just started with an id.
func (b *Backend) Replace(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.id, b.born, b.sequence, b.draining, b.done = id, time.Now(), 0, false, false
	b.limit, b.leaving = "", false
}

// NameLimit makes all later answers name a limit in requests per second; empty names none.
// The backend does not enforce it.
func (b *Backend) NameLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// SayLeaving makes all later answers say that the backend leaves, while its heartbeats go
// on to report that it is ready.
func (b *Backend) SayLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// ServeHTTP serves a health check or a request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.answerOddly(w, r) {
		return
	}
	// The server notices that a client has left only after the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	id, leaving, limit, flood := b.id, b.draining || b.leaving, b.limit, b.flood
	b.mu.Unlock()
	header := w.Header()
	if limit != "" {
		header.Set(headerLimit, limit)
	}
	if leaving {
		header.Set(headerLeaving, "1")
	}
	attempt := r.Header.Get(HeaderAttempt)
	target := r.Header.Get(headerTarget)
	header.Set(headerInstance, id)
	header.Set(headerLoad, b.load())
	switch {
	case r.URL.Path == HealthPath && leaving:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == HealthPath:
		return
	}
	header.Set(HeaderAttempt, attempt)
	if b.OnArrive != nil {
		b.OnArrive(attempt)
	}
	switch {
	case attempt == "":
		refuse(w, http.StatusBadRequest)
	case target != "" && target != id:
		refuse(w, http.StatusMisdirectedRequest)
	case !b.takeSlot(r.Context()):
		refuse(w, http.StatusServiceUnavailable)
	case flood != "":
		defer b.freeSlot()
		flood.write(w, attempt)
	default:
		defer b.freeSlot()
		b.run(w, r, attempt)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request, attempt string) {
	if b.OnRun != nil {
		b.OnRun(attempt)
	}
	select {
	case <-time.After(b.Work()):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if b.CrashSuffix != "" && strings.HasSuffix(r.URL.Path, b.CrashSuffix) {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderSignature, "3e1b.07")
	w.Header().Set(headerLoad, b.load())
	_, _ = io.WriteString(w, attempt)
	if b.LargeSuffix != "" && strings.HasSuffix(r.URL.Path, b.LargeSuffix) {
		_, _ = w.Write(make([]byte, max(0, b.LargeBytes-len(attempt))))
	}
}

// takeSlot waits for a slot; false means that the queue is full or ctx has ended.
func (b *Backend) takeSlot(ctx context.Context) bool {
	b.mu.Lock()
	full := b.waiting >= b.Slots
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	taken := false
	select {
	case b.slots <- struct{}{}:
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

func (b *Backend) freeSlot() {
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.Slots)
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Address string          `json:"address"`
	Born    int64           `json:"born"`
	Info    heartbeatInfo   `json:"info"`
	Status  heartbeatStatus `json:"status"`
}

type heartbeatInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type heartbeatStatus struct {
	State         string `json:"state"`
	Seq           uint64 `json:"seq"`
	ColdRemaining string `json:"cold_remaining"`
}

// report sends a heartbeat every Heartbeat until ctx ends or the backend has said that it
// ends.
func (b *Backend) report(ctx context.Context) {
	for {
		b.mu.Lock()
		done := b.done
		b.mu.Unlock()
		if !done {
			_ = b.Beat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.Heartbeat):
		}
	}
}

// Beat sends one heartbeat and returns an error unless it was acknowledged.
func (b *Backend) Beat(ctx context.Context) error {
	b.mu.Lock()
	b.sequence++
	id := b.id
	body := heartbeat{
		Address: b.Address,
		Born:    b.born.UnixMilli(),
		Info: heartbeatInfo{
			Service: b.Service,
			Version: "v1",
			Zone:    b.Zone,
			Slots:   b.Slots,
		},
		Status: heartbeatStatus{
			State:         "ready",
			Seq:           b.sequence,
			ColdRemaining: "0ms",
		},
	}
	if b.draining {
		body.Status.State = "draining"
	}
	b.mu.Unlock()
	return b.post(ctx, "/api/instances/"+id+"/heartbeat", body)
}

// Drain reports that the backend is about to end; it still serves requests.
func (b *Backend) Drain(ctx context.Context) error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	return b.Beat(ctx)
}

// Deregister reports that the backend ends, and ends the heartbeats.
func (b *Backend) Deregister(ctx context.Context) error {
	b.mu.Lock()
	b.done = true
	id, born := b.id, b.born
	b.mu.Unlock()
	return b.post(ctx, "/api/instances/"+id+"/deregister", map[string]int64{
		"born": born.UnixMilli(),
	})
}

// ackTimeout is how long the backend waits for an acknowledgement.
const ackTimeout = time.Second

func (b *Backend) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.ControlPlane+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New("report not acknowledged: status " + strconv.Itoa(resp.StatusCode))
	}
	return nil
}
