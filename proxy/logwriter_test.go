package proxy

import (
	"io"
	"strings"
	"testing"
	"time"
)

// When the reader of the process's output stops reading, log writes must not block,
// and the number of dropped lines must be logged once it reads again.
func TestBlockedOutput(t *testing.T) {
	r, out := io.Pipe()
	w := NewLogWriter(out)
	done := make(chan struct{})
	const lines = 3 * logBacklog
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on a reader that does not read")
	}
	read := make(chan string)
	go func() {
		data, _ := io.ReadAll(r)
		read <- string(data)
	}()
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	_ = out.Close()
	text := <-read
	if !strings.Contains(text, "log-lines-dropped: count=") {
		t.Error("got no count of dropped lines")
	}
	if got, most := strings.Count(text, "line\n"), lines; got == 0 || got >= most {
		t.Errorf("lines: got %d, want some and fewer than %d", got, most)
	}
}

// Close must end though nobody reads the output: a process that waits for its reader is
// killed with what it has left to do.
func TestCloseOfBlockedOutput(t *testing.T) {
	r, out := io.Pipe()
	defer r.Close()
	w := NewLogWriter(out)
	_, _ = w.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		w.Close()
	}()
	select {
	case <-closed:
	case <-time.After(exitMargin):
		t.Errorf("Close has not ended after %v", exitMargin)
	}
}
