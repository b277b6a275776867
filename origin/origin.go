// Package origin sends requests to the upstream beside a node over HTTP/1.1.
//
// It manages its own connection pool and runs for every request that a node
// forwards. An answer is accepted only if it is complete and matches the request
// that was sent; a connection that carried anything else is not reused.
package origin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Request is one request as it is sent to the upstream.
type Request struct {
	// ID is the request's id; empty if it has none, and then its answer needs no signature.
	ID     string
	Method string
	Host   string
	// Target is the request's path and query, byte for byte as the caller sent
	// them.
	Target     string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// BeforeSend, unless nil, is called once a connection is open, immediately before the
	// first byte of the request is sent. It completes the header; an error keeps the request
	// from being sent. It is called again if the request is sent on another connection.
	BeforeSend func(http.Header) error
}

// Head holds the status and the header of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not declared.
	Length int64
	Meta   cyclam.AnswerMeta
	// Skipped is how many bytes that belong to no request, or to another one, came
	// before the answer.
	Skipped int

	// closesConn is set if the connection can't be reused after this answer, endsWithConn if
	// the body ends where the connection does.
	closesConn   bool
	endsWithConn bool
}

// Sink receives an answer: the head once, then the body in chunks. An error from
// either method ends the exchange.
type Sink interface {
	Head(Head) error
	Chunk([]byte) error
}

// Errors that explain why a request has no valid answer.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrIllegible means that the request's id has arrived in bytes that are no answer.
	ErrIllegible = errors.New("illegible answer")
	// ErrTooLong means that the head of an answer, or what is skipped before an answer,
	// exceeds its bound.
	ErrTooLong = errors.New("answer exceeds the bound on its length")
	// ErrUnsigned means that an answer with a 2xx status lacks the upstream's
	// signature.
	ErrUnsigned = errors.New("success without the upstream's signature")
)

// Pool is the connection pool for one upstream; set its fields before the first
// call.
type Pool struct {
	// Address is the upstream's host:port.
	Address string
	Dialect cyclam.Dialect
	// Dial opens a connection; nil means DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*conn
}

const (
	// dialTimeout bounds the dial; the upstream is on the same machine.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// advertises no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// restTime is how long a connection should have been idle before it is reused: an
	// upstream on the same machine has delivered by then what it writes after an answer.
	restTime = 20 * time.Millisecond
	// chunkSize is the largest chunk, in bytes, in which a body is read.
	chunkSize = 32 << 10
)

// Do sends a request and passes its answer to the sink. It returns an error that
// wraps ErrNotSent if no byte of the request was sent, also that of BeforeSend if there is
// one, and otherwise the context's error if the exchange fails after the context ended.
func (p *Pool) Do(ctx context.Context, req Request, sink Sink) error {
	for alone := needsOwnConnection(req); ctx.Err() == nil; alone = true {
		c, err := p.get(ctx, alone)
		if err != nil {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		if ctx.Err() != nil {
			c.close()
			break
		}
		stop := context.AfterFunc(ctx, c.abort)
		reusable, err := p.exchange(c, req, sink)
		if stop() && err == nil && reusable && !alone {
			p.put(c)
			return nil
		}
		c.close()
		switch {
		case c.refusal != nil:
			return fmt.Errorf("%w: %w", c.refusal, ErrNotSent)
		case err == nil:
			return nil
		case c.written == 0 && c.reused && ctx.Err() == nil:
			// The upstream had closed the connection.
			continue
		case c.written == 0:
			return errors.Wrap(ErrNotSent, err.Error())
		case ctx.Err() != nil:
			return ctx.Err()
		case c.reused:
			return errors.WithMessagef(err, "connection reused after %v", c.rested)
		}
		return err
	}
	return errors.Wrap(ErrNotSent, ctx.Err().Error())
}

// needsOwnConnection reports whether a request is sent on a new connection, which is closed
// after its answer. Nothing can arrive there for another request, and the upstream can't
// have dropped it as idle; a request that must not run twice can't be sent again if either
// costs its answer. The answer to HEAD has a length but no body, so that a copy of it could
// not be skipped.
func needsOwnConnection(req Request) bool {
	return !req.Idempotent || req.Method == http.MethodHead
}

func (p *Pool) exchange(c *conn, req Request, sink Sink) (bool, error) {
	sent := make(chan error, 1)
	if len(req.Body) == 0 {
		sent <- c.send(req)
	} else {
		go func() { sent <- c.send(req) }()
	}
	head, body, err := p.readAnswer(c, req)
	if err != nil {
		c.abort()
		<-sent
		return false, err
	}
	if err := sink.Head(head); err != nil {
		c.abort()
		<-sent
		return false, err
	}
	err = copyBody(body, head.Length, sink)
	writeErr := c.endWrite(sent)
	if err == nil && head.endsWithConn {
		err = c.Broken()
	}
	keep := writeErr == nil && err == nil && !head.closesConn && c.pending() == 0
	return keep, err
}

// endWrite waits until the request has been written and returns the error of that. An upstream
// may answer before it has read the whole request, and then has writeGrace to read the rest.
// After that the connection can't be used again, so that the rest is not parsed as the next
// request.
func (c *conn) endWrite(sent <-chan error) error {
	select {
	case err := <-sent:
		return err
	case <-time.After(writeGrace):
		c.abort()
		return <-sent
	}
}

// copyBody streams a body to the sink. The body is complete only if Read returns
// io.EOF; any other error means that it is truncated.
func copyBody(body io.Reader, length int64, sink Sink) error {
	buf := make([]byte, bufferSize(length))
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := sink.Chunk(bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// bufferSize returns the size of the buffer for a body whose upstream states a length, which
// may be any number; negative if it states none. A short body and its end are read at once.
func bufferSize(length int64) int {
	if length < 0 || length >= chunkSize {
		return chunkSize
	}
	return int(length) + 1
}

// send writes a request. If no byte of it can be written, there is no answer to wait for.
func (c *conn) send(req Request) error {
	err := c.write(req)
	if err != nil && c.written == 0 {
		c.abort()
	}
	return err
}

func (c *conn) write(req Request) error {
	out := &http.Request{
		Method:        req.Method,
		Host:          req.Host,
		URL:           requestURL(req.Target),
		Header:        req.Header,
		ContentLength: int64(len(req.Body)),
		Body:          http.NoBody,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	if _, present := out.Header["User-Agent"]; !present {
		// An empty value keeps net/http from adding its own User-Agent.
		out.Header.Set("User-Agent", "")
	}
	w := bufio.NewWriterSize(c, writeBufferSize)
	if req.BeforeSend != nil {
		if c.refusal = req.BeforeSend(req.Header); c.refusal != nil {
			return c.refusal
		}
	}
	if err := out.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(w.Flush(), "write request")
}

// writeGrace is how long writing the rest of a request may take after its answer
// was received completely.
const writeGrace = 20 * time.Millisecond

// writeBufferSize, in bytes, is large enough for most requests, so that they are
// sent in one write.
const writeBufferSize = 8 << 10

// requestURL returns a URL that is written to the request line as the caller's
// path and query, byte for byte.
func requestURL(raw string) *url.URL {
	// net/http puts the scheme and a colon before an opaque URL that begins with
	// two slashes, so such a path is passed in RawPath.
	if strings.HasPrefix(raw, "//") {
		path, query, _ := strings.Cut(raw, "?")
		if unescaped, err := url.PathUnescape(path); err == nil {
			return &url.URL{
				Path:     unescaped,
				RawPath:  path,
				RawQuery: query,
			}
		}
	}
	return &url.URL{
		Opaque: raw,
	}
}
