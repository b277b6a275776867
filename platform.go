package cyclam

import (
	"context"
	"encoding/json"
	"time"
)

// Change groups objects that an operator applied together.
type Change struct {
	ID string `json:"id"`
	// Count is how many objects the change holds.
	Count int `json:"count"`
}

// Object is one stored object of the platform.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	Change   *Change         `json:"change,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// Key returns the object's key.
func (o Object) Key() Key {
	return Key{
		Kind: o.Kind,
		Name: o.Name,
	}
}

// ObjectEvent is one change seen by a watch.
type ObjectEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ObjectList is what a list returned and the revision to watch from.
type ObjectList struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// ObjectChanges is what one watch call returned and where the next one starts.
type ObjectChanges struct {
	Events   []ObjectEvent `json:"events"`
	Revision uint64        `json:"revision"`
}

// Platform is the object API that holds everything that must last.
//
// Writes are conditional: Put succeeds only if the stored revision equals the
// object's, where zero means that the object must not exist.
type Platform interface {
	Get(ctx context.Context, key Key) (Object, error)
	List(ctx context.Context, kinds ...Kind) (ObjectList, error)
	Put(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, key Key, revision uint64) error
	Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...Kind) (ObjectChanges, error)
}
