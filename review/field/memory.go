package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/child"
)

const (
	// memoryMB is the machine's memory in the settings of the small deployments, and headLimit
	// and bodyLimit are the limits of the configuration, in bytes.
	memoryMB  = 284
	headLimit = 16384
	bodyLimit = 64 << 20
	// crowdSize is the number of clients at one machine. Of every uploadEvery one uploads.
	crowdSize   = 2000
	uploadEvery = 20
	// crowdTime is how long the crowd is there.
	crowdTime = 40 * time.Second
	// memoryInterval is the pause between two looks at the memory of the processes.
	memoryInterval = 20 * time.Millisecond
)

// memoryCase lets a crowd of clients come to one machine: some upload bodies of legal size in
// chunks, stop just short of their end and stay open; the others send requests whose heads have
// the legal size and read the answers. The platform kills a process that exceeds its memory. It
// returns whether the rule LOST held.
func memoryCase(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r, memoryMB, []route{
		{path: "/lookup/", kind: "idempotent", service: "stockview", timeout: "2500ms"},
		{path: "/booking/", kind: "non_idempotent", service: "cutorder", timeout: "3000ms"},
	})
	if err != nil {
		return false, err
	}
	defer w.end()
	for i, service := range []string{"stockview", "stockview", "stockview", "cutorder", "cutorder"} {
		b := &backend{
			id:         fmt.Sprintf("i-%s-%d", service, i),
			service:    service,
			slots:      12,
			work:       220 * time.Millisecond,
			answerSize: 1500,
		}
		if service == "cutorder" {
			b.work = 290 * time.Millisecond
		}
		if _, err := w.add(fmt.Sprintf("m%d", i), b); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	m := w.machines[0]
	until := time.Now().Add(crowdTime)
	var killed, peak, answered, lost atomic.Int64
	var all sync.WaitGroup
	all.Go(func() {
		for time.Now().Before(until) {
			used := m.memory()
			peak.Store(max(peak.Load(), used))
			if used > memoryMB<<20 {
				killed.Add(1)
				r.note("platform  %s holds %d MiB, more than %d: killed", m.name, used>>20, memoryMB)
				m.exceed()
				<-time.After(2 * time.Second)
			}
			<-time.After(memoryInterval)
		}
	})
	// judge counts a request on a kept connection that ended with the connection.
	judge := func(id string, o outcome) {
		switch ran := r.runsOf(id); {
		case o.err == nil && o.status == http.StatusOK:
			answered.Add(1)
		case o.err != nil && o.kept && o.closed && len(ran) > 0:
			lost.Add(1)
			r.note("lost      %s, passed on to the sound backend %v", id, ran)
		}
	}
	for n := range 24 {
		all.Go(func() {
			k := &keptConn{
				address: m.address(child.PortOutbound),
				record:  r,
			}
			defer k.close()
			for count := 0; time.Now().Before(until); count++ {
				id := fmt.Sprintf("o%d-%d", n, count)
				o := k.do(http.MethodPost, "/booking/x", id, nil, 3*time.Second)
				judge(id, o)
				if o.err != nil || o.status != http.StatusOK {
					<-time.After(100 * time.Millisecond)
				}
			}
		})
	}
	if trouble {
		for i := range crowdSize {
			all.Go(func() { crowdClient(m, i, until) })
		}
	}
	all.Wait()
	r.note("result    ordinary-answered=%d lost=%d killed=%d peak=%d MiB", answered.Load(), lost.Load(), killed.Load(), peak.Load()>>20)
	if answered.Load() == 0 {
		return false, fmt.Errorf("no ordinary request was answered: the case did not run")
	}
	return lost.Load() <= mostLost, nil
}

// crowdClient is one client of the crowd. It comes back when its connection has ended.
func crowdClient(m *machine, i int, until time.Time) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", m.address(child.PortOutbound), time.Second)
		if err == nil {
			_ = c.SetDeadline(until)
			if i%uploadEvery == 0 {
				upload(c, i)
			} else {
				lookUp(c, i)
			}
			_ = c.Close()
		}
		<-time.After(50 * time.Millisecond)
	}
}

// upload sends a body of legal size in chunks, stops short of its end, and stays until the
// connection ends.
func upload(c net.Conn, i int) {
	const size = 1 << 20
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("y", size))
	_, err := fmt.Fprintf(c, "POST /booking/x HTTP/1.1\r\nHost: %s\r\n%s: u%d\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", host, headerAttempt, i)
	for sent := 0; sent < bodyLimit-size && err == nil; sent += size {
		_, err = io.WriteString(c, chunk)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// lookUp sends one request after the other, whose head has nearly the legal size, and reads the
// answers, until the connection ends.
func lookUp(c net.Conn, i int) {
	var head strings.Builder
	for n := 0; head.Len() < headLimit-2000; n++ {
		fmt.Fprintf(&head, "X-Field-%d: %s\r\n", n, strings.Repeat("x", 1500))
	}
	buf := make([]byte, 4096)
	for count := 0; ; count++ {
		_, err := fmt.Fprintf(c, "GET /lookup/x HTTP/1.1\r\nHost: %s\r\n%s: l%d-%d\r\nDeadline-Ms: 2500\r\n%s\r\n", host, headerAttempt, i, count, head.String())
		if err == nil {
			_, err = c.Read(buf)
		}
		if err != nil {
			return
		}
	}
}

// memory returns the memory that the node's process holds beside its program, in bytes.
func (m *machine) memory() int64 {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// exceed ends the process as the platform does with one that exceeds its memory. It is started
// again.
func (m *machine) exceed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Kill()
}
