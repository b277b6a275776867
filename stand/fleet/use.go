package fleet

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// bytesPerMB is the size of a megabyte.
const bytesPerMB = 1 << 20

// CPU returns the processor time that a node's process has used.
func (f *Fleet) CPU(name string) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.nodes[name].Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	var user, system int64
	fields := strings.Fields(rest)
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * clockTick
}

// MemoryMB returns the resident memory of a node's process in megabytes.
func (f *Fleet) MemoryMB(name string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.nodes[name].Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / bytesPerMB
}
