package proxy

import (
	"sync"
	"sync/atomic"
)

const (
	// answersLimit bounds the memory of all buffered answers, in bytes. Beyond it, each
	// answer may hold no more than minAnswerBuffer.
	answersLimit = 32 << 20
	// minAnswerBuffer, in bytes, is enough to keep a stream going: two chunks as they are
	// read from the upstream.
	minAnswerBuffer = 64 << 10
	// replyOverhead is counted, in bytes, for a piece of a body beside its length, because
	// an upstream may write its answer in very small pieces.
	replyOverhead = 128
)

// answerMemory counts the bytes of the answers that a node holds: those of the local
// upstream, for reading again, and those that are being received for callers. The nil
// pointer counts nothing.
type answerMemory struct {
	// limit bounds the bytes; zero means answersLimit.
	limit int64
	held  atomic.Int64
}

// add counts bytes that are held from now on, or released if negative.
func (m *answerMemory) add(bytes int) {
	if m != nil {
		m.held.Add(int64(bytes))
	}
}

// isFull reports whether answers hold more than the limit.
func (m *answerMemory) isFull() bool {
	if m == nil {
		return false
	}
	limit := m.limit
	if limit == 0 {
		limit = answersLimit
	}
	return m.held.Load() > limit
}

// perAnswer returns the most bytes that one answer may hold now.
func (m *answerMemory) perAnswer() int {
	if m.isFull() {
		return minAnswerBuffer
	}
	return answerBufferLimit
}

// heldAnswers counts the bytes that are received for one call until it has ended.
type heldAnswers struct {
	memory *answerMemory

	mu    sync.Mutex
	bytes int
	ended bool
}

// add counts bytes. Attempts that outlast their call are not counted.
func (h *heldAnswers) add(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.bytes += bytes
		h.memory.add(bytes)
	}
}

// release ends the count.
func (h *heldAnswers) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory.add(-h.bytes)
	h.bytes, h.ended = 0, true
}
