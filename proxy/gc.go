package proxy

import "runtime/debug"

const (
	// gcPercent keeps the heap close to the live data: a node shares its instance's
	// memory with the upstream and has spare CPU time.
	gcPercent = 40
	// memoryLimitShare is the fraction of the process's memory limit at which the
	// garbage collector runs more often, to stay below the limit.
	memoryLimitShare = 0.7
)

// tuneMemory configures the garbage collector for a memory limit in bytes; zero
// means no limit.
func tuneMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}
