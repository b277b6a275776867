package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cyclamensaddle/cyclam/guard"
	"github.com/pkg/errors"
)

const (
	// answerStall is how long the writing of writePiece bytes of an answer may take.
	answerStall = 30 * time.Second
	writePiece  = 64 << 10
	// headerSlack is what a header may have beyond the limit before its reading ends, in
	// bytes: the server counts neither the request line's end nor white space.
	headerSlack = 4 << 10
)

// callerProgress is what a caller's connection does with the request that it carries.
type callerProgress struct {
	// used is set once a request has been read.
	used bool
	// at is when a byte was received or written last.
	at time.Time
	// receiving is set while the request's body is read, writing while an answer is written.
	receiving bool
	writing   bool
	// waiting is set while the node does not read, for lack of memory.
	waiting bool
	// givenUp is set once the connection is to end.
	givenUp bool
	// headBytes and fields are what the server has got of the present header, headRead is
	// set at its end.
	headBytes int
	fields    int
	headRead  bool
	// head is the memory that is reserved for the header.
	head *bodyShare
}

// client returns what the connection is used for.
func (c *callerConn) client() guard.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLocked()
}

// clientLocked does the work of client. The caller holds mu.
func (c *callerConn) clientLocked() guard.Client {
	p := c.progress
	phase := guard.PhaseServing
	switch {
	case p.givenUp, p.waiting:
	case c.state == callerIdle && !p.used:
		phase = guard.PhaseUnused
	case c.state == callerIdle:
		phase = guard.PhaseIdle
	case c.state == callerHeader, p.receiving:
		phase = guard.PhaseSending
	case p.writing:
		phase = guard.PhaseReading
	}
	return guard.Client{
		Phase: phase,
		Since: p.at,
	}
}

// ending reports whether the connection is to end once it is idle. The caller holds mu.
func (c *callerConn) ending() bool { return c.progress.givenUp || c.callers.retired.Load() }

// giveUp ends the connection: at once if its client sends a request or reads an answer, and if
// it waits between two, unless the next one has arrived. It returns false if the connection
// carries a request that is under way.
func (c *callerConn) giveUp(limit clientLimit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.clientLocked().Phase
	switch phase {
	case guard.PhaseServing:
		return false
	case guard.PhaseReading:
		c.progress.givenUp = true
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	default:
		c.progress.givenUp = true
		if !c.looking {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	c.callers.clients.note(limit, c.RemoteAddr(), phase)
	return true
}

func (c *callerConn) isGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.givenUp
}

// receive begins the reading of a body, which ends at a time at the latest.
func (c *callerConn) receive(until time.Time) (stop func() bool) {
	if c == nil {
		return func() bool { return true }
	}
	c.mu.Lock()
	c.progress.receiving, c.progress.at = true, time.Now()
	c.mu.Unlock()
	timer := time.AfterFunc(time.Until(until), func() { c.giveUp(limitBodyTime) })
	return func() bool {
		timer.Stop()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.progress.receiving = false
		return !c.progress.givenUp
	}
}

// setWaiting notes that the node stops reading for lack of memory, or goes on.
func (c *callerConn) setWaiting(waiting bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.waiting, c.progress.at = waiting, time.Now()
}

// Write writes a piece of an answer at a time, each within answerStall.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.beginWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if givenUp := c.endWrite(); err != nil {
			if !givenUp && errors.Is(err, os.ErrDeadlineExceeded) {
				c.callers.clients.note(limitAnswerStalled, c.RemoteAddr(), guard.PhaseReading)
			}
			return written, err
		}
	}
	return written, nil
}

func (c *callerConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.progress.writing, c.progress.at = true, now
	return errors.Wrap(c.SetWriteDeadline(now.Add(answerStall)), "set deadline of caller's answer")
}

func (c *callerConn) endWrite() (givenUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.writing = false
	return c.progress.givenUp
}

// admitHead counts what has been received of a header. It waits for memory if the header has
// very many fields, and refuses the request if it exceeds a limit.
func (c *callerConn) admitHead(p []byte) error {
	limits := c.callers.limits()
	c.mu.Lock()
	h := &c.progress
	if c.state != callerHeader || h.headRead {
		c.mu.Unlock()
		return nil
	}
	part, _, ended := bytes.Cut(p, []byte("\r\n\r\n"))
	h.headBytes, h.fields, h.headRead = h.headBytes+len(part), h.fields+bytes.Count(part, []byte("\n")), ended
	size, fields := h.headBytes, h.fields
	until := c.since.Add(c.limitIn(limits))
	c.mu.Unlock()
	if limits.HeaderBytes > 0 && int64(size) > limits.HeaderBytes+headerSlack {
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, limitHeaderBytes)
	}
	if !c.reserveHead(context.Background(), size, fields, until) {
		return c.refuseHead(http.StatusServiceUnavailable, limitHeads)
	}
	return nil
}

