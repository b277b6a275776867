package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

// usage measures the resource use of the process and the requests to the platform
// since startUsage.
type usage struct {
	platform         string
	counter          func(string) int64
	start            time.Time
	cpu              time.Duration
	bytes            int64
	crossRegionBytes int64
	stats            objapi.Stats
}

func startUsage(platform string, counter func(string) int64) usage {
	return usage{
		platform:         platform,
		counter:          counter,
		start:            time.Now(),
		cpu:              cpuTime(),
		bytes:            counter("control-bytes-out"),
		crossRegionBytes: counter("control-bytes-cross-region"),
		stats:            platformStats(platform),
	}
}

// finish fills in the row's rates over the time since startUsage.
func (u usage) finish(row *DistributionRow, nodes, changes int) {
	span := time.Since(u.start).Seconds()
	nodeCount := float64(nodes)
	bytes := float64(u.counter("control-bytes-out") - u.bytes)
	row.BytesPerSecond = bytes / span / nodeCount
	row.BytesPerChange = bytes / nodeCount / float64(max(changes, 1))
	row.CrossRegionBytesPerSecond = float64(u.counter("control-bytes-cross-region")-u.crossRegionBytes) / span
	row.CPUPercent = (cpuTime() - u.cpu).Seconds() / span / nodeCount * 100
	row.MemoryMB = residentMB() / nodeCount
	stats := platformStats(u.platform)
	row.PlatformReads = float64(stats.Reads-u.stats.Reads) / span
	row.PlatformWrites = float64(stats.Writes-u.stats.Writes) / span
	row.Watches = stats.Waiting
}

func platformStats(address string) objapi.Stats {
	var stats objapi.Stats
	if body, err := fleet.Get("http://" + address + "/stats"); err == nil {
		_ = json.Unmarshal(body, &stats)
	}
	return stats
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// residentMB returns the resident memory of the process in units of 2^20 bytes.
func residentMB() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / (1 << 20)
}
