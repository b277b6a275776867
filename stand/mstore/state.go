package mstore

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// Metadata is the metadata of an object; Rev is the revision of its last change.
type Metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev,omitempty"`
	CreatedRev uint64   `json:"created_rev,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
	// Deleting is set on an object that is removed once it has no finalizers.
	Deleting bool `json:"deleting,omitempty"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type objectKey struct {
	kind string
	name string
}

// event is one change, as watches report it.
type event struct {
	key     objectKey
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// state is the content of the store at one moment; it is immutable.
type state struct {
	revision uint64
	objects  map[objectKey]Object
	events   []event
	// compacted is the oldest revision from which a watch is possible.
	compacted uint64
}

// write is a call that changes one object.
type write struct {
	method string
	key    objectKey
	// status is set if the call replaces the object's status only.
	status bool
	object Object
	// revision, if not zero, must equal that of the object.
	revision uint64
}

// apply returns the state after a write, and the HTTP status and the object to answer
// with.
func (s state) apply(w write) (state, int, Object) {
	held, exists := s.objects[w.key]
	switch {
	case w.method == http.MethodPost && exists:
		return s, http.StatusConflict, held
	case w.method != http.MethodPost && !exists:
		return s, http.StatusNotFound, Object{}
	case exists && w.revision != 0 && w.revision != held.Metadata.Rev:
		return s, http.StatusConflict, held
	}
	next, removed := held, false
	switch {
	case w.method == http.MethodDelete:
		removed = len(held.Metadata.Finalizers) == 0
		next.Metadata.Deleting = true
	case w.status:
		next.Status = w.object.Status
	default:
		next.Spec = w.object.Spec
		next.Metadata.Finalizers = w.object.Metadata.Finalizers
		removed = held.Metadata.Deleting && len(next.Metadata.Finalizers) == 0
	}
	if exists && !removed && unchanged(held, next) {
		return s, http.StatusOK, held
	}
	next.Metadata.Name = w.key.name
	next.Metadata.Rev = s.revision + 1
	if !exists {
		next.Metadata.CreatedRev = next.Metadata.Rev
	}
	return s.with(w.key, next, removed), http.StatusOK, next
}

func unchanged(a, b Object) bool {
	return bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status) &&
		slices.Equal(a.Metadata.Finalizers, b.Metadata.Finalizers) && a.Metadata.Deleting == b.Metadata.Deleting
}

// with returns the state after a change of one object.
func (s state) with(key objectKey, object Object, removed bool) state {
	objects := maps.Clone(s.objects)
	objects[key] = object
	if removed {
		delete(objects, key)
	}
	s.revision = object.Metadata.Rev
	s.objects = objects
	s.events = append(slices.Clip(s.events), event{
		key:     key,
		Object:  object,
		Deleted: removed,
	})
	return s
}

// withCompaction returns the state without the events up to a revision.
func (s state) withCompaction(revision uint64) state {
	s.compacted = max(s.compacted, revision)
	s.events = s.since("", s.compacted)
	return s
}

// since returns the events of a kind after a revision; an empty kind stands for all.
func (s state) since(kind string, revision uint64) []event {
	found := []event{}
	for _, e := range s.events {
		if e.Object.Metadata.Rev > revision && (kind == "" || e.key.kind == kind) {
			found = append(found, e)
		}
	}
	return found
}

// holds reports whether a watch can start at a revision.
func (s state) holds(revision uint64) bool {
	return revision >= s.compacted && revision <= s.revision
}

// list returns up to count objects of a kind after a name, in order of their names, and
// whether there are more.
func (s state) list(kind, after string, count int) ([]Object, bool) {
	items := []Object{}
	for key, o := range s.objects {
		if key.kind == kind && key.name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	if len(items) > count {
		return items[:count], true
	}
	return items, false
}