// reserveHead reserves the memory of a header, if it counts, and reports whether there was
// enough before a time.
func (c *callerConn) reserveHead(ctx context.Context, size, fields int, until time.Time) bool {
	need := guard.HeadMemory(size, fields)
	if c == nil || need == 0 || c.callers.heads == nil {
		return true
	}
	c.mu.Lock()
	share := c.progress.head
	if share == nil {
		share = &bodyShare{
			memory: c.callers.heads,
			conn:   c,
		}
		c.progress.head = share
	}
	c.mu.Unlock()
	return need <= share.bytes || share.awaitGrowth(ctx, need-share.bytes, until)
}

// releaseHead releases the memory of the header.
func (c *callerConn) releaseHead() {
	c.mu.Lock()
	share := c.progress.head
	c.progress.head, c.progress.headBytes, c.progress.fields, c.progress.headRead = nil, 0, 0, false
	c.mu.Unlock()
	share.release()
}

// refuseHead answers a request whose header is not read to its end, and ends the connection.
func (c *callerConn) refuseHead(status int, limit clientLimit) error {
	c.callers.clients.note(limit, c.RemoteAddr(), guard.PhaseSending)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + formatSeconds(bodyRetryAfter) + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	return io.EOF
}

// acceptWithin accepts a connection that there is room for.
func (s *callerConns) acceptWithin() (net.Conn, error) {
	for {
		raw, err := s.Listener.Accept()
		if err != nil || s.makeRoom() {
			return raw, err
		}
		s.clients.note(limitConnections, raw.RemoteAddr(), guard.PhaseUnused)
		_ = raw.Close()
	}
}

// roomShare is the fraction of the connections that are given up at a time, and by which their
// number may exceed the limit meanwhile.
const roomShare = 16

// makeRoom gives up connections if as many are open as may be. It returns false if there is no
// room for another one.
func (s *callerConns) makeRoom() bool {
	if s.most <= 0 || s.count() < s.most {
		return true
	}
	some := max(1, s.most/roomShare)
	for until := time.Now().Add(roomWait); ; <-time.After(roomPause) {
		if staying := s.staying(); staying >= s.most {
			s.giveUp(staying-s.most+some, limitConnections, func(guard.Client) bool { return true })
		}
		switch {
		case s.count() < s.most+some:
			return true
		case time.Now().After(until):
			return false
		}
	}
}

// staying returns how many open connections have not been given up.
func (s *callerConns) staying() int {
	staying := 0
	for _, c := range s.open() {
		if !c.isGivenUp() {
			staying++
		}
	}
	return staying
}

// giveUp gives up some of the connections for which may holds.
func (s *callerConns) giveUp(some int, limit clientLimit, may func(guard.Client) bool) {
	now := time.Now()
	var conns []*callerConn
	var clients []guard.Client
	for _, c := range s.open() {
		if client := c.client(); may(client) {
			conns, clients = append(conns, c), append(clients, client)
		}
	}
	for _, i := range guard.Order(clients, now) {
		if some == 0 {
			return
		}
		if conns[i].giveUp(limit) {
			some--
		}
	}
}

// giveUpStalled gives up clients that hold memory and make no progress, until as much is free
// as is needed.
func (m *bodyMemory) giveUpStalled(need int64) {
	m.mu.Lock()
	shares := make([]*bodyShare, 0, len(m.clients))
	for s := range m.clients {
		shares = append(shares, s)
	}
	m.mu.Unlock()
	now := time.Now()
	clients := make([]guard.Client, 0, len(shares))
	for _, s := range shares {
		clients = append(clients, s.conn.client())
	}
	for _, i := range guard.Order(clients, now) {
		if need <= 0 {
			return
		}
		if clients[i].Stalled(now) && shares[i].conn.giveUp(m.name) {
			need -= shares[i].size()
		}
	}
}

// size returns the memory that is reserved, in bytes.
func (s *bodyShare) size() int64 {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.bytes
}

// relieveAnswers gives up callers that don't read their answers while answers hold more memory
// than they may.
func (n *Node) relieveAnswers(now time.Time) {
	if n.answers.isFull() {
		n.callers.giveUp(max(1, n.callers.count()/roomShare), limitAnswers, func(c guard.Client) bool {
			return c.Phase == guard.PhaseReading && c.Stalled(now)
		})
	}
}

// prepareLimits sets the limits on clients.
func (n *Node) prepareLimits() {
	if n.Clients == nil {
		n.Clients = &ClientLog{
			Log:     n.Log,
			Metrics: n.Metrics,
		}
	}
	n.clientLimits = guard.LimitsOf(n.Settings.MemoryLimit, n.Settings.Descriptors)
	n.bodies.name, n.smallBodies.name, n.heads.name = limitBodies, limitBodies, limitHeads
	if n.Settings.MemoryLimit > 0 {
		n.bodies.limit, n.smallBodies.limit = n.clientLimits.Bodies, n.clientLimits.SmallBodies
		n.heads.limit, n.answers.limit = n.clientLimits.Heads, n.clientLimits.Answers
	}
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection on which a request has arrived, or nil.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
