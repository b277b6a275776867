package oper

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// processors is how many threads a small process beside an upstream uses: few
// have to be woken for a call. The environment's GOMAXPROCS goes first.
const processors = 2

func tuneProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(processors)
	}
}

// The garbage collector's settings. A small fleet's node collects seldom, which
// keeps calls quick; a large fleet's node lets its heap grow by half of what
// lives, which keeps it below the limit of memory.
const (
	heapTarget    = 64 << 20
	leastPercent  = 50
	mostPercent   = 1000
	garbagePeriod = 10 * time.Second
	liveMetric    = "/gc/heap/live:bytes"
)

// tuneGarbage follows the size of what lives; the environment's GOGC goes first.
func tuneGarbage(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	ticker := time.NewTicker(garbagePeriod)
	defer ticker.Stop()
	for {
		sample := []metrics.Sample{{
			Name: liveMetric,
		}}
		metrics.Read(sample)
		debug.SetGCPercent(garbagePercent(sample[0].Value.Uint64()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// garbagePercent returns how much garbage may gather for some bytes that live.
func garbagePercent(live uint64) int {
	if live == 0 || live >= heapTarget {
		return leastPercent
	}
	percent := (heapTarget - live) * 100 / live
	return int(min(max(percent, leastPercent), mostPercent))
}
