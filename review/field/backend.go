package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt   = "Attempt-Id"
	headerSignature = "Response-Signature"
	healthPath      = "/healthz"
	// heartbeatInterval is the heartbeat of the settings, beatRetry the pause after one that
	// was not acknowledged.
	heartbeatInterval = 1500 * time.Millisecond
	beatRetry         = 100 * time.Millisecond
	ackTimeout        = time.Second
)

// arrival is a request that has arrived at a backend.
type arrival struct {
	*http.Request

	id   string
	body []byte
	conn net.Conn
	// reader holds what was received on the connection beyond the request.
	reader *bufio.Reader
}

// backend is a stand-in of an application backend. It serves one request at a time on a
// connection, and any number of connections. Set its exported fields before run.
type backend struct {
	id      string
	service string
	slots   int
	address string
	// controlPlane is the node that gets the heartbeats.
	controlPlane string
	// work is how long a request takes.
	work time.Duration
	// answerSize is the size of the body of an answer, in bytes.
	answerSize int
	record     *record
	// answer, if set, answers a request that has run in place of the usual answer. It returns
	// false if it did not.
	answer func(arrival) bool

	born     time.Time
	sequence atomic.Uint64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// run serves requests and sends heartbeats until ctx ends.
func (b *backend) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.born = time.Now()
	b.conns = map[net.Conn]bool{}
	go b.report(ctx)
	go func() {
		<-ctx.Done()
		_ = listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			_ = c.Close()
		}
	}()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return nil
}

// serve serves the requests of a connection.
func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := arrival{
			Request: r,
			id:      r.Header.Get(headerAttempt),
			body:    body,
			conn:    c,
			reader:  reader,
		}
		if !b.respond(a) {
			return
		}
	}
}

// respond answers one request; false ends the connection.
func (b *backend) respond(a arrival) bool {
	target := a.Header.Get("Target-Instance")
	switch {
	case a.URL.Path == healthPath:
		return b.write(a, http.StatusOK, "Instance-Id: "+b.id+"\r\n", nil)
	case a.id == "":
		return b.write(a, http.StatusBadRequest, "Not-Executed: 1\r\n", nil)
	case target != "" && target != b.id:
		return b.write(a, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n", nil)
	}
	b.record.run(a.id, b.id)
	<-time.After(b.work)
	if b.answer != nil && b.answer(a) {
		return false
	}
	return b.write(a, http.StatusOK, headerSignature+": "+b.id+"\r\n", bodyOf(a.id, b.answerSize))
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	body := []byte(id + "\n")
	return append(body, bytes.Repeat([]byte("."), max(0, size-len(body)))...)
}

// write writes an answer; false means that it could not be written.
func (b *backend) write(a arrival, status int, fields string, body []byte) bool {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), fields)
	if a.id != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", headerAttempt, a.id)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
	_, err := a.conn.Write(append([]byte(text.String()), body...))
	return err == nil
}

// report sends heartbeats until ctx ends.
func (b *backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if b.beat(ctx) != nil {
			pause = beatRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// beat sends one heartbeat.
func (b *backend) beat(ctx context.Context) error {
	data, err := json.Marshal(map[string]any{
		"address": b.address,
		"born":    b.born.UnixMilli(),
		"info": map[string]any{
			"service": b.service,
			"version": "v1",
			"zone":    zone,
			"slots":   b.slots,
		},
		"status": map[string]any{
			"state":          "ready",
			"seq":            b.sequence.Add(1),
			"cold_remaining": "0ms",
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.controlPlane+"/api/instances/"+b.id+"/heartbeat", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", resp.StatusCode)
	}
	return nil
}
