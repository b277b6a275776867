package bench

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cyclamensaddle/cyclam/oper"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stress"
	"github.com/pkg/errors"
)

// Calls measures the latency and the goodput of calls through a deployment of
// separate processes.
type Calls struct {
	// Samples is the directory with fleet.json and resources.json.
	Samples string
	// Bin is the directory of the built programs.
	Bin string
	// Port is the first port to use.
	Port int
	// Span is the length of each run.
	Span time.Duration
	// Trace is the share of calls that are traced to a file.
	Trace float64
	// Policy enables limits, queue bounds and the retry budget. Without it upstreams
	// and nodes queue without a bound and retry without a budget.
	Policy bool
	// Overrides replaces tuning values by name, to compare settings.
	Overrides map[string]any
}

// LatencyRow compares calls sent directly to an upstream with calls through two
// nodes and calls through two relays. CPU times are per call.
type LatencyRow struct {
	PerSecond  float64 `json:"calls-per-second"`
	Trace      float64 `json:"trace-ratio"`
	DirectP50  float64 `json:"direct-p50-us"`
	DirectP99  float64 `json:"direct-p99-us"`
	ThroughP50 float64 `json:"through-p50-us"`
	ThroughP99 float64 `json:"through-p99-us"`
	RelayedP50 float64 `json:"relayed-p50-us"`
	RelayedP99 float64 `json:"relayed-p99-us"`
	AddedP50   float64 `json:"added-p50-us"`
	AddedP99   float64 `json:"added-p99-us"`
	// OverRelaysP50 and OverRelaysP99 are the latency through the nodes minus that
	// through the relays, which only forward.
	OverRelaysP50 float64 `json:"over-relays-p50-us"`
	OverRelaysP99 float64 `json:"over-relays-p99-us"`
	EntryCPU      float64 `json:"entry-cpu-us-per-call"`
	ServingCPU    float64 `json:"serving-cpu-us-per-call"`
	EntryMemoryMB float64 `json:"entry-memory-mb"`
}

// GoodputRow is the outcome of an offered load. RunTwice counts bookings that ran
// more than once, and NotRunButRan those reported as not run that did run.
type GoodputRow struct {
	Policy       bool    `json:"policy"`
	Offered      float64 `json:"offered-per-second"`
	Share        float64 `json:"offered-of-capacity"`
	Done         float64 `json:"done-per-second"`
	NotRun       float64 `json:"not-run-per-second"`
	Unknown      float64 `json:"unknown-per-second"`
	P50          float64 `json:"done-p50-ms"`
	P99          float64 `json:"done-p99-ms"`
	RunTwice     int     `json:"bookings-run-twice"`
	NotRunButRan int     `json:"not-run-but-ran"`
}

// start starts the deployment and waits until the sample's resources are in force.
func (c *Calls) start(ctx context.Context, change func(*fleet.Spec)) (*fleet.Fleet, error) {
	spec, err := fleet.ReadSpec(filepath.Join(c.Samples, "fleet.json"))
	if err != nil {
		return nil, err
	}
	for name, value := range c.Overrides {
		spec.Tuning[name] = value
	}
	change(&spec)
	dir, err := os.MkdirTemp("", "cyclamensaddle-bench-")
	if err != nil {
		return nil, err
	}
	f := &fleet.Fleet{
		Spec: spec,
		Bin:  c.Bin,
		Dir:  dir,
		Port: c.Port,
	}
	if c.Trace > 0 {
		f.Trace = map[string]any{"ratio": c.Trace, "file": filepath.Join(dir, "spans.json")}
	}
	if err := f.Start(); err != nil {
		return f, err
	}
	if err := f.AwaitAttached(15*time.Second, f.Members); err != nil {
		return f, err
	}
	var out bytes.Buffer
	app := &oper.App{
		In:  strings.NewReader(""),
		Out: &out,
		Err: &out,
	}
	code := app.Run(ctx, []string{"cyclamensaddle", "apply", "--platform", f.Platform, "-f", filepath.Join(c.Samples, "resources.json"), "--wait"})
	if code != 0 {
		return f, errors.New(out.String())
	}
	return f, nil
}

// paths is the number of paths among which calls alternate: through two nodes,
// directly, and through two relays that only forward.
const paths = 3

// Latency measures the paths at several rates, each in calls per second and path.
func (c *Calls) Latency(ctx context.Context, rates []float64) ([]LatencyRow, error) {
	f, err := c.start(ctx, func(*fleet.Spec) {})
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return nil, err
	}
	serving, entry := f.Members[0], f.Members[5]
	relays := [2]string{fmt.Sprintf("127.0.0.1:%d", c.Port+90), fmt.Sprintf("127.0.0.1:%d", c.Port+91)}
	if err := f.StartRelay("relay-1", relays[0], relays[1]); err != nil {
		return nil, err
	}
	if err := f.StartRelay("relay-2", relays[1], serving.Upstream); err != nil {
		return nil, err
	}
	var rows []LatencyRow
	for _, rate := range rates {
		next := func(i int) stress.Call {
			address := [paths]string{entry.Calls, serving.Upstream, relays[0]}[i%paths]
			return stress.Call{
				Method:  "GET",
				Address: address,
				Path:    f.Spec.LookupPath,
				Job:     fmt.Sprint(rate, "-", i),
				Headers: map[string]string{"X-Delay": "0s"},
			}
		}
		warmUp := &stress.Run{
			PerSecond: paths * rate,
			FromSend:  true,
			Span:      time.Second,
			Timeout:   time.Second,
			Next:      next,
		}
		warmUp.Do(ctx)
		entryCPU, servingCPU := f.CPU(entry.Name), f.CPU(serving.Name)
		run := &stress.Run{
			PerSecond: paths * rate,
			FromSend:  true,
			Span:      c.Span,
			Timeout:   time.Second,
			Next:      next,
		}
		row := latencyRow(run.Do(ctx), serving.Upstream, relays[0])
		calls := rate * c.Span.Seconds()
		row.PerSecond, row.Trace = rate, c.Trace
		row.EntryCPU = float64((f.CPU(entry.Name) - entryCPU).Microseconds()) / calls
		row.ServingCPU = float64((f.CPU(serving.Name) - servingCPU).Microseconds()) / calls
		row.EntryMemoryMB = f.MemoryMB(entry.Name)
		rows = append(rows, row)
	}
	return rows, nil
}

