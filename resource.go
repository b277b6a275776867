package cyclam

import (
	"slices"
	"time"
)

// Kind is the kind of an object in the platform's API.
type Kind string

// The kinds that operators write.
const (
	KindService       Kind = "service"
	KindRoute         Kind = "route"
	KindPlacementRule Kind = "placement-rule"
)

// The kinds that the system writes.
const (
	KindHead   Kind = "head"
	KindChunk  Kind = "chunk"
	KindClaim  Kind = "claim"
	KindStatus Kind = "status"
	// KindEndpoint holds the announcement of each node's upstream.
	KindEndpoint Kind = "endpoint"
)

// IsSoft reports whether readers of the kind bear changes that arrive some seconds late: what
// they need at once, they learn from each other.
func (k Kind) IsSoft() bool { return k == KindEndpoint }

// OperatorKinds returns the kinds that operators write.
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

// Resource is a declared object that is parsed and valid by itself.
type Resource interface {
	Key() Key
}

// Service declares a set of upstreams.
type Service struct {
	Name ServiceName
	// Timeout bounds calls that have no deadline of their own.
	Timeout time.Duration
	// HealthPath is the path of the health check of the service's upstreams.
	HealthPath string
	// Connections is how many connections one upstream accepts; zero if no
	// limit is declared.
	Connections int
}

// Key returns the key of the service.
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
	// Timeout bounds a call on this route; zero means the service's timeout.
	Timeout time.Duration
	// IdempotentMethods lists the methods that may run more than once.
	IdempotentMethods []string
	// Host limits the route to requests for one host; empty means every host.
	Host string
	// Kind tells which requests may be repeated; its zero value decides by the
	// method.
	Kind RouteKind
	// Split distributes requests among services by weight; Service is empty if
	// it is set.
	Split []WeightedService
	// Attempts is the maximum number of upstreams that one request is sent to;
	// zero means the node's default.
	Attempts int
	// TargetLatency is the time within which an answer is wanted; zero means
	// the timeout.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Anonymous is set if requests need no credential although the configuration has teams.
	Anonymous bool
}

// Key returns the key of the route.
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
	case RouteNonIdempotent, RouteUpload:
		return false
	default:
		return slices.Contains(r.IdempotentMethods, method)
	}
}

// PlacementRule limits the localities in which calls for a service may be
// served.
type PlacementRule struct {
	Name    string
	Service ServiceName
	// Regions lists the allowed regions; empty allows all.
	Regions []Region
	// DataCentres lists the allowed data centres; empty allows all.
	DataCentres []DataCentre
}

// Key returns the key of the rule.
func (p PlacementRule) Key() Key {
	return Key{
		Kind: KindPlacementRule,
		Name: p.Name,
	}
}

// Allows reports whether the rule permits a call to be served at a locality.
func (p PlacementRule) Allows(at Locality) bool {
	if len(p.Regions) > 0 && !slices.Contains(p.Regions, at.Region) {
		return false
	}
	if len(p.DataCentres) > 0 && !slices.Contains(p.DataCentres, at.DataCentre) {
		return false
	}
	return true
}

// Problem is one error found in an object or a settings file.
type Problem struct {
	// Object is the key of the object, or the name of the file.
	Object string
	// Path is the field, such as spec.service.
	Path string
	// Reason states the value found and the value expected.
	Reason string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return p.Object + ": " + p.Path + ": " + p.Reason
}
