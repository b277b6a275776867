package proxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/wire"
)

const (
	// paceShare is the fraction of the link's rate available to answers and to requests
	// to other nodes. The rest is left for traffic that is not counted: headers,
	// acknowledgements and calls to the platform.
	paceShare = 0.93
	// chunkSize is the most bytes of a large answer sent at once: 16 ms on a link of
	// 8.4 Mbit/s.
	chunkSize = 16 << 10
	// largeAnswerBytes is the size from which an answer is paced. Nearly all answers
	// other than downloads are smaller.
	largeAnswerBytes = 24 << 10
	// bulkBytes is the size from which a request's body waits for its turn on the link, so
	// that revocations and other small messages don't wait behind it.
	bulkBytes = 1 << 10
)

// linkPacer limits the rate at which answers are sent on the machine's link.
type linkPacer struct {
	mu    sync.Mutex
	state pace.State
	// committed is the bytes of accepted large answers that are not sent yet.
	committed int
	// prepaid is the bytes that are reserved and will be written to other nodes.
	prepaid int
}

// backlog returns how long the link needs to send what has been accepted.
func (p *linkPacer) backlog(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Backlog(now, p.committed)
}

// commit accepts a large answer of about bytes that is ready after work. If it can't
// be sent in time, commit returns false and the delay until there is capacity.
func (p *linkPacer) commit(now time.Time, work time.Duration, bytes int, goal, deadline time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, after := p.state.Admits(now, work, bytes, p.committed, goal, deadline)
	if ok {
		p.committed += bytes
	}
	return ok, after
}

// uncommit removes bytes from the committed total, because they are sent now or
// will never be sent.
func (p *linkPacer) uncommit(bytes int) {
	p.mu.Lock()
	p.committed -= bytes
	p.mu.Unlock()
}

// reserve counts bytes about to be sent and returns how long to wait before sending.
func (p *linkPacer) reserve(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, wait := p.state.Reserve(time.Now(), bytes)
	p.state = state
	return wait
}

// forgive gives up what is prepaid and will not be written.
func (p *linkPacer) forgive(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepaid = max(0, p.prepaid-bytes)
}

// expirePrepaid gives up what should have been written by now: it was counted as sent, and
// later bytes have to be counted themselves. The caller holds mu.
func (p *linkPacer) expirePrepaid(now time.Time) {
	if p.state.Backlog(now, 0) == 0 {
		p.prepaid = 0
	}
}

// prepayBy is like prepay for bytes that are of use only before a deadline. It returns false
// and counts nothing if they can't be written by then.
func (p *linkPacer) prepayBy(bytes int, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expirePrepaid(now)
	state, wait := p.state.Reserve(now, bytes)
	if wait > 0 && !now.Add(wait).Before(deadline) {
		return wait, false
	}
	p.state = state
	p.prepaid += bytes
	return wait, true
}

// prepay counts bytes that will be written to another node and returns how long to wait
// before that.
func (p *linkPacer) prepay(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expirePrepaid(now)
	state, wait := p.state.Reserve(now, bytes)
	p.state = state
	p.prepaid += bytes
	return wait
}

// countWritten counts bytes that are written to another node, unless they are prepaid.
func (p *linkPacer) countWritten(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expirePrepaid(now)
	used := min(p.prepaid, bytes)
	p.prepaid -= used
	p.state, _ = p.state.Reserve(now, bytes-used)
}

// waitTurn reserves bytes and blocks until they may be sent; false means that ctx ended.
func (p *linkPacer) waitTurn(ctx context.Context, bytes int) bool {
	wait := p.reserve(bytes)
	return wait <= 0 || sleep(ctx, wait)
}

// pacedConn counts what is written to another node on the pacer, so that what waits for its
// turn leaves room for it on the link. It does not delay the writes.
type pacedConn struct {
	net.Conn

	pacer *linkPacer
	// onRead is called with the number of bytes that have been received.
	onRead func(bytes int)
}

// Read reads what has arrived.
func (c *pacedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.onRead(n)
	}
	return n, err
}

// Write writes data at once.
func (c *pacedConn) Write(data []byte) (int, error) {
	c.pacer.countWritten(len(data))
	return c.Conn.Write(data)
}

// pacedListener accepts connections from other nodes.
type pacedListener struct {
	net.Listener

	pacer *linkPacer
	// onRead is called with the number of bytes that have been received on any connection.
	onRead func(bytes int)
}

// Accept waits for the next connection.
func (l *pacedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pacedConn{
		Conn:   conn,
		pacer:  l.pacer,
		onRead: l.onRead,
	}, nil
}

// splitChunks divides the replies of a large answer into messages that carry at
// most chunkSize bytes of the body each.
func splitChunks(replies []*wire.Reply, large bool) [][]*wire.Reply {
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
		for ; len(chunk) > 0; chunk = chunk[min(chunkSize, len(chunk)):] {
			part = append(part, &wire.Reply{Kind: &wire.Reply_Chunk{Chunk: chunk[:min(chunkSize, len(chunk))]}})
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

// pacedWriter writes an answer to dst at the rate of its pacer.
type pacedWriter struct {
	ctx   context.Context
	pacer *linkPacer
	dst   io.Writer
	// large is set once at least largeAnswerBytes were written. Until then, writes are
	// counted but not delayed.
	large   bool
	written int
}

// Write writes all of data unless the context ends or dst fails.
func (p *pacedWriter) Write(data []byte) (int, error) {
	p.large = p.large || p.written+len(data) >= largeAnswerBytes
	if !p.large {
		p.written += len(data)
		p.pacer.reserve(len(data))
		return p.dst.Write(data)
	}
	done := 0
	for done < len(data) {
		piece := data[done:min(len(data), done+chunkSize)]
		if !p.pacer.waitTurn(p.ctx, len(piece)) {
			return done, p.ctx.Err()
		}
		n, err := p.dst.Write(piece)
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}
