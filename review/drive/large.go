package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// memoryLimit is memory_mb of the settings, in bytes.
	memoryLimit = 284 << 20
	// memoryPoll is the interval at which the platform looks at the memory of a process.
	memoryPoll = 5 * time.Millisecond
	// restartAfter is the time from the kill of a process to its start.
	restartAfter = 500 * time.Millisecond
	// largeBody is the size of a large request, a quarter of max_body_bytes, and usualBody that
	// of a usual one, in bytes.
	largeBody = 16 << 20
	usualBody = 4000
	// atOnce is how many of them are sent at a time on each of largeMachines machines,
	// largeInterval the interval at which that is done, and largeCount how often.
	atOnce        = 8
	largeMachines = 2
	largeInterval = 4 * time.Second
	largeCount    = 4
	// keptClients is how many clients of a machine keep their connection.
	keptClients = 8
)

// memoryUse returns the resident memory of a process, in bytes.
func memoryUse(pid int) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("memory: too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "memory")
}

// guardMemory kills the node's process when it exceeds its memory, as the platform does, and
// starts it again.
func (m *machine) guardMemory(stop <-chan struct{}) {
	peak, last := int64(0), 0
	for {
		select {
		case <-stop:
			m.world.note("the last process of the node on %s had %d MB at most", m.name, peak>>20)
			return
		case <-time.After(memoryPoll):
		}
		m.mu.Lock()
		c, exited := m.process, m.exited
		m.mu.Unlock()
		if c.Process.Pid != last {
			peak, last = 0, c.Process.Pid
		}
		used, err := memoryUse(c.Process.Pid)
		peak = max(peak, used)
		if err != nil || used <= memoryLimit {
			continue
		}
		m.world.note("the node on %s, process %d, has %d MB: over memory_mb", m.name, c.Process.Pid, used>>20)
		m.mu.Lock()
		m.ownEnds++
		m.mu.Unlock()
		_ = c.Process.Signal(syscall.SIGKILL)
		<-exited
		time.Sleep(restartAfter)
		if err := m.start(); err != nil {
			m.world.note("%v", err)
			return
		}
	}
}

// keep sends requests on a kept connection, one after the other, until the channel is closed.
// A new connection is opened only when the node has closed the one before.
func (c *clients) keep(m *machine, method, path string, deadline time.Duration, stop <-chan struct{}) {
	defer c.wait.Done()
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if !m.isReady() {
			continue
		}
		used := conn != nil
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address(m.ip, portOutbound), time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		got := c.exchange(conn, reader, m, method, path, deadline)
		got.kept = used
		c.mu.Lock()
		c.replies = append(c.replies, got)
		c.mu.Unlock()
		if got.err != nil || got.closes {
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchange sends one request on a connection and reads its answer.
func (c *clients) exchange(conn net.Conn, reader *bufio.Reader, m *machine, method, path string, deadline time.Duration) reply {
	c.mu.Lock()
	c.count++
	attempt := fmt.Sprintf("a%06d", c.count)
	c.mu.Unlock()
	got := reply{
		attempt: attempt,
		machine: m,
		path:    path,
		sentAt:  time.Now(),
	}
	c.world.note("client on %s sends %s, %s %s, on a kept connection", m.name, attempt, method, path)
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", method, path, host, headerAttempt, attempt, headerDeadline, deadline.Milliseconds())
	if err == nil {
		var resp *http.Response
		resp, err = http.ReadResponse(reader, nil)
		if err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			got.status, got.signature, got.body, got.closes = resp.StatusCode, resp.Header.Get(headerSignature), string(data), resp.Close
		}
	}
	got.err, got.endedAt = err, time.Now()
	c.world.note("client on %s gets for %s: %d, signature %q, body %q, error %v", m.name, attempt, got.status, got.signature, strings.TrimSpace(got.body), err)
	return got
}

// largeRequests plays no disruption but requests with large bodies, within the limits of the
// configuration. It checks that nodes do not close kept connections whose requests a backend
// has got.
func largeRequests(w *world, trouble bool) ([]string, error) {
	d, err := newSmall(w, smallLayout)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	guard := make(chan struct{})
	for _, m := range d.machines {
		go m.guardMemory(guard)
	}
	for _, m := range d.machines {
		for range keptClients {
			d.clients.wait.Add(1)
			go d.clients.keep(m, http.MethodGet, lookupPrefix+"2f", lookupDeadline, d.quit)
		}
	}
	time.Sleep(3 * time.Second)
	size := usualBody
	if trouble {
		size = largeBody
	}
	body := strings.Repeat("a", size)
	for range largeCount {
		for _, m := range d.machines[:largeMachines] {
			for range atOnce {
				go d.clients.send(m, http.MethodPost, bookingPrefix+"2f", bookingDeadline, body)
			}
		}
		w.note("clients send %d bookings of %d bytes on each of %d machines", atOnce, size, largeMachines)
		time.Sleep(largeInterval)
	}
	d.stopTraffic()
	close(guard)
	time.Sleep(2 * memoryPoll)
	return d.closedUnanswered(), nil
}

// closedUnanswered returns how many requests of kept connections a sound backend has got whose
// connection was then closed without an answer. A process that ends by itself counts as running.
func (d *small) closedUnanswered() []string {
	ran := map[string]bool{}
	for _, a := range d.ledger.all() {
		ran[a.attempt] = true
	}
	count, first := 0, ""
	for _, r := range d.clients.replies {
		var timeout net.Error
		if !r.kept || r.status != 0 || r.err == nil || !ran[r.attempt] || errors.As(r.err, &timeout) && timeout.Timeout() {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf("%s at %s: %v", r.attempt, r.machine.name, r.err)
		}
	}
	var broken []string
	if count > 3 {
		broken = append(broken, fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound backends and their connections closed without an answer; the first: %s", count, first))
	}
	ended := 0
	for _, m := range d.machines {
		m.world.note("processes of the node on %s that have ended over memory_mb: %d", m.name, m.ownEnds)
		if m.ownEnds >= 3 {
			ended++
		}
	}
	if ended >= max(2, (len(d.machines)+9)/10) {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines processes have ended by themselves three times or more", ended, len(d.machines)))
	}
	return broken
}
