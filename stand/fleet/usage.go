package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of CPU time in /proc/PID/stat, at the usual USER_HZ of 100.
const clockTick = 10 * time.Millisecond

const bytesPerMB = 1 << 20

// checkStopped returns an error unless all threads of a process are stopped.
func checkStopped(pid int) error {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return errors.Errorf("process %d: got no threads, want some", pid)
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		if err != nil {
			return errors.Wrap(err, "read state of thread")
		}
		if _, rest, _ := strings.Cut(string(data), ") "); !strings.HasPrefix(rest, "T") {
			return errors.Errorf("%s: got state %.1s, want it stopped", thread, rest)
		}
	}
	return nil
}

// CPU returns the user and system CPU time of a node's process, or 0 if it can't
// be read.
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

// MemoryMB returns the resident memory of a node's process in units of 2^20
// bytes, or 0 if it can't be read.
func (f *Fleet) MemoryMB(name string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.nodes[name].Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / bytesPerMB
}
