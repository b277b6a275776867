package cyclam

import "time"

// RouteKind tells which requests of a route may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteByMethod decides by the request's method.
	RouteByMethod RouteKind = iota
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent
	// RouteNonIdempotent marks requests that run at most once.
	RouteNonIdempotent
	// RouteDownload marks idempotent requests with large answers.
	RouteDownload
	// RouteUpload marks requests with large bodies that run at most once.
	RouteUpload
)

// String returns the name of the kind in logs.
func (k RouteKind) String() string {
	switch k {
	case RouteIdempotent:
		return "idempotent"
	case RouteNonIdempotent:
		return "non-idempotent"
	case RouteDownload:
		return "download"
	case RouteUpload:
		return "upload"
	default:
		return "by-method"
	}
}

// WeightedService is one target of a route's weighted traffic split.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// Limits bounds the size of callers' requests and the time that they may take.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the time for reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one version of the whole configuration that operators declare.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Teams lists the teams whose credentials are accepted; if it is empty, no request
	// needs any.
	Teams  []Team
	Limits Limits
}
