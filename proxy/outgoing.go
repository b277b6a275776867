package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/wire"
)

const (
	// paceShare is the part of the link's rate that answers may fill; the rest is
	// for what is not counted: headers, requests, acknowledgements.
	paceShare = 0.93
	// pieceSize is the most that is sent at once of a large answer, in bytes: 16 ms
	// of a link of 8.4 Mbit/s.
	pieceSize = 16 << 10
	// largeFrom is the size from which an answer waits for its turn, in bytes: more
	// than nearly all answers that are no downloads.
	largeFrom = 24 << 10
)

// outgoing is the sending side of the machine's link.
type outgoing struct {
	mu    sync.Mutex
	state pace.State
	// promised is the bytes of accepted large answers that were not sent yet.
	promised int
}

// backlog returns how long the link needs for what was accepted.
func (o *outgoing) backlog(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Backlog(now, o.promised)
}

// promise accepts a large answer of about so many bytes that is ready after work;
// false means that it could not leave in time, and tells when there is room.
func (o *outgoing) promise(now time.Time, work time.Duration, bytes int, goal, deadline time.Time) (bool, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ok, after := o.state.Admits(now, work, bytes, o.promised, goal, deadline)
	if ok {
		o.promised += bytes
	}
	return ok, after
}

// unpromise takes bytes off what is promised: they are sent now, or will not come.
func (o *outgoing) unpromise(bytes int) {
	o.mu.Lock()
	o.promised -= bytes
	o.mu.Unlock()
}

// take counts bytes that are about to be sent and returns how long to wait first.
func (o *outgoing) take(bytes int) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, wait := o.state.Reserve(time.Now(), bytes)
	o.state = state
	return wait
}

// await counts bytes and waits for their turn; false means that the context ended.
func (o *outgoing) await(ctx context.Context, bytes int) bool {
	wait := o.take(bytes)
	return wait <= 0 || sleep(ctx, wait)
}

// pieces divides the replies of a large answer so that each part has one piece of
// its body at most.
func pieces(replies []*wire.Reply, large bool) [][]*wire.Reply {
	if !large {
		return [][]*wire.Reply{replies}
	}
	var parts [][]*wire.Reply
	var part []*wire.Reply
	for _, reply := range replies {
		chunk := reply.GetChunk()
		if chunk == nil {
			part = append(part, reply)
			continue
		}
		for ; len(chunk) > 0; chunk = chunk[min(pieceSize, len(chunk)):] {
			part = append(part, &wire.Reply{Kind: &wire.Reply_Chunk{Chunk: chunk[:min(pieceSize, len(chunk))]}})
			parts = append(parts, part)
			part = nil
		}
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}

func bodySize(replies []*wire.Reply) int {
	size := 0
	for _, reply := range replies {
		size += len(reply.GetChunk())
	}
	return size
}

// pacedWriter writes a large answer in its turn.
type pacedWriter struct {
	ctx context.Context
	out *outgoing
	to  io.Writer
	// large is set once more than a short answer was written.
	large   bool
	written int
}

// Write writes all of data or returns an error.
func (p *pacedWriter) Write(data []byte) (int, error) {
	p.large = p.large || p.written+len(data) >= largeFrom
	if !p.large {
		p.written += len(data)
		p.out.take(len(data))
		return p.to.Write(data)
	}
	done := 0
	for done < len(data) {
		piece := data[done:min(len(data), done+pieceSize)]
		if !p.out.await(p.ctx, len(piece)) {
			return done, p.ctx.Err()
		}
		n, err := p.to.Write(piece)
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}
