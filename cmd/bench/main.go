// Command bench runs one experiment and prints its rows as JSON lines.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/cyclamensaddle/cyclam/bench"
)

func main() {
	s := &bench.Distribution{}
	way := flag.String("way", "tree", "tree or watch (distribution), latency, overload, or size")
	flag.IntVar(&s.Nodes, "nodes", 20, "nodes")
	flag.IntVar(&s.Services, "services", 20, "services, each with a route and a rule")
	flag.Float64Var(&s.PerSecond, "rate", 1, "changes per second")
	flag.DurationVar(&s.Span, "span", 10*time.Second, "how long to measure")
	flag.IntVar(&s.FanOut, "fan-out", 16, "children per node")
	flag.DurationVar(&s.Flush, "flush", 100*time.Millisecond, "how long news is gathered")
	flag.DurationVar(&s.HeartbeatInterval, "beat", 500*time.Millisecond, "heartbeat interval")
	flag.DurationVar(&s.Term, "term", 3*time.Second, "how long an unchanged claim stays valid")
	flag.StringVar(&s.Event, "event", "none", "none, hub-loss, root-loss, cut, herd or churn")
	flag.StringVar(&s.Bin, "bin", "bin", "folder with the built programs")
	flag.IntVar(&s.Port, "port", 20000, "first port to use")
	flag.BoolVar(&s.Verbose, "verbose", false, "log the nodes' decisions")
	samples := flag.String("samples", "samples/harrowgate", "deployment for latency and overload")
	traced := flag.Float64("trace", 0, "share of calls traced, for latency")
	policy := flag.Bool("policy", true, "limits, queue bounds and retry budget, for overload")
	set := flag.String("set", "", "tuning as name=value,name=value, for latency and overload")
	profile := flag.String("cpu-profile", "", "file for a CPU profile")
	flag.Parse()
	if *profile != "" {
		file, err := os.Create(*profile)
		if err == nil && pprof.StartCPUProfile(file) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	calls := &bench.Calls{
		Samples:   *samples,
		Bin:       s.Bin,
		Port:      s.Port,
		Span:      s.Span,
		Trace:     *traced,
		Policy:    *policy,
		Overrides: overrides(*set),
	}
	s.Mode = *way
	var err error
	switch *way {
	case "latency":
		err = printRows(calls.Latency(context.Background(), []float64{74, 500, 1000}))
	case "size":
		size := &bench.Size{
			Endpoints: s.Nodes,
			Services:  s.Services,
			Span:      s.Span,
			Bin:       s.Bin,
			Port:      s.Port,
		}
		row, runErr := size.Run(context.Background())
		err = printRows([]bench.SizeRow{row}, runErr)
	case "overload":
		err = printRows(calls.Goodput(context.Background(), []float64{0.5, 1, 2, 4}))
	default:
		row, runErr := s.Run(context.Background())
		err = printRows([]bench.DistributionRow{row}, runErr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
}

// printRows writes rows as JSON lines.
func printRows[R any](rows []R, err error) error {
	for _, row := range rows {
		data, _ := json.Marshal(row)
		fmt.Println(string(data))
	}
	return err
}

// overrides reads name=value pairs; a value that is JSON is taken as that.
func overrides(text string) map[string]any {
	out := map[string]any{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			continue
		}
		var parsed any
		if json.Unmarshal([]byte(value), &parsed) != nil {
			parsed = value
		}
		out[name] = parsed
	}
	return out
}
