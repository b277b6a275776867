package proxy

import "runtime/debug"

// The growth of the heap between two collections, in percent of the live data. A collection
// costs processor time in proportion to the live data: the smaller a node's share of a core
// is, the more memory it spends to collect less often. A node shares its instance's memory
// with the upstream, so that the heap stays close to the live data where time is spare.
const (
	// coreGCPercent is the growth that goes with a whole core.
	coreGCPercent = 32
	minGCPercent  = 40
	maxGCPercent  = 400
)

// memoryLimitShare is the fraction of the process's memory limit at which the
// garbage collector runs more often, to stay below the limit.
const memoryLimitShare = 0.7

// gcPercent returns the growth for a processor share in cores; zero means unknown.
func gcPercent(cores float64) int {
	if !(cores > 0) {
		return minGCPercent
	}
	return int(min(max(coreGCPercent/cores, minGCPercent), maxGCPercent))
}

// tuneMemory configures the garbage collector for a processor share in cores and a memory
// limit in bytes; zero means unknown and no limit.
func tuneMemory(cores float64, limit int64) {
	debug.SetGCPercent(gcPercent(cores))
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}
