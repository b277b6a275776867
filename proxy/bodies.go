package proxy

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/guard"
	"github.com/pkg/errors"
)

const (
	// bodiesShare is the fraction of the process's memory limit that request bodies may hold.
	bodiesShare = guard.BodiesShare
	// receivedCopies is how often a body is held that another node sends in one message: as it
	// arrives, in one piece, and decoded. Once it is decoded one copy is left.
	receivedCopies = 3
	// bodyWaitShare is the fraction of a caller's time for which its body waits for memory.
	bodyWaitShare = 0.25
	// firstBodyBytes is the memory for a body of unknown length to begin with, in bytes.
	firstBodyBytes = 16 << 10
	// mostPrepaidBytes is the longest body for which memory is taken before any of it has
	// arrived, in bytes. A caller may state any length.
	mostPrepaidBytes = 64 << 20
	// announcedBytes is the size from which on a body is announced to the node that gets it,
	// in bytes. Smaller ones are bounded by how many requests a node takes.
	announcedBytes = 64 << 10
	// bodyRetryAfter is when a request that found no memory may be sent again.
	bodyRetryAfter = 200 * time.Millisecond
)

// bodyMemory bounds the memory of the request bodies that a node holds. One body may always
// be held, whatever its size.
type bodyMemory struct {
	// limit is the most bytes that may be held; zero means no limit.
	limit int64

	mu   sync.Mutex
	held int64
	// unswept is the memory that has been released since the garbage collector was run last.
	unswept int64
	// holders is the number of shares that hold memory, and open are those of bodies that may
	// still grow. growing are those that wait for more, the oldest first.
	holders int
	open    map[*bodyShare]struct{}
	growing []*bodyShare
	// released is closed and replaced when memory is released.
	released chan struct{}
	// clients holds the shares of callers' connections, which may be given up.
	clients map[*bodyShare]struct{}
	// name is the limit for which they are.
	name clientLimit
}

// reserve reserves memory for a body and returns its share, or nil if there is not enough.
func (m *bodyMemory) reserve(bytes int64) *bodyShare {
	s := &bodyShare{
		memory: m,
	}
	if !s.grow(bytes) {
		return nil
	}
	return s
}

// await reserves memory as soon as there is enough. It returns nil if that is not before the
// time, or before ctx ends.
func (m *bodyMemory) await(ctx context.Context, conn *callerConn, order uint64, bytes int64, until time.Time) *bodyShare {
	s := &bodyShare{
		memory: m,
		conn:   conn,
		order:  order,
	}
	if !s.awaitGrowth(ctx, bytes, until) {
		return nil
	}
	return s
}

// bodyShare is the memory that is reserved for one body. The nil share holds nothing.
type bodyShare struct {
	memory *bodyMemory
	// conn is the caller's connection for which it is reserved; nil if there is none.
	conn *callerConn
	// order is that of the bodies' begin, zero for those that don't wait for each other.
	order uint64
	bytes int64
}

// grow reserves more memory and reports whether there was enough.
func (s *bodyShare) grow(bytes int64) bool {
	m := s.memory
	m.collect(bytes)
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.held - s.bytes
	if m.limit > 0 && others > 0 && (bytes > m.limit-m.held || !m.mayGrow(s, bytes)) {
		return false
	}
	if s.bytes == 0 && bytes > 0 {
		m.holders++
	}
	m.held += bytes
	s.bytes += bytes
	if s.conn != nil {
		if m.clients == nil {
			m.clients = map[*bodyShare]struct{}{}
		}
		m.clients[s] = struct{}{}
	}
	return true
}

// stalledPause is the pause between two looks for clients that hold memory and make no
// progress.
const stalledPause = 50 * time.Millisecond

// The garbage collector is run for at least minSwept bytes and the fraction sweptShare of the
// limit.
const (
	minSwept   = 1 << 20
	sweptShare = 0.25
)

// collect runs the garbage collector if some bytes don't fit in beside what has been released.
// Otherwise a large body would be read while the last one still takes its memory.
func (m *bodyMemory) collect(bytes int64) {
	m.mu.Lock()
	due := m.limit > 0 && m.held+m.unswept+bytes > m.limit && m.unswept >= max(minSwept, int64(sweptShare*float64(m.limit)))
	if due {
		m.unswept = 0
	}
	m.mu.Unlock()
	if due {
		runtime.GC()
	}
}

// awaitGrowth is grow, but waits until there is enough memory. Meanwhile it gives up clients
// that hold memory and make no progress.
func (s *bodyShare) awaitGrowth(ctx context.Context, bytes int64, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if s.grow(bytes) {
		return true
	}
	s.conn.setWaiting(true)
	defer s.conn.setWaiting(false)
	s.memory.beginWait(s)
	defer s.memory.endWait(s)
	for {
		released := s.memory.nextRelease()
		if s.grow(bytes) {
			return true
		}
		if s.memory.refuseYoungest(s) {
			return false
		}
		s.memory.giveUpStalled(bytes)
		select {
		case <-released:
		case <-time.After(stalledPause):
		case <-ctx.Done():
			return false
		}
	}
}

