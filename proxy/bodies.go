package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

const (
	// bodiesShare is the fraction of the process's memory limit that request bodies may hold.
	bodiesShare = 0.5
	// sentCopies is how often a caller's body is held at most: as it was read, and encoded for
	// another node. receivedCopies is that of a body from another node: as it arrives, in one
	// piece, and decoded. Once it is decoded one copy is left.
	sentCopies     = 2
	receivedCopies = 3
	// bodyWaitShare is the fraction of a caller's time for which its body waits for memory.
	bodyWaitShare = 0.25
	// firstBodyBytes is the memory for a body of unknown length to begin with, in bytes.
	firstBodyBytes = 16 << 10
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
	// released is closed and replaced when memory is released.
	released chan struct{}
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
func (m *bodyMemory) await(ctx context.Context, bytes int64, until time.Time) *bodyShare {
	s := &bodyShare{
		memory: m,
	}
	if !s.awaitGrowth(ctx, bytes, until) {
		return nil
	}
	return s
}

// bodyShare is the memory that is reserved for one body. The nil share holds nothing.
type bodyShare struct {
	memory *bodyMemory
	bytes  int64
}

// grow reserves more memory and reports whether there was enough.
func (s *bodyShare) grow(bytes int64) bool {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.held - s.bytes
	if m.limit > 0 && others > 0 && m.held+bytes > m.limit {
		return false
	}
	m.held += bytes
	s.bytes += bytes
	return true
}

// awaitGrowth is grow, but waits until there is enough memory.
func (s *bodyShare) awaitGrowth(ctx context.Context, bytes int64, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		released := s.memory.nextRelease()
		if s.grow(bytes) {
			return true
		}
		select {
		case <-released:
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
	s.bytes = to
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}

// release releases all.
func (s *bodyShare) release() { s.shrink(0) }

// errNoBodyMemory means that a body was not read for lack of memory.
var errNoBodyMemory = errors.New("no memory for the request's body in time")

// readAll reads a body of length bytes, or of unknown length if that is negative, as memory
// for it becomes available until a time.
func (m *bodyMemory) readAll(ctx context.Context, r io.Reader, length int64, until time.Time) ([]byte, *bodyShare, error) {
	size := length
	if size < 0 {
		size = firstBodyBytes
	}
	share := m.await(ctx, sentCopies*size, until)
	if share == nil {
		return nil, nil, errNoBodyMemory
	}
	body, err := share.read(ctx, r, size, length, until)
	if err != nil {
		share.release()
		return nil, nil, err
	}
	return body, share, nil
}

// read reads a body into memory for size bytes, and more if its length is not known.
func (s *bodyShare) read(ctx context.Context, r io.Reader, size, length int64, until time.Time) ([]byte, error) {
	body := make([]byte, 0, size)
	for {
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return body, nil
		case err != nil:
			return nil, err
		case length >= 0:
			return body, nil
		}
		// The body fills its memory. Twice as much is enough while it is copied, too.
		if !s.awaitGrowth(ctx, sentCopies*int64(cap(body)), until) {
			return nil, errNoBodyMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
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
	reader := r.Body
	if limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			return nil, nil, http.StatusRequestEntityTooLarge, errors.Errorf("request body exceeds the limit: got %d bytes, want at most %d", r.ContentLength, limits.BodyBytes)
		}
		reader = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	body, share, err := n.bodies.readAll(r.Context(), reader, r.ContentLength, until)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errNoBodyMemory):
		return nil, nil, http.StatusServiceUnavailable, err
	}
	return body, share, 0, err
}

// bodyBytesKey is the metadata of an offer that announces the size of its body.
const bodyBytesKey = "body-bytes"

// withBodySize announces the size of an offer's body to the node that gets it.
func withBodySize(ctx context.Context, o *wire.Offer) context.Context {
	if len(o.Body) < announcedBytes {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, bodyBytesKey, strconv.Itoa(len(o.Body)))
}

// announcedBody returns the size of the body that an offer announces; zero if none.
func announcedBody(ctx context.Context) int64 {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(bodyBytesKey) {
		if size, err := strconv.ParseInt(text, 10, 64); err == nil && size > 0 && size <= maxMessageSize {
			return size
		}
	}
	return 0
}

// offerStream is a stream on which an offer with a large body arrives.
type offerStream struct {
	grpc.ServerStream

	size  int64
	share *bodyShare
	// kept is set once a job releases the share.
	kept bool
}

// RecvMsg receives the offer.
func (s *offerStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	s.share.shrink(s.size)
	return err
}

type offerStreamKey struct{}

// Context returns the stream's context, in which keepBody finds the stream.
func (s *offerStream) Context() context.Context {
	return context.WithValue(s.ServerStream.Context(), offerStreamKey{}, s)
}

// keepBody lets a job release the memory of the body that has arrived on a stream, once it
// has ended.
func keepBody(ctx context.Context, j *job) {
	if s, ok := ctx.Value(offerStreamKey{}).(*offerStream); ok {
		s.kept = j.keepBody(s.share)
	}
}

// boundBodies refuses offers whose bodies would exceed the node's memory before they are
// read.
func (n *Node) boundBodies(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	size := announcedBody(stream.Context())
	if size == 0 {
		return handler(server, stream)
	}
	share := n.bodies.reserve(receivedCopies * size)
	if share == nil {
		n.meters.countRefusal(cyclam.ReasonOverloaded)
		n.Log.Info("body-refused", "bytes", size, "retry-after", bodyRetryAfter)
		// The offer may be addressed to another node, so that this one's load is left out.
		return stream.SendMsg(&wire.Replies{
			Replies: []*wire.Reply{declined(cyclam.ReasonOverloaded, bodyRetryAfter)},
		})
	}
	s := &offerStream{
		ServerStream: stream,
		size:         size,
		share:        share,
	}
	defer func() {
		if !s.kept {
			share.release()
		}
	}()
	return handler(server, s)
}

// serve sends an offer over a connection. An error means that it could not be sent; a node
// that refuses it before it has been sent whole says so in its reply.
func serve(ctx context.Context, conn grpc.ClientConnInterface, o *wire.Offer) (grpc.ServerStreamingClient[wire.Replies], error) {
	stream, err := conn.NewStream(withBodySize(ctx, o), &wire.Door_ServiceDesc.Streams[0], wire.Door_Serve_FullMethodName, grpc.StaticMethod())
	if err != nil {
		return nil, err
	}
	if err := stream.SendMsg(o); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	return &grpc.GenericClientStream[wire.Offer, wire.Replies]{
		ClientStream: stream,
	}, nil
}
