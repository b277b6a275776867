package main

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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/mstore"
)

// Ports of a machine.
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

// readyLimit is how long a deployment may take until all its nodes are ready.
const readyLimit = 20 * time.Second

// settleTime is how long a deployment runs before a case begins: longer than any stable_window, so
// that all machines are in touch, and heartbeats and loads have reached all nodes.
const settleTime = 5 * time.Second

// host is the host of all routes.
const host = "orders.example"

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{
		file:  file,
		began: time.Now(),
	}, err
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.line(format, args...)
}

// spec describes a deployment.
type spec struct {
	// services holds the service of each machine.
	services []string
	memoryMB int
	cpuShare float64
	linkMbps float64
	bounds   []string
	config   map[string]any
	slots    int
}

// world is a deployment on loopback addresses: the store, and machines with a backend and a node
// process each.
type world struct {
	spec     spec
	program  string
	dir      string
	rec      *record
	store    *mstore.Server
	machines []*machine
	ctx      context.Context
	cancel   context.CancelFunc
}

// machine is one machine of the deployment.
type machine struct {
	name    string
	service string
	ip      string
	backend *backend
	process *exec.Cmd
	exited  chan struct{}
}

func (m *machine) address(port string) string { return net.JoinHostPort(m.ip, port) }

// freeIP returns a loopback address at which all ports of a machine are free.
func freeIP() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
		free := true
		for _, port := range []string{portInternal, portInbound, portApp, portReady, portOutbound, portControlPlane, portStore, portMetrics} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("found no loopback address with free ports")
}

// newWorld starts a deployment and waits until all nodes are ready.
func newWorld(s spec, program string, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	w := &world{
		spec:    s,
		program: program,
		dir:     dir,
		rec:     rec,
		store:   mstore.NewServer(),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	text, err := json.Marshal(s.config)
	if err != nil {
		return w, err
	}
	w.store.Put("config", "main", text)
	for i, service := range s.services {
		m, err := w.addMachine(fmt.Sprintf("sidecar-north-a-%d", i+1), service)
		if err != nil {
			return w, err
		}
		if err := w.startNode(m); err != nil {
			return w, err
		}
	}
	for limit := time.Now().Add(readyLimit); ; <-time.After(50 * time.Millisecond) {
		waiting := ""
		for _, m := range w.machines {
			if !m.isReady() {
				waiting = m.name
			}
		}
		switch {
		case waiting == "":
			<-time.After(settleTime)
			return w, nil
		case time.Now().After(limit):
			return w, fmt.Errorf("%s is not ready within %v", waiting, readyLimit)
		}
	}
}

func (w *world) addMachine(name, service string) (*machine, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	m := &machine{
		name:    name,
		service: service,
		ip:      ip,
	}
	storeListener, err := net.Listen("tcp", m.address(portStore))
	if err != nil {
		return nil, err
	}
	storeServer := &http.Server{
		Handler: w.store.Handler(name),
	}
	go func() { _ = storeServer.Serve(storeListener) }()
	m.backend = &backend{
		id:      "i-" + name,
		service: service,
		address: m.address(portApp),
		control: m.address(portControlPlane),
		slots:   w.spec.slots,
		rec:     w.rec,
	}
	if err := m.backend.start(w.ctx); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, nil
}

func (w *world) startNode(m *machine) error {
	settings, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": "node", "machine_class": "sidecar", "serves": []string{"sidecar"},
		"ip": m.ip, "zone": "north-a", "region": "north", "zones": map[string]string{"north-a": "north"},
		"listen": map[string]string{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound),
			"ready": m.address(portReady), "control_plane": m.address(portControlPlane),
		},
		"internal_port_range": []int{7620, 7635}, "seeds": []string{}, "bootstrap": true, "loss_counts": false,
		"limits": map[string]any{
			"cpu_share": w.spec.cpuShare, "cores": 1, "memory_mb": w.spec.memoryMB, "max_fds": 4100, "link_mbps": w.spec.linkMbps, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "local", "entry": "local", "heartbeat": "1500ms",
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          w.spec.bounds,
		"app_addr":        m.address(portApp), "service": m.service,
		"platform": map[string]any{
			"address": m.address(portStore), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history": "20s",
			"value_bytes": 1 << 20, "ttl_min": "1000ms",
		},
	})
	if err != nil {
		return err
	}
	base := filepath.Join(w.dir, m.name)
	if err := os.WriteFile(base+".json", settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.process = exec.Command(w.program, "sidecar")
	m.process.Env = append(os.Environ(), "CYCLAMENSADDLE_NODE_FILE="+base+".json")
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), m.process
	m.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node process of a machine.
func (m *machine) signal(s syscall.Signal) error { return m.process.Process.Signal(s) }

func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *machine) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + m.address(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// peakMemory returns the most memory that the node process of a machine has had resident, in units
// of 2^20 bytes.
func (m *machine) peakMemory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}

// logged returns the lines of a node's log that contain a text.
func (w *world) logged(m *machine, text string) []string {
	data, _ := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// close ends all processes that the deployment has started.
func (w *world) close() {
	for _, m := range w.machines {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.signal(syscall.SIGCONT)
		_ = m.process.Process.Kill()
		<-m.exited
	}
	w.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
