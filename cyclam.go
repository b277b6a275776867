// Package cyclam is the vocabulary of cyclamensaddle, a configuration
// distribution system for a service mesh.
//
// It holds the value types, the events and effects of the one reducer, and the
// interfaces that the packages below it implement. It does no I/O and reads no
// clock.
package cyclam

import "time"

// Version numbers accepted configurations; it only grows.
type Version uint64

// Incarnation tells apart processes that had the same instance name or address.
type Incarnation uint64

// InstanceName names one upstream instance and the node beside it.
type InstanceName string

// ServiceName names a service, which is a set of upstreams.
type ServiceName string

// Region names a group of data centres joined by fast links.
type Region string

// DataCentre names one data centre of a region.
type DataCentre string

// Locality is where an instance stands.
type Locality struct {
	Region     Region
	DataCentre DataCentre
}

// Identity is one process: an instance name and the incarnation behind it.
type Identity struct {
	Instance    InstanceName
	Incarnation Incarnation
}

// Stamp carries the time at which an event was observed.
type Stamp struct {
	Now time.Time
}

// At returns the time at which the event was observed.
func (s Stamp) At() time.Time { return s.Now }

// Event is anything that the reducer reacts to; it carries its own time.
type Event interface {
	At() time.Time
}

// Effect is something that the reducer asks its shell to do.
type Effect interface {
	effect()
}

// Reducer folds one event into an immutable state of type S.
type Reducer[S any] func(S, Event) (S, []Effect)
