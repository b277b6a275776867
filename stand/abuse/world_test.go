// Package abuse runs the real program beside crowds of clients that misbehave: with a small
// memory and few descriptors, no process may end or exceed them, and ordinary requests must be
// answered. It holds tests only.
package abuse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/appsim"
	"github.com/cyclamensaddle/cyclam/stand/child"
	"github.com/cyclamensaddle/cyclam/stand/mstore"
)

const (
	// cpuShare, memoryLimit and fileLimit are what the settings of the processes name. The
	// share of a core bounds nothing here; a small one lets the heap grow furthest.
	cpuShare    = 0.08
	memoryLimit = 96 << 20
	fileLimit   = 500
	// headerLimit and bodyLimit are the limits of the configuration, in bytes.
	headerLimit = 16 << 10
	bodyLimit   = 8 << 20
	// largeAnswer is the size of a large answer, in bytes.
	largeAnswer = 4 << 20
	// giveUp is when the wait for what has to happen at some time ends.
	giveUp = 30 * time.Second
	// host is the host of all routes, largeSuffix the end of paths with large answers.
	host        = "h.example"
	largeSuffix = "/large"
	// backendSlots are enough for a crowd that occupies them and for an ordinary request.
	backendSlots = 64
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cyclamensaddle-abuse-")
	if err != nil {
		panic(err)
	}
	if program, err = child.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// world is a store and two machines; the crowds come to the first one.
type world struct {
	t *testing.T
	// memoryLimit and bodyLimit are in bytes.
	memoryLimit int64
	bodyLimit   int
	fileLimit   int
	// work is how long a request takes.
	work     time.Duration
	machines []*machine
	clients  crowd
	requests atomic.Int64
}

// machine is a node process and the backend beside it.
type machine struct {
	child.Machine

	backend *appsim.Backend
	process *child.Process
	// descriptors is the most that the process has had open.
	descriptors atomic.Int64
}

func newWorld(t *testing.T, memoryLimit int64, bodyLimit int) *world {
	t.Helper()
	w := &world{
		t:           t,
		memoryLimit: memoryLimit,
		bodyLimit:   bodyLimit,
		fileLimit:   fileLimit,
		work:        time.Millisecond,
	}
	w.start()
	return w
}

// start starts the machines and waits until they serve.
func (w *world) start() {
	t, bodyLimit := w.t, w.bodyLimit
	t.Helper()
	store := mstore.NewServer()
	store.Put("config", "main", config(bodyLimit))
	dir := t.TempDir()
	for _, name := range []string{"m00", "m01"} {
		w.machines = append(w.machines, w.newMachine(name, dir, store))
	}
	t.Cleanup(w.clients.leave)
	for _, m := range w.machines {
		w.await(m.Name+" is ready", m.ready)
		w.await(m.Name+" serves", func() error { return w.request(m, http.MethodPost, "/a/x", []byte("x")) })
	}
}

func config(bodyLimit int) json.RawMessage {
	spec, _ := json.Marshal(map[string]any{
		"version": "00000001",
		"routes": map[string]any{
			"a": map[string]any{
				"host": host, "path_prefix": "/a/", "route_type": "idempotent", "timeout": "8s",
				"target_latency": "600ms", "priority": 1, "service": "a", "max_attempts": 3,
			},
		},
		"services": map[string]any{
			"a": map[string]any{"health_check_path": appsim.HealthPath, "max_connections": 2 * backendSlots},
		},
		"limits": map[string]any{
			"max_header_bytes": headerLimit, "max_body_bytes": bodyLimit,
			"header_timeout": "3000ms", "idle_timeout": "15s",
		},
	})
	return spec
}

func (w *world) newMachine(name, dir string, store *mstore.Server) *machine {
	t := w.t
	t.Helper()
	ip, err := child.FreeIP()
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{
		Machine: child.Machine{
			Name:        name,
			Service:     "a",
			IP:          ip,
			Dir:         dir,
			CPUShare:    cpuShare,
			MemoryMB:    int(w.memoryLimit >> 20),
			Descriptors: w.fileLimit,
			Drain:       2 * time.Second,
			Grace:       6 * time.Second,
		},
	}
	m.backend = &appsim.Backend{
		ID:           "i-" + name,
		Service:      m.Service,
		Zone:         "north-a",
		Address:      m.Address(child.PortApp),
		ControlPlane: m.Address(child.PortControlPlane),
		Slots:        backendSlots,
		Heartbeat:    400 * time.Millisecond,
		Work:         func() time.Duration { return w.work },
		LargeSuffix:  largeSuffix,
		LargeBytes:   largeAnswer,
	}
	listener, err := net.Listen("tcp", m.Address(child.PortStore))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: store.Handler(name),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = m.backend.Run(t.Context()) }()
	if m.process, err = child.Start(m.Machine, program); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.process.Kill)
	go m.watchDescriptors()
	return m
}

