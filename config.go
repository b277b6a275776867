package cyclam

import "time"

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteByMethod leaves it to the request's method.
	RouteByMethod RouteKind = iota
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent
	// RouteNonIdempotent marks requests that run at most once.
	RouteNonIdempotent
	// RouteDownload marks idempotent requests with large answers.
	RouteDownload
)

// String returns the kind's name in logs.
func (k RouteKind) String() string {
	switch k {
	case RouteIdempotent:
		return "idempotent"
	case RouteNonIdempotent:
		return "non-idempotent"
	case RouteDownload:
		return "download"
	default:
		return "by-method"
	}
}

// WeightedService is one part of a route's weighted split.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

// Config is one whole version of what operators declare.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
}
