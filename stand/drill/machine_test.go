package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/appsim"
	"github.com/cyclamensaddle/cyclam/stand/mstore"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portInternal     = "7620"
	portInbound      = "8300"
	portApp          = "8301"
	portReady        = "8302"
	portOutbound     = "8304"
	portControlPlane = "8306"
	portStore        = "8309"
	portMetrics      = "9464"
)

var machinePorts = []string{portInternal, portInbound, portApp, portReady, portOutbound, portControlPlane, portStore, portMetrics}

const (
	drainTime    = 2 * time.Second
	graceTime    = 6 * time.Second
	backendSlots = 8
	// memoryLimit is the memory that a node may use, in bytes.
	memoryLimit = 284 << 20
	// exitLimit is how long after SIGTERM a process may still run.
	exitLimit = graceTime
)

// machine is a backend, the node process beside it, and their address of the store.
type machine struct {
	name    string
	ip      string
	service string
	dir     string
	program string
	backend *appsim.Backend
	// ready is set while the clients of the machine get work.
	ready atomic.Bool
	ended chan struct{}
	stop  context.CancelFunc

	mu      sync.Mutex
	process *process
	// upstream is the id of the backend. steady is unset while the machine joins or
	// leaves.
	upstream     string
	steady       bool
	replacements int
	// crashed is called when the backend crashes.
	crashed func()
	// arrived is called with each attempt that arrives at the backend.
	arrived func(attempt string)
}

// process is one run of the program.
type process struct {
	cmd *exec.Cmd
	// incarnation is the one that the node has logged, as text.
	incarnation string
	exited      chan struct{}
}

