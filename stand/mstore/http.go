package mstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// EraHeader holds the era in all answers; it rises by one with each Restore.
	EraHeader = "Store-Era"
	// maxWait is the longest time that a watch waits.
	maxWait = 30 * time.Second
	// valueBytes is the largest size of an object's spec and status.
	valueBytes = 1 << 20
)

// page is one page of a list; Revision is that of the whole store.
type page struct {
	Items    []Object `json:"items"`
	HasMore  bool     `json:"has_more"`
	Revision uint64   `json:"store_revision"`
}

// changes is the result of a watch; Revision is where the next one starts.
type changes struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"store_revision"`
}

// answer is an answer with the era at which it was made.
type answer struct {
	status int
	era    uint64
	body   any
}

// ServeHTTP serves a call of a client without a name.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, "") }

// Handler returns a handler for the calls of one client, for SetClientFault.
func (s *Server) Handler(client string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, client) })
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, client string) {
	// The server notices that a client has left only after the body has been read.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*valueBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	name, part, _ := strings.Cut(rest, "/")
	key := objectKey{
		kind: kind,
		name: name,
	}
	s.mu.Lock()
	s.countCall(r)
	fault, era := s.faultOf(client), s.era
	s.mu.Unlock()
	if fault.refuses() {
		fault.refuse(w, r, era)
		return
	}
	var a answer
	switch {
	case kind == "":
		a = answer{
			status: http.StatusNotFound,
			era:    era,
		}
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		a = s.watch(r, client, kind)
	case r.Method == http.MethodGet:
		a = s.read(key, r.URL.Query().Get("after"))
	default:
		a = s.write(r, client, key, part, data)
	}
	fault.hold(r.Context())
	fault.writeAnswer(w, a)
}

// countCall counts a call. The caller holds mu.
func (s *Server) countCall(r *http.Request) {
	if r.Method == http.MethodGet {
		s.calls.Reads++
	} else {
		s.calls.Writes++
	}
}

func (s *Server) read(key objectKey, after string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{
		status: http.StatusOK,
		era:    s.era,
	}
	if key.name == "" {
		count := s.PageSize
		if count == 0 {
			count = defaultPageSize
		}
		items, more := s.state.list(key.kind, after, count)
		a.body = page{
			Items:    items,
			HasMore:  more,
			Revision: s.state.revision,
		}
		return a
	}
	object, ok := s.state.objects[key]
	if !ok {
		a.status = http.StatusNotFound
		return a
	}
	a.body = object
	return a
}

func (s *Server) write(r *http.Request, client string, key objectKey, part string, data []byte) answer {
	var object Object
	var err error
	if len(data) > 0 {
		err = json.Unmarshal(data, &object)
	}
	revision := object.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" && err == nil {
		revision, err = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		key.name = object.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{
		era: s.era,
	}
	switch {
	case err != nil, key.name == "", r.Method != http.MethodPost && r.Method != http.MethodPut && r.Method != http.MethodDelete:
		a.status = http.StatusBadRequest
		return a
	case len(object.Spec)+len(object.Status) > valueBytes:
		a.status = http.StatusRequestEntityTooLarge
		return a
	}
	next, status, stored := s.state.apply(write{
		method:   r.Method,
		key:      key,
		status:   part == "status",
		object:   object,
		revision: revision,
	})
	a.status = status
	if status != http.StatusNotFound {
		a.body = stored
	}
	if next.revision != s.state.revision {
		s.setState(next)
	}
	if status == http.StatusOK && s.takeLostAnswer(client) {
		panic(http.ErrAbortHandler)
	}
	return a
}

func (s *Server) addWaiting(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Waiting += count
}

// watch waits for a change of a kind. It is cut when the client meets a fault and when
// the store is restored.
func (s *Server) watch(r *http.Request, client, kind string) answer {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, maxWait))
	defer timer.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	var first uint64
	for ended := false; ; {
		s.mu.Lock()
		state, era, fault, changed := s.state, s.era, s.faultOf(client), s.changed
		s.mu.Unlock()
		if first == 0 {
			first = era
		}
		if fault.refuses() || era != first {
			panic(http.ErrAbortHandler)
		}
		a := answer{
			status: http.StatusOK,
			era:    era,
		}
		switch found := state.since(kind, from); {
		case err != nil:
			a.status = http.StatusBadRequest
			return a
		case !state.holds(from):
			a.status = http.StatusGone
			return a
		case len(found) > 0, ended:
			a.body = changes{
				Events:   found,
				Revision: state.revision,
			}
			return a
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
