// Command bench runs one measurement of distribution and prints it as JSON.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/cyclamensaddle/cyclam/bench"
)

func main() {
	s := &bench.Spread{}
	flag.StringVar(&s.Way, "way", "tree", "tree, or watch for a platform watch per node")
	flag.IntVar(&s.Nodes, "nodes", 20, "nodes")
	flag.IntVar(&s.Services, "services", 20, "services, each with a route and a rule")
	flag.Float64Var(&s.PerSecond, "rate", 1, "changes per second")
	flag.DurationVar(&s.Span, "span", 10*time.Second, "how long to change")
	flag.IntVar(&s.FanOut, "fan-out", 16, "children per node")
	flag.DurationVar(&s.Flush, "flush", 100*time.Millisecond, "how long news is gathered")
	flag.DurationVar(&s.Beat, "beat", 500*time.Millisecond, "heartbeat interval")
	flag.StringVar(&s.Event, "event", "none", "none, hub-loss, root-loss, cut, herd or churn")
	flag.StringVar(&s.Bin, "bin", "bin", "folder with the built programs")
	flag.IntVar(&s.Port, "port", 20000, "first port to use")
	flag.BoolVar(&s.Verbose, "verbose", false, "log the nodes' decisions")
	profile := flag.String("cpu-profile", "", "file for a CPU profile")
	flag.Parse()
	if *profile != "" {
		file, err := os.Create(*profile)
		if err == nil && pprof.StartCPUProfile(file) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	row, err := s.Run(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
	data, _ := json.Marshal(row)
	fmt.Println(string(data))
}