// freeIP returns a loopback address at which all ports of a machine are free.
func freeIP(t *testing.T) string {
	t.Helper()
	for range 100 {
		ip := fmt.Sprintf("127.0.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254))
		if portsFree(ip) {
			return ip
		}
	}
	t.Fatal("found no loopback address with free ports")
	return ""
}

func portsFree(ip string) bool {
	for _, port := range machinePorts {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// newMachine starts the backend and the store's address of a machine; startNode starts
// its node.
func newMachine(t *testing.T, name, service, dir string, store *mstore.Server, onRun func(string)) *machine {
	t.Helper()
	m := &machine{
		name:     name,
		ip:       freeIP(t),
		service:  service,
		dir:      dir,
		ended:    make(chan struct{}),
		upstream: "i-" + name + "-0",
	}
	m.backend = &appsim.Backend{
		ID:           m.upstream,
		Service:      service,
		Zone:         "north-a",
		Address:      m.address(portApp),
		ControlPlane: m.address(portControlPlane),
		Slots:        backendSlots,
		Heartbeat:    400 * time.Millisecond,
		Work:         func() time.Duration { return 5*time.Millisecond + rand.N(35*time.Millisecond) },
		OnRun:        onRun,
		OnArrive:     m.noteArrival,
		CrashSuffix:  poisonSuffix,
		OnCrash:      m.noteCrash,
	}
	listener, err := net.Listen("tcp", m.address(portStore))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: store.Handler(name),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	t.Cleanup(cancel)
	go func() {
		defer close(m.ended)
		if err := m.backend.Run(ctx); err != nil {
			t.Errorf("%s: backend: %v", name, err)
		}
	}()
	go m.pollReady(ctx)
	return m
}

// watch calls arrived with each attempt that arrives at the backend from now on.
func (m *machine) watch(arrived func(attempt string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrived = arrived
}

func (m *machine) noteArrival(attempt string) {
	m.mu.Lock()
	arrived := m.arrived
	m.mu.Unlock()
	if arrived != nil {
		arrived(attempt)
	}
}

// noteCrash reports a crash of the backend and returns the id of its next process.
func (m *machine) noteCrash() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed != nil {
		m.crashed()
	}
	m.replacements++
	m.upstream = "i-" + m.name + "-" + strconv.Itoa(m.replacements)
	return m.upstream
}

func (m *machine) address(port string) string { return net.JoinHostPort(m.ip, port) }

func (m *machine) settings() ([]byte, error) {
	internal, err := strconv.Atoi(portInternal)
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{
		"node_name": m.name,
		"zone":      "north-a",
		"region":    "north",
		"ip":        m.ip,
		"listen": map[string]string{
			"inbound":       m.address(portInbound),
			"outbound":      m.address(portOutbound),
			"ready":         m.address(portReady),
			"control_plane": m.address(portControlPlane),
		},
		"internal_port_range": []int{internal, internal + 1},
		"app_addr":            m.address(portApp),
		"service":             m.service,
		"limits": map[string]any{
			"memory_mb": memoryLimit >> 20,
			"link_mbps": 1000,
		},
		"bounds": []string{
			"drain=" + drainTime.String(), "grace=" + graceTime.String(),
			"retry_budget_ratio=0.2", "budget_window=10s", "budget_min_retries=60",
		},
		"platform": map[string]string{
			"address": m.address(portStore),
		},
	})
}

var incarnationPattern = regexp.MustCompile(`node-started: .*incarnation=(\d+)`)

// startNode starts the node process. It is ended by its id at the end of the test.
func (m *machine) startNode(t *testing.T) {
	t.Helper()
	data, err := m.settings()
	if err != nil {
		t.Fatal(err)
	}
	base := filepath.Join(m.dir, m.name)
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		cmd:    exec.Command(m.program, "sidecar"),
		exited: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), "CYCLAMENSADDLE_NODE_FILE="+base+".json")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	before, err := log.Stat()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	waitFor(t, 10*time.Second, m.name+" has logged its start", func() bool {
		text, _ := os.ReadFile(base + ".log")
		found := incarnationPattern.FindSubmatch(text[before.Size():])
		if found == nil {
			return false
		}
		p.incarnation = string(found[1])
		return true
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
}

// setSteady says whether the machine's entry is expected in the store.
func (m *machine) setSteady(steady bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steady = steady
}

// stopNode sends SIGTERM to the node process and waits for its exit.
func (m *machine) stopNode(t *testing.T) {
	m.setSteady(false)
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	began := time.Now()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("%s: stop: %v", m.name, err)
	}
	select {
	case <-p.exited:
	case <-time.After(exitLimit):
		t.Errorf("%s: still runs %v after SIGTERM", m.name, time.Since(began))
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// killNode kills the node process.
func (m *machine) killNode(t *testing.T) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if err := p.cmd.Process.Kill(); err != nil {
		t.Errorf("%s: kill: %v", m.name, err)
	}
	<-p.exited
}

// freeze stops the node process for a time.
func (m *machine) freeze(t *testing.T, d time.Duration) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Errorf("%s: freeze: %v", m.name, err)
	}
	<-time.After(d)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Errorf("%s: wake: %v", m.name, err)
	}
}

// replaceBackend lets another process of the backend take over the machine, which makes the node
// write its entry.
func (m *machine) replaceBackend(ctx context.Context) {
	m.mu.Lock()
	m.replacements++
	m.upstream = "i-" + m.name + "-" + strconv.Itoa(m.replacements)
	id := m.upstream
	m.mu.Unlock()
	m.backend.Replace(id)
	_ = m.backend.Beat(ctx)
}

// readyInterval is the interval of the platform's readiness checks. Clients get no work
// after two misses.
const readyInterval = time.Second

func (m *machine) pollReady(ctx context.Context) {
	client := http.Client{
		Timeout: readyInterval,
	}
	for misses := 0; ctx.Err() == nil; {
		began := time.Now()
		resp, err := client.Get("http://" + m.address(portReady) + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			m.ready.Store(true)
		} else if misses++; misses == 2 {
			m.ready.Store(false)
		}
		wait(ctx, readyInterval-time.Since(began))
	}
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func waitFor(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if ok() {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	t.Fatalf("not within %v: %s", limit, what)
}
