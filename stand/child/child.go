// Package child runs the built program as child processes on loopback addresses. Each
// process belongs to a machine with an address of its own.
package child

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Ports of a machine.
const (
	PortInternal     = "7620"
	PortInbound      = "8300"
	PortApp          = "8301"
	PortReady        = "8302"
	PortOutbound     = "8304"
	PortControlPlane = "8306"
	PortStore        = "8309"
	PortMetrics      = "9464"
)

var ports = []string{PortInternal, PortInbound, PortApp, PortReady, PortOutbound, PortControlPlane, PortStore, PortMetrics}

// startLimit is how long a process may take to log its start.
const startLimit = 10 * time.Second

// Build builds the program into a directory and returns its path.
func Build(dir string) (string, error) {
	program := filepath.Join(dir, "cyclamensaddle")
	out, err := exec.Command("go", "build", "-o", program, "github.com/cyclamensaddle/cyclam/cmd/cyclamensaddle").CombinedOutput()
	return program, errors.Wrap(err, string(out))
}

// FreeIP returns a loopback address at which all ports of a machine are free.
func FreeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.0.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254))
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("found no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Machine is what the settings of a process say of its machine.
type Machine struct {
	Name    string
	Service string
	IP      string
	// Dir is the directory of the settings and the log.
	Dir string
	// CPUShare is the part of a core that the settings name; zero names none.
	CPUShare float64
	// MemoryMB is the memory limit in units of 2^20 bytes.
	MemoryMB int
	// Descriptors is the limit of open files; zero names none.
	Descriptors int
	Drain       time.Duration
	Grace       time.Duration
}

// Address returns the host:port of one of the machine's ports.
func (m Machine) Address(port string) string { return net.JoinHostPort(m.IP, port) }

func (m Machine) settings() ([]byte, error) {
	internal, err := strconv.Atoi(PortInternal)
	if err != nil {
		return nil, err
	}
	limits := map[string]any{
		"memory_mb": m.MemoryMB,
		"link_mbps": 1000,
	}
	if m.CPUShare > 0 {
		limits["cpu_share"], limits["cores"] = m.CPUShare, 1
	}
	if m.Descriptors > 0 {
		limits["max_fds"] = m.Descriptors
	}
	return json.Marshal(map[string]any{
		"node_name": m.Name,
		"zone":      "north-a",
		"region":    "north",
		"ip":        m.IP,
		"listen": map[string]string{
			"inbound":       m.Address(PortInbound),
			"outbound":      m.Address(PortOutbound),
			"ready":         m.Address(PortReady),
			"control_plane": m.Address(PortControlPlane),
		},
		"internal_port_range": []int{internal, internal + 1},
		"app_addr":            m.Address(PortApp),
		"service":             m.Service,
		"limits":              limits,
		"bounds": []string{
			"drain=" + m.Drain.String(), "grace=" + m.Grace.String(),
			"retry_budget_ratio=0.2", "budget_window=10s", "budget_min_retries=60",
		},
		"platform": map[string]string{
			"address": m.Address(PortStore),
		},
	})
}

// Process is one run of the program.
type Process struct {
	Cmd *exec.Cmd
	// Incarnation is the one that the node has logged, as text.
	Incarnation string
	// Exited is closed once the process has ended.
	Exited chan struct{}
}

var incarnationPattern = regexp.MustCompile(`node-started: .*incarnation=(\d+)`)

// Start writes the settings of a machine, starts a program with them and waits until it has
// logged its start.
func Start(m Machine, program string) (*Process, error) {
	data, err := m.settings()
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	base := filepath.Join(m.Dir, m.Name)
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	before, err := log.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	p := &Process{
		Cmd:    exec.Command(program, "sidecar"),
		Exited: make(chan struct{}),
	}
	p.Cmd.Env = append(os.Environ(), "CYCLAMENSADDLE_NODE_FILE="+base+".json")
	p.Cmd.Stdout, p.Cmd.Stderr = log, log
	if err := p.Cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start program")
	}
	go func() {
		_ = p.Cmd.Wait()
		_ = log.Close()
		close(p.Exited)
	}()
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); {
		text, _ := os.ReadFile(base + ".log")
		if found := incarnationPattern.FindSubmatch(text[min(int(before.Size()), len(text)):]); found != nil {
			p.Incarnation = string(found[1])
			return p, nil
		}
		<-time.After(10 * time.Millisecond)
	}
	p.Kill()
	return nil, errors.Errorf("%s: no start logged within %v", m.Name, startLimit)
}

// Kill ends the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	<-p.Exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// PeakMemory returns the peak of the process's resident memory, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	text, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0, err
	}
	found := peakMemoryPattern.FindSubmatch(text)
	if found == nil {
		return 0, errors.Errorf("no peak of memory in %q", text)
	}
	kilobytes, err := strconv.ParseInt(string(found[1]), 10, 64)
	return kilobytes << 10, err
}

// Descriptors returns how many files and sockets the process has open.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(p.proc("fd"))
	return len(entries), err
}

func (p *Process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.Cmd.Process.Pid), name)
}
