// Package stress is an open-loop load generator: it sends calls at a constant rate,
// independent of response times, and records their outcomes. It runs in the demo, the
// benchmarks and the integration tests.
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

// Call is a call to send. Its job identifies it at the upstream, which repeats the job
// in the response.
type Call struct {
	Method  string
	Address string
	Path    string
	Job     string
	Headers map[string]string
}

// CallResult is the result of one call. Outcome is no-answer if there was no response;
// Err then holds the reason.
type CallResult struct {
	Call    Call
	Outcome string
	Reason  string
	Status  int
	Err     error
	Latency time.Duration
	// Complete reports that the response belongs to the call and is not truncated.
	Complete bool
}

// Result holds the results of a run. Results is keyed by job, Reasons by outcome and
// reason with a slash between them. Invalid holds the calls done whose response is not
// complete. Latencies covers the calls done, in microseconds.
type Result struct {
	mu        sync.Mutex
	Outcomes  map[string]int
	Reasons   map[string]int
	Results   map[string]CallResult
	Invalid   []CallResult
	Latencies *hdrhistogram.Histogram
}

// The bounds of the latency histogram in microseconds, and its precision.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{
		Outcomes:  map[string]int{},
		Reasons:   map[string]int{},
		Results:   map[string]CallResult{},
		Latencies: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (r *Result) add(result CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[result.Outcome]++
	if result.Reason != "" {
		r.Reasons[result.Outcome+"/"+result.Reason]++
	}
	r.Results[result.Call.Job] = result
	if result.Outcome == "done" && !result.Complete {
		r.Invalid = append(r.Invalid, result)
	}
	if result.Outcome == "done" {
		_ = r.Latencies.RecordValue(max(minMicros, result.Latency.Microseconds()))
	}
}

// Quantile returns the latency of the calls done at a quantile given in percent.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Summary returns the outcomes on one line.
func (r *Result) Summary() string {
	return fmt.Sprintf("done %d, not run %d, unknown %d, no answer %d",
		r.Outcomes["done"], r.Outcomes["not-run"], r.Outcomes["unknown"], r.Outcomes["no-answer"])
}

// Run describes a run: the calls, their rate and its duration.
type Run struct {
	// PerSecond is the rate in calls per second.
	PerSecond float64
	// Span is the time during which calls are sent.
	Span time.Duration
	// Next returns the i-th call.
	Next func(i int) Call
	// Timeout bounds each call.
	Timeout time.Duration
	// FromSend measures latency from the time when a call is sent instead of the
	// time when it was due. This leaves out the wake-up delay of the sender.
	FromSend bool

	client fasthttp.Client
}

// Do sends the calls until the span is over or ctx is done, and waits for all
// responses.
func (r *Run) Do(ctx context.Context) *Result {
	result := NewResult()
	r.client = fasthttp.Client{
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:     4096,
		MaxIdleConnDuration: time.Minute,
	}
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / r.PerSecond)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= r.Span || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		call := r.Next(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if r.FromSend {
				due = time.Now()
			}
			result.add(r.Send(call, due))
		}()
	}
	wg.Wait()
	return result
}

// Send sends one call and waits for the response. The latency is measured from due.
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
	result := CallResult{
		Call:    c,
		Err:     err,
		Latency: time.Since(due),
	}
	if err != nil {
		result.Outcome = "no-answer"
		return result
	}
	result.Status = resp.StatusCode()
	result.Outcome = string(resp.Header.Peek("X-Outcome"))
	result.Reason = string(resp.Header.Peek("X-Outcome-Reason"))
	if result.Outcome == "" && result.Status == fasthttp.StatusOK {
		result.Outcome = "done"
	}
	result.Complete = isComplete(c, resp)
	return result
}

// isComplete reports whether the response repeats the job of the call in header and
// body, and whether its body has the announced length.
func isComplete(c Call, resp *fasthttp.Response) bool {
	body := resp.Body()
	return string(resp.Header.Peek(upstub.JobHeader)) == c.Job &&
		len(body) >= len(c.Job)+1 &&
		string(body[:len(c.Job)]) == c.Job &&
		len(body) == resp.Header.ContentLength()
}