// watchDescriptors records the most descriptors until the process ends.
func (m *machine) watchDescriptors() {
	for m.process.Running() {
		if open, err := m.process.Descriptors(); err == nil {
			m.descriptors.Store(max(m.descriptors.Load(), int64(open)))
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (m *machine) ready() error {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + m.Address(child.PortReady) + "/api/ready")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness: got %d, want 200", resp.StatusCode)
	}
	return nil
}

// request sends one request on a connection of its own; an error means that it was not
// served.
func (w *world) request(m *machine, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+m.Address(child.PortOutbound)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	id := fmt.Sprintf("ordinary-%d", w.requests.Add(1))
	req.Host = host
	req.Header.Set(appsim.HeaderAttempt, id)
	req.Header.Set(appsim.HeaderDeadline, "5000")
	client := http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(answer) != id {
		return fmt.Errorf("request: got %d %q, %v, want 200 with its id", resp.StatusCode, answer, err)
	}
	return nil
}

// await repeats a check until it passes.
func (w *world) await(what string, check func() error) {
	w.t.Helper()
	var err error
	for deadline := time.Now().Add(giveUp); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
		for _, m := range w.machines {
			if m.process != nil && !m.process.Running() {
				w.t.Fatalf("%s: not before the process of %s ended: %v", what, m.Name, err)
			}
		}
	}
	w.t.Fatalf("%s: not at all: %v", what, err)
}

// check checks what must hold while a crowd stays and after it has left.
func (w *world) check() {
	w.t.Helper()
	w.clients.settle()
	w.checkServed("beside the crowd")
	w.clients.leave()
	w.checkServed("after the crowd")
	for _, m := range w.machines {
		w.await(m.Name+" serves a large body in calm", func() error {
			return w.request(m, http.MethodPost, "/a/x", make([]byte, w.bodyLimit))
		})
		memory, err := m.process.PeakMemory()
		if err != nil {
			w.t.Fatal(err)
		}
		descriptors := m.descriptors.Load()
		w.t.Logf("%s: peak memory %d MiB, descriptors %d", m.Name, memory>>20, descriptors)
		if memory > w.memoryLimit {
			w.t.Errorf("%s: peak memory: got %d MiB, want at most %d", m.Name, memory>>20, w.memoryLimit>>20)
		}
		if descriptors > int64(w.fileLimit) {
			w.t.Errorf("%s: descriptors: got %d, want at most %d", m.Name, descriptors, w.fileLimit)
		}
		if !m.process.Running() {
			w.t.Errorf("%s: the process has ended", m.Name)
		}
	}
}

// checkServed checks that each node is ready, acknowledges heartbeats and serves a request.
func (w *world) checkServed(when string) {
	w.t.Helper()
	for _, m := range w.machines {
		w.await(m.Name+" is ready "+when, m.ready)
		w.await(m.Name+" acknowledges a heartbeat "+when, func() error { return m.backend.Beat(w.t.Context()) })
		w.await(m.Name+" serves "+when, func() error { return w.request(m, http.MethodPost, "/a/x", []byte("x")) })
	}
}

// crowd is clients that misbehave. Each has one connection, which stays open until the crowd
// leaves or the node closes it.
type crowd struct {
	sent  atomic.Int64
	group sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// join adds a client that connects and sends. A client that is turned away sends nothing more.
func (c *crowd) join(address string, send func(io.Writer) error) {
	c.group.Go(func() {
		conn, err := net.DialTimeout("tcp", address, giveUp)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		_ = send(countedWriter{
			Writer: conn,
			crowd:  c,
		})
	})
}

// settle waits until the crowd has sent all that it can for now.
func (c *crowd) settle() {
	const quiet, most = 1500 * time.Millisecond, 15 * time.Second
	began := time.Now()
	for last, since := c.sent.Load(), began; time.Since(since) < quiet && time.Since(began) < most; {
		<-time.After(50 * time.Millisecond)
		if sent := c.sent.Load(); sent != last {
			last, since = sent, time.Now()
		}
	}
}

func (c *crowd) leave() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// joinReading adds a client that sends one request after the other and reads each answer.
func (c *crowd) joinReading(address, request string) {
	c.join(address, func(w io.Writer) error {
		answers := bufio.NewReader(w.(countedWriter).Writer.(net.Conn))
		for {
			if _, err := io.WriteString(w, request); err != nil {
				return err
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
	})
}

// countedWriter counts what the crowd has sent.
type countedWriter struct {
	io.Writer

	crowd *crowd
}

// Write sends bytes.
func (w countedWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.crowd.sent.Add(int64(n))
	return n, err
}
