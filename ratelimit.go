package cyclam

import "strconv"

// RateLimit is a limit on the requests that an upstream takes from all instances
// together. The zero value means that it is not known whether there is one.
type RateLimit struct {
	known     bool
	limited   bool
	perSecond float64
}

// NoRateLimit returns the value of an upstream that is known to set no limit.
func NoRateLimit() RateLimit {
	return RateLimit{
		known: true,
	}
}

// RateLimitOf returns a limit of perSecond requests per second, which may be zero. A
// negative or infinite rate, or one that is not a number, gives the zero RateLimit.
func RateLimitOf(perSecond float64) RateLimit {
	if !(perSecond >= 0) || perSecond > maxRateLimit {
		return RateLimit{}
	}
	return RateLimit{
		known:     true,
		limited:   true,
		perSecond: perSecond,
	}
}

// maxRateLimit is the highest limit, in requests per second, that is taken for one.
const maxRateLimit = 1e9

// Known reports whether it is known if there is a limit.
func (r RateLimit) Known() bool { return r.known }

// PerSecond returns the limit in requests per second; false means that there is none or
// that it is not known.
func (r RateLimit) PerSecond() (float64, bool) { return r.perSecond, r.limited }

// String returns the requests per second, "none" or "unknown".
func (r RateLimit) String() string {
	switch {
	case r.limited:
		return strconv.FormatFloat(r.perSecond, 'f', -1, 64)
	case r.known:
		return "none"
	default:
		return "unknown"
	}
}
