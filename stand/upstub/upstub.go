// Package upstub is a stand-in for an upstream: slots, a connection limit,
// a service time, health and load endpoints that can lie, drain and cancel.
package upstub

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The headers that the stand-in understands.
const (
	// JobHeader names the job, so that work done twice can be counted.
	JobHeader = "X-Job"
	// DelayHeader asks for a service time of its own, such as 50ms.
	DelayHeader = "X-Delay"
	// SizeHeader asks for an answer of that many bytes.
	SizeHeader = "X-Size"
	// WorkStartedHeader says "no" on an answer to a call that was not started.
	WorkStartedHeader = "X-Work-Started"
	// AttemptHeader names the attempt, for a cancel.
	AttemptHeader = "X-Cyclam-Attempt"
)

// defaultSize is the size of an answer in bytes.
const defaultSize = 1024

// Fault is what is wrong with the upstream at present.
type Fault struct {
	// Unhealthy makes the health endpoint say no, whatever the truth is.
	Unhealthy bool `json:"unhealthy"`
	// Shed refuses all work.
	Shed bool `json:"shed"`
	// Drop closes the connection after the work instead of answering.
	Drop bool `json:"drop"`
}

// Stats counts what was done.
type Stats struct {
	Jobs map[string]int `json:"jobs"`
	Busy int            `json:"busy"`
	Peak int            `json:"peak"`
}

// Upstream is a stub of one upstream; set its fields before Serve.
type Upstream struct {
	Name        string
	Slots       int
	Connections int
	Delay       time.Duration
	// Wait makes work beyond the slots wait instead of being refused.
	Wait bool

	slots   chan struct{}
	mu      sync.Mutex
	fault   Fault
	jobs    map[string]int
	aborts  map[string]chan struct{}
	busy    int
	peak    int
	filler  []byte
	started sync.Once
}

func (w *Upstream) init() {
	w.jobs = map[string]int{}
	w.aborts = map[string]chan struct{}{}
	w.slots = make(chan struct{}, w.Slots)
	w.filler = bytes.Repeat([]byte("coil-and-plate "), defaultSize)
}

// Stats returns the counts so far.
func (w *Upstream) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := make(map[string]int, len(w.jobs))
	for job, times := range w.jobs {
		jobs[job] = times
	}
	return Stats{
		Jobs: jobs,
		Busy: w.busy,
		Peak: w.peak,
	}
}

// SetFault replaces the present fault.
func (w *Upstream) SetFault(fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Handle answers one request.
func (w *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	w.started.Do(w.init)
	switch string(ctx.Path()) {
	case "/health":
		w.health(ctx)
	case "/load":
		writeJSON(ctx, map[string]int{"busy": w.Stats().Busy, "slots": w.Slots})
	case "/stats":
		writeJSON(ctx, w.Stats())
	case "/cancel":
		w.cancel(string(ctx.QueryArgs().Peek("attempt")))
	case "/fault":
		w.handleFault(ctx)
	default:
		w.work(ctx)
	}
}

func (w *Upstream) health(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Unhealthy {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (w *Upstream) handleFault(ctx *fasthttp.RequestCtx) {
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	w.SetFault(fault)
}

func (w *Upstream) cancel(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if abort, ok := w.aborts[attempt]; ok {
		close(abort)
		delete(w.aborts, attempt)
	}
}

func (w *Upstream) work(ctx *fasthttp.RequestCtx) {
	job := string(ctx.Request.Header.Peek(JobHeader))
	attempt := string(ctx.Request.Header.Peek(AttemptHeader))
	if w.Wait {
		w.slots <- struct{}{}
		defer func() { <-w.slots }()
	}
	abort, ok := w.begin(job, attempt)
	if !ok {
		ctx.Response.Header.Set(WorkStartedHeader, "no")
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.Error("overloaded", fasthttp.StatusServiceUnavailable)
		return
	}
	defer w.end(attempt)
	delay := w.Delay
	if asked, err := time.ParseDuration(string(ctx.Request.Header.Peek(DelayHeader))); err == nil {
		delay = asked
	}
	select {
	case <-time.After(delay):
	case <-abort:
	}
	if w.current().Drop {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	w.answer(ctx, job)
}

func (w *Upstream) current() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

func (w *Upstream) begin(job, attempt string) (chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= w.Slots || w.fault.Shed {
		return nil, false
	}
	w.busy++
	w.peak = max(w.peak, w.busy)
	if job != "" {
		w.jobs[job]++
	}
	abort := make(chan struct{})
	if attempt != "" {
		w.aborts[attempt] = abort
	}
	return abort, true
}

func (w *Upstream) end(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	delete(w.aborts, attempt)
}

// answer repeats the job's name, so that a caller can tell whose answer it is.
func (w *Upstream) answer(ctx *fasthttp.RequestCtx, job string) {
	size := defaultSize
	if asked, err := strconv.Atoi(string(ctx.Request.Header.Peek(SizeHeader))); err == nil {
		size = asked
	}
	ctx.Response.Header.Set(JobHeader, job)
	ctx.Response.Header.Set("X-Worker", w.Name)
	ctx.SetContentType("text/plain")
	body := make([]byte, 0, size+len(job)+1)
	body = append(body, job...)
	body = append(body, '\n')
	for len(body) < size {
		body = append(body, w.filler[:min(len(w.filler), size-len(body))]...)
	}
	ctx.SetBody(body)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, _ := json.Marshal(value)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Serve listens on an address until the process ends.
func (w *Upstream) Serve(address string) error {
	server := &fasthttp.Server{
		Handler:     w.Handle,
		Concurrency: w.Connections,
	}
	return errors.Wrap(server.ListenAndServe(address), "serve upstream stand-in")
}
