package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keptBody is how much of a request's body is kept, in bytes.
const keptBody = 64

// healthPath is the path of the health check of all services.
const healthPath = "/healthz"

// Header fields of requests and answers.
const (
	headerAttempt   = "Attempt-Id"
	headerDeadline  = "Deadline-Ms"
	headerSignature = "Response-Signature"
	headerTarget    = "Target-Instance"
	headerInstance  = "Instance-Id"
	headerNotRun    = "Not-Executed"
	headerLoad      = "Server-Load"
	headerCaller    = "Caller-Service"
)

// arrival is one request that has reached a backend and was run.
type arrival struct {
	at      time.Time
	attempt string
	path    string
	target  string
	caller  string
	body    string
	backend *backend
}

// ledger holds what all backends have run.
type ledger struct {
	mu   sync.Mutex
	runs []arrival
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.runs...)
}

// backend is one process of an application backend.
type backend struct {
	machine *machine
	id      string
	service string
	slots   int
	work    time.Duration
	ledger  *ledger

	born   time.Time
	server *http.Server
	ctx    context.Context
	end    context.CancelFunc
	slot   chan struct{}

	mu       sync.Mutex
	sequence uint64
	running  int
	waiting  int
	draining bool
	quiet    bool
}

// startBackend starts a backend at the address of a machine; born is what its clock shows.
func startBackend(m *machine, id, service string, born time.Time, l *ledger) (*backend, error) {
	listener, err := net.Listen("tcp", m.appAddress())
	if err != nil {
		return nil, errors.Wrap(err, "backend "+id)
	}
	b := &backend{
		machine: m,
		id:      id,
		service: service,
		slots:   slots,
		work:    workTime,
		ledger:  l,
		born:    born,
		slot:    make(chan struct{}, slots),
	}
	b.ctx, b.end = context.WithCancel(context.Background())
	b.server = &http.Server{
		Handler: b,
	}
	m.world.note("backend %s of %s starts on %s at %s", id, service, m.name, m.appAddress())
	go func() { _ = b.server.Serve(listener) }()
	go b.report()
	return b, nil
}

// crash ends the process at once.
func (b *backend) crash() {
	b.machine.world.note("backend %s of %s on %s ends without notice", b.id, b.service, b.machine.name)
	b.end()
	_ = b.server.Close()
}

// ServeHTTP serves a health check or a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	attempt, target := r.Header.Get(headerAttempt), r.Header.Get(headerTarget)
	header := w.Header()
	if r.URL.Path == healthPath {
		header.Set(headerInstance, b.id)
		header.Set(headerLoad, b.load())
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	header.Set(headerAttempt, attempt)
	switch {
	case attempt == "":
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
	case target != "" && target != b.id:
		b.machine.world.note("backend %s of %s answers 421 to %s, which is for %s", b.id, b.service, attempt, target)
		header.Set(headerInstance, b.id)
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case !b.take(r):
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		defer b.free()
		b.run(w, r, arrival{
			at:      arrived,
			attempt: attempt,
			path:    r.URL.Path,
			target:  target,
			caller:  r.Header.Get(headerCaller),
			body:    string(body[:min(len(body), keptBody)]),
			backend: b,
		})
	}
}

func (b *backend) run(w http.ResponseWriter, r *http.Request, a arrival) {
	b.ledger.add(a)
	b.machine.world.note("backend %s of %s on %s runs %s, %s %s, Target-Instance %q", b.id, b.service, b.machine.name, a.attempt, r.Method, a.path, a.target)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-b.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSignature, "3e1b.07."+b.id)
	w.Header().Set(headerLoad, b.load())
	_, _ = io.WriteString(w, b.id+" "+a.attempt)
}

// take waits for a slot; as many requests as there are slots may wait.
func (b *backend) take(r *http.Request) bool {
	b.mu.Lock()
	if b.waiting >= 4*b.slots {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	taken := false
	select {
	case b.slot <- struct{}{}:
		taken = true
	case <-r.Context().Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if taken {
		b.running++
	}
	return taken
}

func (b *backend) free() {
	<-b.slot
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

// report sends heartbeats until the process ends.
func (b *backend) report() {
	for {
		b.mu.Lock()
		quiet := b.quiet
		b.mu.Unlock()
		if !quiet {
			_ = b.beat()
		}
		select {
		case <-b.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// beatBody returns the next heartbeat.
func (b *backend) beatBody() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"address": b.machine.appAddress(),
		"born":    b.born.UnixMilli(),
		"info": map[string]any{
			"service": b.service,
			"version": "v1",
			"zone":    b.machine.zone,
			"slots":   b.slots,
		},
		"status": map[string]any{
			"state":          state,
			"seq":            b.sequence,
			"cold_remaining": "0ms",
		},
	})
	return data
}

// setDraining makes the heartbeats say that the backend is draining.
func (b *backend) setDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// beat sends one heartbeat; an error means that it was not acknowledged.
func (b *backend) beat() error { return b.post("heartbeat", b.beatBody()) }

// post sends a report to the node; an error means that it was not acknowledged.
func (b *backend) post(what string, data []byte) error {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	url := "http://" + address(b.machine.ip, portControlPlane) + "/api/instances/" + b.id + "/" + what
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, what)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.machine.world.note("backend %s: %s is not answered: %v", b.id, what, err)
		return errors.Wrap(err, what)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	b.machine.world.note("backend %s of %s: %s %s is answered %d", b.id, b.service, what, data, resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		return errors.New(what + ": status " + strconv.Itoa(resp.StatusCode))
	}
	return nil
}
