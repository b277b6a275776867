// Package origin sends requests to the upstream beside a node over HTTP/1.1.
//
// It keeps its own connections: an answer counts only if it is whole and is the
// answer to the request that was sent, and a connection that carried anything
// else is not used again.
package origin

import (
	"bufio"
	"bytes"
	"context"
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

// Request is one request as the upstream gets it.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request's path and query, as the caller sent them.
	Target     string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if the upstream did not tell.
	Length int64
	Meta   cyclam.AnswerMeta

	// closes is set where the connection can't carry another request.
	closes bool
}

// Sink takes an answer piece by piece; an error ends the exchange.
type Sink interface {
	Head(Head) error
	Chunk([]byte) error
}

// The errors that tell why there is no whole answer.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.New("upstream does not accept connections")
	// ErrForeign means that what came back is not this request's answer.
	ErrForeign = errors.New("answer belongs to another request")
	// ErrUnsigned means that the upstream does not vouch for the answer.
	ErrUnsigned = errors.New("success without the upstream's signature")
)

// Pool holds the connections to one upstream; set its fields before the first
// call.
type Pool struct {
	Address string
	Dialect cyclam.Dialect
	// Dial opens a connection; nil uses TCP with short keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*conn
}

const (
	// dialTimeout bounds a new connection on the same machine.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept where the upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// freshIdle is the longest pause after which a connection still carries a
	// request that must not be repeated: the upstream may have dropped it.
	freshIdle = 500 * time.Millisecond
	// chunkSize is the size of the pieces in which a body is read.
	chunkSize = 32 << 10
	// foreignLimit is how many answers to earlier requests are skipped.
	foreignLimit = 3
)

// Do sends a request and passes its answer to the sink.
func (p *Pool) Do(ctx context.Context, req Request, sink Sink) error {
	c, err := p.take(ctx, req.Idempotent)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, c.abort)
	reusable, err := p.exchange(c, req, sink)
	if !stop() || err != nil || !reusable {
		c.close()
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) exchange(c *conn, req Request, sink Sink) (bool, error) {
	sent := make(chan error, 1)
	if len(req.Body) == 0 {
		sent <- c.send(req)
	} else {
		go func() { sent <- c.send(req) }()
	}
	head, body, err := p.answer(c, req)
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
	reusable := false
	select {
	case werr := <-sent:
		reusable = werr == nil
	case <-time.After(writeGrace):
		// The answer came before the whole request was read: what is left of
		// the request must not be taken for the next one.
		c.abort()
		<-sent
	}
	keep := reusable && err == nil && !head.closes && c.reader.Buffered() == 0
	return keep, err
}

// answer reads the head of the answer to a request, past answers to others.
func (p *Pool) answer(c *conn, req Request) (Head, io.Reader, error) {
	for range foreignLimit {
		resp, err := http.ReadResponse(c.reader, &http.Request{
			Method: req.Method,
		})
		if err != nil {
			return Head{}, nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta := p.Dialect.ParseAnswer(resp.StatusCode, resp.Header)
		anonymous := meta.ID == "" && (meta.NotRun || meta.Misdirected)
		if req.ID != "" && meta.ID != req.ID && !anonymous {
			if err := skipBody(resp); err != nil {
				return Head{}, nil, err
			}
			continue
		}
		if resp.StatusCode < http.StatusMultipleChoices && req.ID != "" && !meta.Signed {
			return Head{}, nil, ErrUnsigned
		}
		c.keep = keptFor(resp.Header)
		return Head{
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
			Meta:   meta,
			closes: resp.Close || endsWithConnection(resp),
		}, resp.Body, nil
	}
	return Head{}, nil, ErrForeign
}

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// skipBody reads past an answer; one that ends with its connection leaves
// nothing to read after it.
func skipBody(resp *http.Response) error {
	if resp.Close || endsWithConnection(resp) {
		return ErrForeign
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Wrap(err, "skip answer to another request")
}

// copyBody passes a body on as it comes; only the library's io.EOF means that it
// is whole.
func copyBody(body io.Reader, length int64, sink Sink) error {
	size := int64(chunkSize)
	if length >= 0 {
		size = min(size, length+1)
	}
	buf := make([]byte, size)
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

// send writes a request.
func (c *conn) send(req Request) error {
	out := &http.Request{
		Method:        req.Method,
		Host:          req.Host,
		URL:           target(req.Target),
		Header:        req.Header,
		ContentLength: int64(len(req.Body)),
		Body:          http.NoBody,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	if _, named := out.Header["User-Agent"]; !named {
		// An empty value keeps the library from adding one of its own.
		out.Header.Set("User-Agent", "")
	}
	w := bufio.NewWriterSize(c.Conn, writeBuffer)
	if err := out.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(w.Flush(), "write request")
}

// writeGrace is how long the rest of a request may take to leave after its whole
// answer came.
const writeGrace = 20 * time.Millisecond

// writeBuffer holds most requests whole, so that they leave in one write.
const writeBuffer = 8 << 10

// target keeps the caller's path and query byte for byte.
func target(raw string) *url.URL {
	if strings.HasPrefix(raw, "//") {
		path, query, _ := strings.Cut(raw, "?")
		if plain, err := url.PathUnescape(path); err == nil {
			return &url.URL{
				Path:     plain,
				RawPath:  path,
				RawQuery: query,
			}
		}
	}
	return &url.URL{
		Opaque: raw,
	}
}
