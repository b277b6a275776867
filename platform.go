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
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	Change   *Change         `json:"change,omitempty"`
	Spec     json.RawMessage `json:"spec"`
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

// ObjectList is the result of a list call and the revision to watch from.
type ObjectList struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// ObjectChanges is the result of one watch call and the revision at which the
// next one starts.
type ObjectChanges struct {
	Events   []ObjectEvent `json:"events"`
	Revision uint64        `json:"revision"`
}

// Platform is the object API of the hosting environment. It holds all durable
// state.
//
// Its errors wrap ErrConflict, ErrNotFound, ErrUnavailable, ErrCompacted or
// ErrInvalid where one of these is the cause; match them with errors.Is.
type Platform interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of the given kinds.
	List(ctx context.Context, kinds ...Kind) (ObjectList, error)
	// Put writes an object and returns it with its new revision. It returns
	// ErrConflict unless the stored revision equals the object's revision, where
	// zero means that the object must not exist.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete deletes an object. It returns ErrConflict unless the stored revision
	// equals revision.
	Delete(ctx context.Context, key Key, revision uint64) error
	// Watch returns the changes after revision from, or none once wait has
	// passed. It returns ErrCompacted if that revision is no longer held.
	Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...Kind) (ObjectChanges, error)
}
