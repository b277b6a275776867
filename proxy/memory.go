package proxy

import "runtime/debug"

const (
	// garbagePercent keeps the heap close to what lives: a node shares its
	// instance's memory with the upstream, and has processor time to spare.
	garbagePercent = 40
	// memoryShare is the part of the process's memory at which garbage is
	// collected more often, to stay below the limit.
	memoryShare = 0.7
)

// tuneMemory sets the garbage collector up for the memory that is granted.
func tuneMemory(limit int64) {
	debug.SetGCPercent(garbagePercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
}
