package cyclam

import (
	"slices"
	"time"
)

// Kind is a kind of object in the platform's API.
type Kind string

// The operators' kinds.
const (
	KindService       Kind = "service"
	KindRoute         Kind = "route"
	KindPlacementRule Kind = "placement-rule"
)

// The system's own kinds.
const (
	KindHead   Kind = "head"
	KindChunk  Kind = "chunk"
	KindClaim  Kind = "claim"
	KindStatus Kind = "status"
	// KindEndpoint holds what each node announces of its upstream.
	KindEndpoint Kind = "endpoint"
)

// OperatorKinds lists the kinds that operators write.
func OperatorKinds() []Kind {
	return []Kind{KindService, KindRoute, KindPlacementRule}
}

// IsOperator reports whether operators write objects of kind k.
func (k Kind) IsOperator() bool {
	return slices.Contains(OperatorKinds(), k)
}

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Resource is one declared object, parsed and valid by itself.
type Resource interface {
	Key() Key
}

// Service declares a set of upstreams.
type Service struct {
	Name ServiceName
	// Timeout bounds a call that brings no deadline of its own.
	Timeout time.Duration
	// HealthPath is where an upstream of the service tells its health.
	HealthPath string
	// Connections is how many connections one upstream accepts; zero means that
	// no limit was declared.
	Connections int
}

// Key returns the service's key.
func (s Service) Key() Key {
	return Key{
		Kind: KindService,
		Name: string(s.Name),
	}
}

// Route sends calls whose path has a prefix to a service.
type Route struct {
	Name       string
	PathPrefix string
	Service    ServiceName
	// Timeout bounds a call on this route; zero takes the service's.
	Timeout time.Duration
	// IdempotentMethods lists methods that may run more than once.
	IdempotentMethods []string
	// Host limits the route to requests for one host; empty takes every host.
	Host string
	// Kind says what may be repeated; its zero value leaves it to the method.
	Kind RouteKind
	// Split shares requests out among services; Service is empty then.
	Split []WeightedService
	// Attempts is how many upstreams one request is sent to at most; zero
	// leaves it to the node.
	Attempts int
	// TargetLatency is the time by which an answer is wanted; zero means the timeout.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
}

// Key returns the route's key.
func (r Route) Key() Key {
	return Key{
		Kind: KindRoute,
		Name: r.Name,
	}
}

// Idempotent reports whether calls with the method may run more than once.
func (r Route) Idempotent(method string) bool {
	switch r.Kind {
	case RouteIdempotent, RouteDownload:
		return true
	case RouteNonIdempotent:
		return false
	default:
		return slices.Contains(r.IdempotentMethods, method)
	}
}

// PlacementRule limits where calls for a service may be served.
type PlacementRule struct {
	Name    string
	Service ServiceName
	// Regions lists the allowed regions; empty allows every one.
	Regions []Region
	// DataCentres lists the allowed data centres; empty allows every one.
	DataCentres []DataCentre
}

// Key returns the rule's key.
func (p PlacementRule) Key() Key {
	return Key{
		Kind: KindPlacementRule,
		Name: p.Name,
	}
}

// Allows reports whether the rule lets a call be served at the place.
func (p PlacementRule) Allows(at Locality) bool {
	if len(p.Regions) > 0 && !slices.Contains(p.Regions, at.Region) {
		return false
	}
	if len(p.DataCentres) > 0 && !slices.Contains(p.DataCentres, at.DataCentre) {
		return false
	}
	return true
}

// Problem is one fault found in an object or a settings file.
type Problem struct {
	// Object is the key of the object at fault, or the file's name.
	Object string
	// Path is the field, such as spec.service.
	Path string
	// Reason says what was found and what was expected.
	Reason string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return p.Object + ": " + p.Path + ": " + p.Reason
}
