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

// Platform is the object API that holds all durable state.
//
// Writes are conditional: Put succeeds only if the stored revision equals the
// object's revision, where zero means that the object must not exist.
type Platform interface {
	Get(ctx context.Context, key Key) (Object, error)
	List(ctx context.Context, kinds ...Kind) (ObjectList, error)
	Put(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, key Key, revision uint64) error
	// Watch returns the changes after a revision, or none once wait has passed.
	Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...Kind) (ObjectChanges, error)
}
