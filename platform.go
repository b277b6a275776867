package cyclam

import (
	"context"
	"encoding/json"
	"time"
)

// Change groups objects that an operator applied together.
type Change struct {
	ID string `json:"id"`
	// Count is the number of objects in the change.
	Count int `json:"count"`
}

// Object is an object stored in the platform.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Position is that of the object's last change.
	Position
	Change *Change         `json:"change,omitempty"`
	Spec   json.RawMessage `json:"spec"`
	// Status is what the system has written beside an operator's spec, and Created the
	// revision at which the object was created, where the platform keeps them.
	Status  json.RawMessage `json:"status,omitempty"`
	Created uint64          `json:"created,omitempty"`
}

// Key returns the key of the object.
func (o Object) Key() Key {
	return Key{
		Kind: o.Kind,
		Name: o.Name,
	}
}

// ObjectEvent is one change that a watch reports.
type ObjectEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ObjectList is the result of a list call and the position to watch from.
type ObjectList struct {
	Objects []Object `json:"objects"`
	Position
}

// ObjectChanges is the result of one watch call and the position at which the
// next one starts.
type ObjectChanges struct {
	Events []ObjectEvent `json:"events"`
	Position
}

// Platform is the object API of the hosting environment. It holds all durable
// state.
//
// Its errors wrap ErrConflict, ErrNotFound, ErrUnavailable, ErrCompacted, ErrStaleEra
// or ErrInvalid where one of these is the cause; match them with errors.Is.
type Platform interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of the given kinds.
	List(ctx context.Context, kinds ...Kind) (ObjectList, error)
	// Put writes an object and returns it with its new position. It returns
	// ErrConflict unless the stored position equals the object's position, where
	// zero means that the object must not exist.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete deletes an object. It returns ErrConflict unless the stored position
	// equals at.
	Delete(ctx context.Context, key Key, at Position) error
	// Watch returns the changes after position from, or none once wait has
	// passed. It returns ErrCompacted if that position is no longer held.
	Watch(ctx context.Context, from Position, wait time.Duration, kinds ...Kind) (ObjectChanges, error)
}

// Checker is a Platform that can tell whether objects have changed without sending them.
type Checker interface {
	// Changed reports whether any object of a kind has changed after position from. If none
	// has, it returns a position up to which that holds. It returns ErrStaleEra or
	// ErrCompacted as Watch does.
	Changed(ctx context.Context, from Position, kind Kind) (Position, bool, error)
}
