package oper

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// maxProcs is the GOMAXPROCS of a node. A sidecar is a small process, and with few
// threads few have to be woken for a call. GOMAXPROCS in the environment takes
// precedence.
const maxProcs = 2

func setMaxProcs() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(maxProcs)
	}
}

// The garbage collector's settings. On a node of a small fleet the collector runs
// seldom, which keeps call latency low. On a node of a large fleet the heap grows by
// half of the live heap between collections, which keeps it below the memory limit.
const (
	heapTargetBytes = 64 << 20
	minGCPercent    = 50
	maxGCPercent    = 1000
	gcTuneInterval  = 10 * time.Second
	liveHeapMetric  = "/gc/heap/live:bytes"
)

// tuneGC adjusts the garbage collector's target percentage to the size of the live
// heap until ctx is done. GOGC in the environment takes precedence.
func tuneGC(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	ticker := time.NewTicker(gcTuneInterval)
	defer ticker.Stop()
	for {
		sample := []metrics.Sample{{
			Name: liveHeapMetric,
		}}
		metrics.Read(sample)
		debug.SetGCPercent(gcPercent(sample[0].Value.Uint64()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// gcPercent returns the target percentage for a live heap of the given size in bytes.
// It lets the heap grow to heapTargetBytes, within minGCPercent and maxGCPercent.
func gcPercent(live uint64) int {
	if live == 0 || live >= heapTargetBytes {
		return minGCPercent
	}
	percent := (heapTargetBytes - live) * 100 / live
	return int(min(max(percent, minGCPercent), maxGCPercent))
}
