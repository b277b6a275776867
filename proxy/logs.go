package proxy

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// LogWriter passes lines on without ever making a writer wait: when the reader
// of the process's output is too slow, lines are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// logBacklog is how many lines wait for the reader at most.
const logBacklog = 2048

// NewLogWriter returns a writer in front of out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		lines:   make(chan []byte, logBacklog),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.pump(out)
	return w
}

// Write takes one line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *LogWriter) pump(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(out, line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					w.pass(out, line)
				default:
					return
				}
			}
		}
	}
}

func (w *LogWriter) pass(out io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		line = append([]byte("[WARN]  node: log-lines-dropped: count="+strconv.FormatInt(dropped, 10)+"\n"), line...)
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Close passes on what waits.
func (w *LogWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}
