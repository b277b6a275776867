// Package mstore is a stand-in for the hosting platform's metadata store: an in-memory
// store with its HTTP interface, with injected faults, and with a restore from an older
// copy of itself. Tests run it in place of the platform's store.
//
// It uses the platform's names. The stand-in for the project's own object API is in
// package objapi.
package mstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// defaultPageSize is the largest number of objects on a page of a list.
	defaultPageSize = 500
	// copyRetention is the age of the oldest copy that Restore can use.
	copyRetention = 2 * time.Minute
)

// Server serves a store over HTTP. Set its exported fields before the first call.
type Server struct {
	// PageSize is the largest number of objects on a page; zero means 500.
	PageSize int

	mu    sync.Mutex
	state state
	era   uint64
	// copies holds the past states with the time at which each came into force, the
	// current one last.
	copies []datedState
	fault  Fault
	// clientFaults holds further faults by client.
	clientFaults map[string]Fault
	// changed is closed and replaced at every change, fault and restore, to wake the
	// watches.
	changed chan struct{}
	calls   Calls
}

type datedState struct {
	at    time.Time
	state state
}

// Calls counts the calls that clients have made, including those that met a fault.
type Calls struct {
	Reads  int
	Writes int
	// Waiting is the number of watches that wait now.
	Waiting int
}

// NewServer returns an empty store in its first era.
func NewServer() *Server {
	first := state{
		revision: 1,
		objects:  map[objectKey]Object{},
	}
	return &Server{
		era:     1,
		state:   first,
		changed: make(chan struct{}),
		copies: []datedState{
			{
				at:    time.Now(),
				state: first,
			},
		},
		clientFaults: map[string]Fault{},
	}
}

// Put writes an object's spec without a condition and unaffected by faults, as the
// platform's operator does, and returns the object.
func (s *Server) Put(kind, name string, spec json.RawMessage) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{
		kind: kind,
		name: name,
	}
	method := http.MethodPut
	if _, exists := s.state.objects[key]; !exists {
		method = http.MethodPost
	}
	next, _, object := s.state.apply(write{
		method: method,
		key:    key,
		object: Object{
			Spec: spec,
		},
	})
	s.setState(next)
	return object
}

// Objects returns the objects of a kind by name, unaffected by faults.
func (s *Server) Objects(kind string) map[string]Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]Object{}
	for key, o := range s.state.objects {
		if key.kind == kind {
			found[key.name] = o
		}
	}
	return found
}

// Position returns the era and the revision of the store.
func (s *Server) Position() (era, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.state.revision
}

// Calls returns the number of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history up to a revision.
func (s *Server) Compact(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(s.state.withCompaction(revision))
}

// Copy is the content of the store at one moment.
type Copy struct {
	state state
}

// Copy returns a copy of the present content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		state: s.state,
	}
}

// Restore replaces the content by the copy that is age old, or by the oldest one, as
// RestoreCopy does.
func (s *Server) Restore(age time.Duration) {
	at := time.Now().Add(-age)
	s.mu.Lock()
	source := s.copies[0].state
	for _, c := range s.copies {
		if !c.at.After(at) {
			source = c.state
		}
	}
	s.mu.Unlock()
	s.RestoreCopy(Copy{
		state: source,
	})
}

// RestoreCopy replaces the content by a copy, ends the fault of all clients, cuts the
// waiting watches and begins the next era. Later writes get revisions that had been
// given out since the copy was made.
func (s *Server) RestoreCopy(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.fault = Fault{}
	s.setState(c.state)
}

// setState puts a state in force. The caller holds mu.
func (s *Server) setState(next state) {
	now := time.Now()
	s.state = next
	s.copies = append(s.copies, datedState{
		at:    now,
		state: next,
	})
	for len(s.copies) > 1 && now.Sub(s.copies[1].at) > copyRetention {
		s.copies = slices.Delete(s.copies, 0, 1)
	}
	s.wake()
}

// wake makes the waiting watches look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault replaces the fault of all clients.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// SetClientFault replaces the fault of one client; it takes effect while there is no
// fault of all clients.
func (s *Server) SetClientFault(client string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientFaults[client] = fault
	s.wake()
}
