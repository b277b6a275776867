package objapi

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// MaxObjectSize limits the body of a put in bytes.
const MaxObjectSize = 1 << 20

// Fault describes the faults that the platform stand-in injects.
type Fault struct {
	// Down answers every request with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every answer, in milliseconds.
	DelayMillis int `json:"delay-millis"`
	// LoseAnswers is how many of the next puts take effect but are answered with
	// status 504.
	LoseAnswers int `json:"lose-answers"`
	// LoseKind limits LoseAnswers to one kind of object.
	LoseKind cyclam.Kind `json:"lose-kind"`
}

// Stats counts requests since the start. Waiting is the number of watches now
// open, and Bytes the total size of request and response bodies.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
	Bytes   int64 `json:"bytes"`
}

// Server serves a store over HTTP.
type Server struct {
	Store *Store

	mu      sync.Mutex
	fault   Fault
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	waiting atomic.Int64
	bytes   atomic.Int64
}

// SetFault replaces the injected fault.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:   s.reads.Load(),
		Writes:  s.writes.Load(),
		Watches: s.watches.Load(),
		Waiting: s.waiting.Load(),
		Bytes:   s.bytes.Load(),
	}
}

// Handle serves one request. The paths /fault and /stats are exempt from faults
// and from the counts.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/fault":
		s.handleFault(ctx)
		return
	case "/stats":
		writeReply(ctx, s.Stats(), nil)
		return
	}
	fault := s.currentFault()
	time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	if fault.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	s.route(ctx, path)
	s.bytes.Add(int64(len(ctx.Request.Body()) + len(ctx.Response.Body())))
	if s.loseAnswer(ctx, path) {
		ctx.Response.Reset()
		ctx.Error("answer lost", fasthttp.StatusGatewayTimeout)
	}
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFault(fault)
}

// loseAnswer reports whether to drop the answer to a successful put, and counts
// LoseAnswers down if so.
func (s *Server) loseAnswer(ctx *fasthttp.RequestCtx, path string) bool {
	if !ctx.IsPut() || ctx.Response.StatusCode() != fasthttp.StatusOK {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseAnswers == 0 || !strings.Contains(path, "/"+string(s.fault.LoseKind)) {
		return false
	}
	s.fault.LoseAnswers--
	return true
}

func (s *Server) route(ctx *fasthttp.RequestCtx, path string) {
	kinds := parseKinds(ctx)
	key, isObject := parseKey(path)
	switch {
	case path == "/v1/watch":
		s.watch(ctx, kinds)
	case path == "/v1/objects":
		s.reads.Add(1)
		list, err := s.Store.List(ctx, kinds...)
		writeReply(ctx, list, err)
	case isObject && ctx.IsGet():
		s.reads.Add(1)
		object, err := s.Store.Get(ctx, key)
		writeReply(ctx, object, err)
	case isObject && ctx.IsPut():
		s.writes.Add(1)
		s.put(ctx, key)
	case isObject && ctx.IsDelete():
		s.writes.Add(1)
		revision, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("revision")), 10, 64)
		writeReply(ctx, struct{}{}, s.Store.Delete(ctx, key, cyclam.AtRevision(revision)))
	default:
		ctx.Error("no such path", fasthttp.StatusBadRequest)
	}
}

func (s *Server) watch(ctx *fasthttp.RequestCtx, kinds []cyclam.Kind) {
	from, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	wait, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	s.watches.Add(1)
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	changes, err := s.Store.Watch(ctx, cyclam.AtRevision(from), wait, kinds...)
	writeReply(ctx, changes, err)
}

func (s *Server) put(ctx *fasthttp.RequestCtx, key cyclam.Key) {
	var object cyclam.Object
	if err := json.Unmarshal(ctx.PostBody(), &object); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(ctx.PostBody()) > MaxObjectSize {
		ctx.Error("value exceeds a megabyte", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if object.Key() != key {
		ctx.Error("kind and name differ from the path", fasthttp.StatusBadRequest)
		return
	}
	stored, err := s.Store.Put(ctx, object)
	writeReply(ctx, stored, err)
}

// parseKey splits a path of the form /v1/objects/KIND/NAME.
func parseKey(path string) (cyclam.Key, bool) {
	rest, ok := strings.CutPrefix(path, "/v1/objects/")
	kind, name, hasName := strings.Cut(rest, "/")
	return cyclam.Key{
		Kind: cyclam.Kind(kind),
		Name: name,
	}, ok && hasName && kind != "" && name != ""
}

func parseKinds(ctx *fasthttp.RequestCtx) []cyclam.Kind {
	var kinds []cyclam.Kind
	for name := range strings.SplitSeq(string(ctx.QueryArgs().Peek("kinds")), ",") {
		kinds = append(kinds, cyclam.Kind(name))
	}
	return kinds
}

func writeReply(ctx *fasthttp.RequestCtx, value any, err error) {
	switch {
	case err == nil:
		data, _ := json.Marshal(value)
		ctx.SetContentType("application/json")
		ctx.SetBody(data)
	case errors.Is(err, cyclam.ErrNotFound):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case errors.Is(err, cyclam.ErrConflict):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case errors.Is(err, cyclam.ErrCompacted):
		ctx.Error(err.Error(), fasthttp.StatusGone)
	case errors.Is(err, context.Canceled):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// Serve listens on an address and returns only if listening fails.
func (s *Server) Serve(address string) error {
	server := &fasthttp.Server{
		Handler:            s.Handle,
		MaxRequestBodySize: 2 * MaxObjectSize,
	}
	return errors.Wrap(server.ListenAndServe(address), "serve platform stand-in")
}
