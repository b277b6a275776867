package proxy

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// LogWriter writes log lines to an output in the background, so that a slow reader
// of that output never blocks the process. When its buffer is full, lines are
// dropped and their number is logged.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// logBacklog is the number of lines that are buffered.
const logBacklog = 2048

// NewLogWriter returns a LogWriter that writes to out until it is closed.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		lines:   make(chan []byte, logBacklog),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.pump(out)
	return w
}

// Write queues one line. It never blocks or fails.
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
			w.writeLine(out, line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(out, line)
				default:
					return
				}
			}
		}
	}
}

func (w *LogWriter) writeLine(out io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		line = append([]byte("[WARN]  node: log-lines-dropped: count="+strconv.FormatInt(dropped, 10)+"\n"), line...)
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// flushTimeout bounds Close: the process has to exit, also if nobody reads its output. It
// is a part of exitMargin.
const flushTimeout = 200 * time.Millisecond

// Close writes the buffered lines and stops the writer. Lines that can't be written within
// flushTimeout are lost.
func (w *LogWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