func latencyRow(result *stress.Result, upstream, relay string) LatencyRow {
	direct, relayed, through := stress.NewResult(), stress.NewResult(), stress.NewResult()
	for _, e := range result.Results {
		target := through
		switch e.Call.Address {
		case upstream:
			target = direct
		case relay:
			target = relayed
		}
		if e.Outcome == "done" {
			_ = target.Latencies.RecordValue(max(1, e.Latency.Microseconds()))
		}
	}
	micros := func(r *stress.Result, percent float64) float64 {
		return float64(r.Latencies.ValueAtQuantile(percent))
	}
	row := LatencyRow{
		DirectP50:  micros(direct, 50),
		DirectP99:  micros(direct, 99),
		RelayedP50: micros(relayed, 50),
		RelayedP99: micros(relayed, 99),
		ThroughP50: micros(through, 50),
		ThroughP99: micros(through, 99),
	}
	row.AddedP50 = row.ThroughP50 - row.DirectP50
	row.AddedP99 = row.ThroughP99 - row.DirectP99
	row.OverRelaysP50 = row.ThroughP50 - row.RelayedP50
	row.OverRelaysP99 = row.ThroughP99 - row.RelayedP99
	return row
}

// The overload experiment: the bookings' service has overloadUpstreams upstreams in
// the allowed region, each with overloadSlots slots and a service time of
// overloadDelay.
const (
	overloadSlots     = 12
	overloadDelay     = 50 * time.Millisecond
	overloadUpstreams = 2
)

// unbounded is a limit high enough that it is never reached.
const unbounded = 10000

// capacity is how many bookings per second the upstreams can complete.
const capacity = overloadUpstreams * overloadSlots * float64(time.Second) / float64(overloadDelay)

// Goodput offers a load of each share of the capacity in turn. Half of the calls
// are idempotent.
func (c *Calls) Goodput(ctx context.Context, shares []float64) ([]GoodputRow, error) {
	f, err := c.start(ctx, func(s *fleet.Spec) {
		s.Delay = overloadDelay.String()
		if c.Policy {
			return
		}
		s.Wait = true
		for i := range s.Services {
			s.Services[i].Connections = unbounded
		}
		s.Upstream = map[string]any{"slots": unbounded, "connections": unbounded, "queue": unbounded, "queue-wait": "10s"}
		s.Tuning["max-sends"], s.Tuning["retry-share"], s.Tuning["retry-burst"] = 10, 1, 1000
	})
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return nil, err
	}
	var rows []GoodputRow
	for _, share := range shares {
		row, err := c.goodput(ctx, f, share)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
		time.Sleep(2 * time.Second)
	}
	return rows, nil
}

func (c *Calls) goodput(ctx context.Context, f *fleet.Fleet, share float64) (GoodputRow, error) {
	entries := f.Members[:5]
	run := &stress.Run{
		PerSecond: share * capacity,
		Span:      c.Span,
		Timeout:   3 * time.Second,
		Next: func(i int) stress.Call {
			method := "GET"
			if i%2 == 0 {
				method = "POST"
			}
			return stress.Call{
				Method:  method,
				Address: entries[i%len(entries)].Calls,
				Path:    f.Spec.BookingPath,
				Job:     fmt.Sprint(share, "-", i),
				Headers: map[string]string{"X-Request-Timeout": "500ms"},
			}
		},
	}
	result := run.Do(ctx)
	time.Sleep(time.Second)
	jobs, err := f.Jobs()
	if err != nil {
		return GoodputRow{}, err
	}
	row := GoodputRow{
		Policy:  c.Policy,
		Offered: share * capacity,
		Share:   share,
	}
	done := 0
	for job, e := range result.Results {
		if e.Outcome == "done" && e.Complete {
			done++
		}
		if e.Call.Method == "POST" && jobs[job] > 1 {
			row.RunTwice++
		}
		if e.Call.Method == "POST" && e.Outcome == "not-run" && jobs[job] > 0 {
			row.NotRunButRan++
		}
	}
	span := c.Span.Seconds()
	row.Done = float64(done) / span
	row.NotRun = float64(result.Outcomes["not-run"]) / span
	row.Unknown = float64(result.Outcomes["unknown"]+result.Outcomes["no-answer"]) / span
	row.P50 = millis(result.Quantile(50))
	row.P99 = millis(result.Quantile(99))
	return row, nil
}
