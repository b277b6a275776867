package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	// runs holds at which backends each request has run.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		began: time.Now(),
		runs:  map[string][]string{},
	}, nil
}

// note writes one line with the time since the begin.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// run notes that a backend has begun to work on a request.
func (r *record) run(id, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], backend)
	r.noteLocked("run       %s at %s", id, backend)
}

// runsOf returns the backends at which a request has run.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
