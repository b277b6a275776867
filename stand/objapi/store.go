// Package objapi is a stand-in for the platform's object API: an in-memory store
// with revisions, conditional updates, watches and injected faults. The command
// stand-platform and the tests run it in place of the platform.
package objapi

import (
	"context"
	"slices"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// historyLimit is the maximum number of events kept for watches. Beyond it the
// older half is dropped, and a watch from before the rest gets ErrCompacted.
const historyLimit = 20_000

var _ cyclam.Platform = (*Store)(nil)

// Store holds the objects and the recent history of their changes.
type Store struct {
	mu       sync.Mutex
	objects  map[cyclam.Key]cyclam.Object
	history  []historyEntry
	revision uint64
	// changed is closed and replaced at every change, to wake the watches.
	changed chan struct{}
}

type historyEntry struct {
	revision uint64
	event    cyclam.ObjectEvent
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[cyclam.Key]cyclam.Object{},
		changed: make(chan struct{}),
	}
}

// Get returns an object, or ErrNotFound.
func (s *Store) Get(_ context.Context, key cyclam.Key) (cyclam.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return cyclam.Object{}, cyclam.ErrNotFound
	}
	return object, nil
}

// List returns all objects of the given kinds, ordered by revision.
func (s *Store) List(_ context.Context, kinds ...cyclam.Kind) (cyclam.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := cyclam.ObjectList{
		Position: cyclam.AtRevision(s.revision),
	}
	for key, object := range s.objects {
		if slices.Contains(kinds, key.Kind) {
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, func(a, b cyclam.Object) int {
		return int(a.Revision) - int(b.Revision)
	})
	return list, nil
}

// Put writes an object if the stored revision equals the object's revision, and
// returns ErrConflict otherwise. An object that isn't stored has revision 0.
func (s *Store) Put(_ context.Context, object cyclam.Object) (cyclam.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[object.Key()].Revision != object.Revision {
		return cyclam.Object{}, cyclam.ErrConflict
	}
	s.revision++
	object.Revision = s.revision
	s.objects[object.Key()] = object
	s.record(cyclam.ObjectEvent{
		Object: object,
	})
	return object, nil
}

// Delete removes an object if the stored position equals the given one. It returns
// ErrNotFound or ErrConflict otherwise.
func (s *Store) Delete(_ context.Context, key cyclam.Key, at cyclam.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return cyclam.ErrNotFound
	}
	if object.Position != at {
		return cyclam.ErrConflict
	}
	s.revision++
	delete(s.objects, key)
	s.record(cyclam.ObjectEvent{
		Object:  object,
		Deleted: true,
	})
	return nil
}

func (s *Store) record(event cyclam.ObjectEvent) {
	s.history = append(s.history, historyEntry{
		revision: s.revision,
		event:    event,
	})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[historyLimit/2:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch returns the changes after position from as soon as there are any, or none
// after wait. It returns ErrCompacted if the history no longer reaches back to
// from.
func (s *Store) Watch(ctx context.Context, from cyclam.Position, wait time.Duration, kinds ...cyclam.Kind) (cyclam.ObjectChanges, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := s.changesSince(from.Revision, kinds)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
}

func (s *Store) changesSince(from uint64, kinds []cyclam.Kind) (cyclam.ObjectChanges, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := cyclam.ObjectChanges{
		Position: cyclam.AtRevision(s.revision),
	}
	if len(s.history) > 0 && from+1 < s.history[0].revision {
		return changes, nil, cyclam.ErrCompacted
	}
	start, _ := slices.BinarySearchFunc(s.history, from+1, func(e historyEntry, revision uint64) int {
		return int(e.revision) - int(revision)
	})
	for _, e := range s.history[start:] {
		if slices.Contains(kinds, e.event.Object.Kind) {
			changes.Events = append(changes.Events, e.event)
		}
	}
	return changes, s.changed, nil
}
