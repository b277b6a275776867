// Package upstub is a stand-in for an upstream with slots, a connection limit, a
// service time, health, load and cancel endpoints, and injected faults. The
// command stand-upstream and the tests run it behind a node.
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

// Headers of the stand-in's requests and answers.
const (
	// JobHeader names the job, so that repeated execution can be counted. The answer
	// repeats it.
	JobHeader = "X-Job"
	// DelayHeader overrides the service time for one request, such as 50ms.
	DelayHeader = "X-Delay"
	// SizeHeader sets the size of the answer's body in bytes.
	SizeHeader = "X-Size"
	// WorkStartedHeader is "no" on the answer to a call that was not started.
	WorkStartedHeader = "X-Work-Started"
	// AttemptHeader identifies the attempt for /cancel.
	AttemptHeader = "X-Cyclam-Attempt"
)

// defaultSize is the size of an answer's body in bytes.
const defaultSize = 1024

// Fault describes the faults that the upstream stand-in injects.
type Fault struct {
	// Unhealthy makes the health endpoint answer with status 503, while calls are
	// still served.
	Unhealthy bool `json:"unhealthy"`
	// Shed refuses all calls with status 503, as under overload.
	Shed bool `json:"shed"`
	// Drop runs the call, then closes the connection without an answer.
	Drop bool `json:"drop"`
}

// Stats counts the started calls: how often each job ran, how many calls run now
// and the most that ran at once.
type Stats struct {
	Jobs map[string]int `json:"jobs"`
	Busy int            `json:"busy"`
	Peak int            `json:"peak"`
}

// Upstream is a stub of an upstream. Set its exported fields before Serve.
type Upstream struct {
	Name string
	// Slots is how many calls run at once.
	Slots int
	// Connections limits the connections served at once.
	Connections int
	// Delay is the service time of a call.
	Delay time.Duration
	// Wait queues calls beyond the slots instead of refusing them.
	Wait bool

	slots chan struct{}
	mu    sync.Mutex
	fault Fault
	jobs  map[string]int
	// cancels holds a channel for each running attempt; closing it ends the
	// service time early.
	cancels  map[string]chan struct{}
	busy     int
	peak     int
	filler   []byte
	initOnce sync.Once
}

func (u *Upstream) init() {
	u.jobs = map[string]int{}
	u.cancels = map[string]chan struct{}{}
	u.slots = make(chan struct{}, u.Slots)
	u.filler = bytes.Repeat([]byte("coil-and-plate "), defaultSize)
}

// Stats returns the counts so far.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	jobs := make(map[string]int, len(u.jobs))
	for job, times := range u.jobs {
		jobs[job] = times
	}
	return Stats{
		Jobs: jobs,
		Busy: u.busy,
		Peak: u.peak,
	}
}

// SetFault replaces the injected fault.
func (u *Upstream) SetFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// Handle serves one request; every path but the administrative ones is a call.
func (u *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	u.initOnce.Do(u.init)
	switch string(ctx.Path()) {
	case "/health":
		u.health(ctx)
	case "/load":
		writeJSON(ctx, map[string]int{"busy": u.Stats().Busy, "slots": u.Slots})
	case "/stats":
		writeJSON(ctx, u.Stats())
	case "/cancel":
		u.cancel(string(ctx.QueryArgs().Peek("attempt")))
	case "/fault":
		u.handleFault(ctx)
	default:
		u.work(ctx)
	}
}

func (u *Upstream) health(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fault.Unhealthy {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (u *Upstream) handleFault(ctx *fasthttp.RequestCtx) {
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	u.SetFault(fault)
}

func (u *Upstream) cancel(attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancelled, ok := u.cancels[attempt]; ok {
		close(cancelled)
		delete(u.cancels, attempt)
	}
}

// work serves a call: it takes a slot, sleeps for the service time unless the
// attempt is cancelled, and answers.
func (u *Upstream) work(ctx *fasthttp.RequestCtx) {
	job := string(ctx.Request.Header.Peek(JobHeader))
	attempt := string(ctx.Request.Header.Peek(AttemptHeader))
	if u.Wait {
		u.slots <- struct{}{}
		defer func() { <-u.slots }()
	}
	cancelled, ok := u.begin(job, attempt)
	if !ok {
		ctx.Response.Header.Set(WorkStartedHeader, "no")
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.Error("overloaded", fasthttp.StatusServiceUnavailable)
		return
	}
	defer u.end(attempt)
	delay := u.Delay
	if requested, err := time.ParseDuration(string(ctx.Request.Header.Peek(DelayHeader))); err == nil {
		delay = requested
	}
	select {
	case <-time.After(delay):
	case <-cancelled:
	}
	if u.currentFault().Drop {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	u.writeAnswer(ctx, job)
}

func (u *Upstream) currentFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fault
}

// begin takes a slot and registers the attempt; it returns false if the call is
// refused. The channel is closed when the attempt is cancelled.
func (u *Upstream) begin(job, attempt string) (chan struct{}, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy >= u.Slots || u.fault.Shed {
		return nil, false
	}
	u.busy++
	u.peak = max(u.peak, u.busy)
	if job != "" {
		u.jobs[job]++
	}
	cancelled := make(chan struct{})
	if attempt != "" {
		u.cancels[attempt] = cancelled
	}
	return cancelled, true
}

func (u *Upstream) end(attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
	delete(u.cancels, attempt)
}

// writeAnswer repeats the job's name in a header and in the body, so that a caller
// can tell which call the answer belongs to.
func (u *Upstream) writeAnswer(ctx *fasthttp.RequestCtx, job string) {
	size := defaultSize
	if requested, err := strconv.Atoi(string(ctx.Request.Header.Peek(SizeHeader))); err == nil {
		size = requested
	}
	ctx.Response.Header.Set(JobHeader, job)
	ctx.Response.Header.Set("X-Worker", u.Name)
	ctx.SetContentType("text/plain")
	body := make([]byte, 0, size+len(job)+1)
	body = append(body, job...)
	body = append(body, '\n')
	for len(body) < size {
		body = append(body, u.filler[:min(len(u.filler), size-len(body))]...)
	}
	ctx.SetBody(body)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, _ := json.Marshal(value)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Serve listens on an address and returns only if listening fails.
func (u *Upstream) Serve(address string) error {
	server := &fasthttp.Server{
		Handler:     u.Handle,
		Concurrency: u.Connections,
	}
	return errors.Wrap(server.ListenAndServe(address), "serve upstream stand-in")
}
