package appsim

import (
	"io"
	"net/http"
	"strings"
)

// Flood is a way in which a backend in trouble writes bytes without end, until the caller
// closes the connection. The empty one is none.
type Flood string

// The floods.
const (
	// FloodLine is a status line without end, FloodHead a head of ever more fields.
	FloodLine Flood = "line"
	FloodHead Flood = "head"
	// FloodInterim are interim answers without end.
	FloodInterim Flood = "interim"
	// FloodForeign is an answer to another request, with a body without end.
	FloodForeign Flood = "foreign"
	// FloodBody is a signed answer with a body without end that its connection would end,
	// FloodChunks one in chunks of one byte each.
	FloodBody   Flood = "body"
	FloodChunks Flood = "chunks"
)

// floodPiece is the size, in bytes, of what is written at a time.
const floodPiece = 64 << 10

// SetFlood makes the backend answer all later requests with a flood; empty ends that.
func (b *Backend) SetFlood(flood Flood) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flood = flood
}

// start returns the first bytes of a flood and those that are repeated.
func (f Flood) start(attempt string) (first, repeated string) {
	const ok = "HTTP/1.1 200 OK\r\n"
	switch f {
	case FloodLine:
		return "HTTP/1.1 200 ", "x"
	case FloodHead:
		return ok, "X-Field: value\r\n"
	case FloodInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case FloodForeign:
		return ok + HeaderAttempt + ": other\r\n" + HeaderSignature + ": 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"
	case FloodChunks:
		return ok + HeaderAttempt + ": " + attempt + "\r\n" + HeaderSignature + ": 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"
	default:
		return ok + HeaderAttempt + ": " + attempt + "\r\n" + HeaderSignature + ": 3e1b\r\n\r\n", "x"
	}
}

// write writes the flood to the request's connection until that is closed.
func (f Flood) write(w http.ResponseWriter, attempt string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	first, repeated := f.start(attempt)
	piece := strings.Repeat(repeated, floodPiece/len(repeated))
	_, err = io.WriteString(c, first)
	for err == nil {
		_, err = io.WriteString(c, piece)
	}
}