// nextRelease returns a channel that is closed when memory is released next.
func (m *bodyMemory) nextRelease() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released == nil {
		m.released = make(chan struct{})
	}
	return m.released
}

// shrink releases all but some bytes.
func (s *bodyShare) shrink(to int64) {
	if s == nil {
		return
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.bytes <= to {
		return
	}
	m.held -= s.bytes - to
	m.unswept += s.bytes - to
	s.bytes = to
	if to == 0 {
		m.holders--
		delete(m.clients, s)
		delete(m.open, s)
	}
	m.signalLocked()
}

// release releases all.
func (s *bodyShare) release() { s.shrink(0) }

// errNoBodyMemory means that a body was not read for lack of memory.
var errNoBodyMemory = errors.New("no memory for the request's body in time")

// readAll reads a body of length bytes, or of unknown length if that is negative, as memory
// for it becomes available until a time.
// It reads at most limit bytes and one more; zero is no limit. A body that is longer than
// mostPrepaidBytes takes memory as it arrives, like one of unknown length.
func (n *Node) readAll(ctx context.Context, conn *callerConn, r io.Reader, length, limit int64, until time.Time) ([]byte, *bodyShare, error) {
	size, prepaid := length, length >= 0 && length <= mostPrepaidBytes
	if !prepaid {
		size = firstBodyBytes
	}
	share := n.memoryFor(size).await(ctx, conn, n.bodySeq.Add(1), size, until)
	if share == nil {
		return nil, nil, errNoBodyMemory
	}
	if prepaid {
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			share.release()
			return nil, nil, err
		}
		return body, share, nil
	}
	return n.readOpen(ctx, share, r, limit, until)
}

// readOpen reads a body of unknown length, beginning with the memory of a share.
func (n *Node) readOpen(ctx context.Context, share *bodyShare, r io.Reader, limit int64, until time.Time) ([]byte, *bodyShare, error) {
	size := int64(firstBodyBytes)
	body := make([]byte, 0, size)
	for {
		share.setOpen(true)
		var err error
		body, err = fill(r, body)
		if errors.Is(err, io.EOF) {
			share.setOpen(false)
			return body, share, nil
		}
		// A body that ends where its memory does needs no more.
		var next [1]byte
		if err == nil {
			_, err = io.ReadFull(r, next[:])
		}
		switch {
		case errors.Is(err, io.EOF):
			share.setOpen(false)
			return body, share, nil
		case err != nil:
			share.release()
			return nil, nil, err
		}
		size *= 2
		if limit > 0 && limit < size {
			size = limit + 1
		}
		larger := n.enlarge(ctx, share, size, until)
		if larger == nil {
			share.release()
			return nil, nil, errNoBodyMemory
		}
		body = append(append(make([]byte, 0, size), body...), next[0])
		if larger != share {
			share.release()
		}
		larger.shrink(size)
		share = larger
	}
}

// fill reads until the capacity of a body is used. It returns io.EOF if the body ends before
// that, and io.ErrUnexpectedEOF if it breaks off.
func fill(r io.Reader, body []byte) ([]byte, error) {
	for len(body) < cap(body) {
		read, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// enlarge reserves memory for a body that has outgrown its share, beside that, and returns the
// share to use from now on; nil if there is not enough memory in time.
func (n *Node) enlarge(ctx context.Context, share *bodyShare, size int64, until time.Time) *bodyShare {
	memory := n.memoryFor(size)
	if memory != share.memory {
		return memory.await(ctx, share.conn, share.order, size, until)
	}
	if !share.awaitGrowth(ctx, size, until) {
		return nil
	}
	return share
}

// memoryFor returns the memory for a body of a size. Small ones have memory of their own, so
// that large ones don't keep them waiting.
func (n *Node) memoryFor(size int64) *bodyMemory {
	if guard.IsSmallBody(size) {
		return &n.smallBodies
	}
	return &n.bodies
}

// readBody reads a request's body. On an error it returns the HTTP status to answer with;
// status 0 means that the caller closed the connection. The share is that of the body's
// memory.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limits cyclam.Limits, until time.Time) ([]byte, *bodyShare, int, error) {
	if limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		return nil, nil, http.StatusRequestHeaderFieldsTooLarge, errors.New("request header exceeds the limit")
	}
	if r.ContentLength == 0 {
		return nil, nil, 0, nil
	}
	reader, limit := r.Body, limits.BodyBytes
	if limit <= 0 {
		// No node could hold more.
		limit = n.Settings.MemoryLimit
	}
	if limit > 0 {
		if r.ContentLength > limit {
			return nil, nil, http.StatusRequestEntityTooLarge, errors.Errorf("request body exceeds the limit: got %d bytes, want at most %d", r.ContentLength, limit)
		}
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, share, err := n.readAll(r.Context(), callerConnOf(r.Context()), reader, r.ContentLength, limit, until)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errNoBodyMemory):
		return nil, nil, http.StatusServiceUnavailable, err
	}
	return body, share, 0, err
}
