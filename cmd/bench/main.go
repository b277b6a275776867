// Command bench runs one benchmark and prints its result rows as JSON lines.
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
	spread := &bench.Distribution{}
	way := flag.String("way", "tree", "benchmark to run: tree or watch (distribution), latency, overload, or size")
	flag.IntVar(&spread.Nodes, "nodes", 20, "nodes")
	flag.IntVar(&spread.Services, "services", 20, "number of services, each with a route and a placement rule")
	flag.Float64Var(&spread.PerSecond, "rate", 1, "changes per second")
	flag.DurationVar(&spread.Span, "span", 10*time.Second, "duration of the measurement")
	flag.IntVar(&spread.FanOut, "fan-out", 16, "children per node")
	flag.DurationVar(&spread.Flush, "flush", 100*time.Millisecond, "how long news and reports are gathered before they are sent")
	flag.DurationVar(&spread.HeartbeatInterval, "beat", 500*time.Millisecond, "heartbeat interval")
	flag.DurationVar(&spread.Term, "term", 3*time.Second, "how long an unchanged claim stays valid")
	flag.StringVar(&spread.Event, "event", "none", "disturbance during the run: none, hub-loss, root-loss, cut, herd or churn")
	flag.StringVar(&spread.Bin, "bin", "bin", "directory with the built programs")
	flag.IntVar(&spread.Port, "port", 20000, "first port to use")
	flag.BoolVar(&spread.Verbose, "verbose", false, "print the log events of the nodes")
	samples := flag.String("samples", "samples/harrowgate", "directory of the deployment, for latency and overload")
	traceRatio := flag.Float64("trace", 0, "fraction of calls that are traced, for latency")
	policy := flag.Bool("policy", true, "enable concurrency limits, queue bounds and the retry budget, for overload")
	tuning := flag.String("set", "", "tuning settings as name=value,name=value, for latency and overload")
	profile := flag.String("cpu-profile", "", "file to write a CPU profile to")
	flag.Parse()
	if *profile != "" {
		file, err := os.Create(*profile)
		if err == nil && pprof.StartCPUProfile(file) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	calls := &bench.Calls{
		Samples:   *samples,
		Bin:       spread.Bin,
		Port:      spread.Port,
		Span:      spread.Span,
		Trace:     *traceRatio,
		Policy:    *policy,
		Overrides: parseOverrides(*tuning),
	}
	spread.Mode = *way
	var err error
	switch *way {
	case "latency":
		err = printRows(calls.Latency(context.Background(), []float64{74, 500, 1000}))
	case "size":
		size := &bench.Size{
			Endpoints: spread.Nodes,
			Services:  spread.Services,
			Span:      spread.Span,
			Bin:       spread.Bin,
			Port:      spread.Port,
		}
		row, runErr := size.Run(context.Background())
		err = printRows([]bench.SizeRow{row}, runErr)
	case "overload":
		err = printRows(calls.Goodput(context.Background(), []float64{0.5, 1, 2, 4}))
	default:
		row, runErr := spread.Run(context.Background())
		err = printRows([]bench.DistributionRow{row}, runErr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
}

// printRows prints rows as JSON lines, also those that precede an error, and returns
// err.
func printRows[R any](rows []R, err error) error {
	for _, row := range rows {
		data, _ := json.Marshal(row)
		fmt.Println(string(data))
	}
	return err
}

// parseOverrides parses comma-separated name=value pairs. A value that is valid JSON is
// decoded; any other value is a string. Elements without "=" are ignored.
func parseOverrides(text string) map[string]any {
	values := map[string]any{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			continue
		}
		var parsed any
		if json.Unmarshal([]byte(value), &parsed) != nil {
			parsed = value
		}
		values[name] = parsed
	}
	return values
}
