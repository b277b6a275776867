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

// use measures what the process and the platform spend over a span.
type use struct {
	platform string
	count    func(string) int64
	began    time.Time
	cpu      time.Duration
	bytes    int64
	link     int64
	stats    objapi.Stats
}

func startUse(platform string, count func(string) int64) use {
	return use{
		platform: platform,
		count:    count,
		began:    time.Now(),
		cpu:      cpuTime(),
		bytes:    count("control-bytes-out"),
		link:     count("control-bytes-cross-region"),
		stats:    platformStats(platform),
	}
}

func (u use) finish(row *DistributionRow, nodes, changes int) {
	span := time.Since(u.began).Seconds()
	each := float64(nodes)
	bytes := float64(u.count("control-bytes-out") - u.bytes)
	row.BytesPerSecond = bytes / span / each
	row.BytesPerChange = bytes / each / float64(max(changes, 1))
	row.CrossRegionBytesPerSecond = float64(u.count("control-bytes-cross-region")-u.link) / span
	row.CPUPercent = (cpuTime() - u.cpu).Seconds() / span / each * 100
	row.MemoryMB = residentMB() / each
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

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// residentMB returns the process's resident memory in megabytes.
func residentMB() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / (1 << 20)
}
