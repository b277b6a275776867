// Package cyclam defines the domain types of cyclamensaddle, which distributes
// the configuration of a service mesh and routes its calls.
//
// It holds the value types, the events and effects of the reducer, and the
// interfaces Platform and Dialect; every process uses it. It does no I/O and
// reads no clock, so that decisions can be replayed.
package cyclam

import "time"

// Version numbers the accepted configurations; it only increases.
type Version uint64

// Incarnation distinguishes processes that had the same instance name or
// address.
type Incarnation uint64

// InstanceName is the name of an upstream instance and of the node beside it.
type InstanceName string

// ServiceName is the name of a service, which is a set of upstreams.
type ServiceName string

// Region is the name of a group of data centres that are joined by fast links.
type Region string

// DataCentre is the name of one data centre of a region.
type DataCentre string

// Locality is the region and the data centre in which an instance runs.
type Locality struct {
	Region     Region
	DataCentre DataCentre
}

// Identity identifies one process of a node by its instance name and incarnation.
type Identity struct {
	Instance    InstanceName
	Incarnation Incarnation
}

// Stamp is embedded in events and holds the time at which the event was
// observed.
type Stamp struct {
	Now time.Time
}

// At returns the time at which the event was observed.
func (s Stamp) At() time.Time { return s.Now }

// Event is an input of the reducer. It carries its own time, as the reducer
// reads no clock.
type Event interface {
	At() time.Time
}

// Effect is an output of the reducer: an action that the I/O shell, the code
// around the reducer, carries out.
type Effect interface {
	effect()
}

// Reducer folds one event into an immutable state of type S. It returns the new
// state and the effects to carry out.
type Reducer[S any] func(S, Event) (S, []Effect)
