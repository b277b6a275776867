// Package stress sends calls at a steady rate, whatever the answers take, and
// records how they ended.
package stress

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cyclamensaddle/cyclam/stand/upstub"
	"github.com/valyala/fasthttp"
)

// Call is one call to send.
type Call struct {
	Method  string
	Address string
	Path    string
	Job     string
	Headers map[string]string
}

// CallResult is how a call ended.
type CallResult struct {
	Call    Call
	Outcome string
	Reason  string
	Status  int
	Err     error
	Latency time.Duration
	// Complete is set when the answer belongs to the call and is complete.
	Complete bool
}

// Result sums up a run.
type Result struct {
	mu        sync.Mutex
	Outcomes  map[string]int
	Reasons   map[string]int
	Results   map[string]CallResult
	Invalid   []CallResult
	Latencies *hdrhistogram.Histogram
}

// The histogram's bounds in microseconds.
const (
	minMicros = 1
	maxMicros = 60_000_000
	digits    = 3
)

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{
		Outcomes:  map[string]int{},
		Reasons:   map[string]int{},
		Results:   map[string]CallResult{},
		Latencies: hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

func (r *Result) add(e CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[e.Outcome]++
	if e.Reason != "" {
		r.Reasons[e.Outcome+"/"+e.Reason]++
	}
	r.Results[e.Call.Job] = e
	if e.Outcome == "done" && !e.Complete {
		r.Invalid = append(r.Invalid, e)
	}
	if e.Outcome == "done" {
		_ = r.Latencies.RecordValue(max(minMicros, e.Latency.Microseconds()))
	}
}

// Quantile returns a latency quantile in percent of the calls done.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Summary returns the outcomes on one line.
func (r *Result) Summary() string {
	return fmt.Sprintf("done %d, not run %d, unknown %d, no answer %d",
		r.Outcomes["done"], r.Outcomes["not-run"], r.Outcomes["unknown"], r.Outcomes["no-answer"])
}

// Run sends calls at a rate until the context ends or the span is over, and
// waits for the last answer.
type Run struct {
	// PerSecond is the rate.
	PerSecond float64
	Span      time.Duration
	// Next makes the i-th call.
	Next func(i int) Call
	// Timeout bounds each call.
	Timeout time.Duration
	// FromSend counts a call's time from when it is sent, and not from when it
	// was due; the sender's own wake-up is then left out.
	FromSend bool

	client fasthttp.Client
}

// Do sends the calls.
func (r *Run) Do(ctx context.Context) *Result {
	result := NewResult()
	r.client = fasthttp.Client{
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:     4096,
		MaxIdleConnDuration: time.Minute,
	}
	var group sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / r.PerSecond)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= r.Span || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		call := r.Next(i)
		group.Add(1)
		go func() {
			defer group.Done()
			if r.FromSend {
				due = time.Now()
			}
			result.add(r.Send(call, due))
		}()
	}
	group.Wait()
	return result
}

// Send sends one call; its time counts from when it was due.
func (r *Run) Send(c Call, due time.Time) CallResult {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + c.Address + c.Path)
	req.Header.Set(upstub.JobHeader, c.Job)
	for name, value := range c.Headers {
		req.Header.Set(name, value)
	}
	err := r.client.DoTimeout(req, resp, r.Timeout)
	e := CallResult{
		Call:    c,
		Err:     err,
		Latency: time.Since(due),
	}
	if err != nil {
		e.Outcome = "no-answer"
		return e
	}
	e.Status = resp.StatusCode()
	e.Outcome = string(resp.Header.Peek("X-Outcome"))
	e.Reason = string(resp.Header.Peek("X-Outcome-Reason"))
	if e.Outcome == "" && e.Status == fasthttp.StatusOK {
		e.Outcome = "done"
	}
	e.Complete = whole(c, resp)
	return e
}

// whole checks that the answer repeats the call's job and ends where it should.
func whole(c Call, resp *fasthttp.Response) bool {
	body := resp.Body()
	return string(resp.Header.Peek(upstub.JobHeader)) == c.Job &&
		len(body) >= len(c.Job)+1 &&
		string(body[:len(c.Job)]) == c.Job &&
		len(body) == resp.Header.ContentLength()
}
