package cyclam

// EndpointState tells whether an upstream takes calls.
type EndpointState uint8

// The states of an endpoint. At the same incarnation and sequence, a state later
// in this list replaces an earlier one.
const (
	// EndpointReady means that the upstream takes calls.
	EndpointReady EndpointState = iota + 1
	// EndpointDown means that the upstream takes no calls at present.
	EndpointDown
	// EndpointLeaving means that the node or its upstream is about to stop.
	EndpointLeaving
	// EndpointGone means that the node has stopped or is considered failed. Such an
	// announcement is kept as a tombstone.
	EndpointGone
)

// String returns the name of the state in logs and stored objects.
func (s EndpointState) String() string {
	switch s {
	case EndpointReady:
		return "ready"
	case EndpointDown:
		return "down"
	case EndpointLeaving:
		return "leaving"
	case EndpointGone:
		return "gone"
	default:
		return "invalid"
	}
}

// Endpoint is an instance's announcement of its upstream.
type Endpoint struct {
	Identity
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	State    EndpointState
	Service  ServiceName
	// Release names the build of the upstream's software; empty if it is not known.
	Release  string
	Locality Locality
	// Data is the host:port at which the node takes calls from other nodes.
	Data string
	// Control is the host:port of the node's gRPC server.
	Control string
	// Slots is how many calls the upstream processes at once.
	Slots uint32
	// Parent is the instance from which this one receives configuration.
	Parent InstanceName
}

// Newer reports whether e replaces o, by incarnation, then sequence, then
// state.
func (e Endpoint) Newer(o Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	if e.Sequence != o.Sequence {
		return e.Sequence > o.Sequence
	}
	return e.State > o.State
}

// WithState returns a copy of e in state s.
func (e Endpoint) WithState(s EndpointState) Endpoint {
	e.State = s
	return e
}

// WithNextSequence returns a copy of e with the next sequence, so that it
// replaces every announcement up to e.
func (e Endpoint) WithNextSequence() Endpoint {
	e.Sequence++
	return e
}
