package teams

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Gate decides about requests. The zero Gate accepts credentials whatever the age of the
// configuration.
type Gate struct {
	// Withdrawal is how long after a configuration has taken a credential away requests
	// with it may still run; zero sets no limit.
	Withdrawal time.Duration
	// Apply is how long a new configuration may take to be in force; zero sets no limit.
	Apply time.Duration
}

// withdrawalMargin is subtracted from Gate.Withdrawal. It covers the difference in rate of
// the steady clocks of two nodes and the time between the reading of the clock and the
// decision.
const withdrawalMargin = 150 * time.Millisecond

// Request is what a decision about a request depends on.
type Request struct {
	Route cyclam.Route
	// Presented is set if the request names any credential, also one that can't be read.
	Presented  bool
	Credential cyclam.Credential
	// Age is how long ago the registry's configuration was known to be the newest.
	Age time.Duration
}

// Verdict is the decision about a request.
type Verdict struct {
	// Keyed is set if the configuration has teams. Team is the request's team; it has no
	// name if the request needed no credential.
	Keyed bool
	Team  cyclam.Team
	// Reason is empty if the request may run. Denied is set if it may not run later
	// either.
	Reason cyclam.Reason
	Denied bool
}

// Decide decides about a request by the teams of the configuration in force. A credential
// that is presented must be valid also where the route needs none. While the
// configuration may be outdated, no request is denied, as a newer one may allow it.
func (g Gate) Decide(r *Registry, q Request) Verdict {
	v := Verdict{
		Keyed: r != nil,
	}
	if r == nil || q.Route.Anonymous && !q.Presented {
		return v
	}
	team, known := r.Lookup(q.Credential)
	switch {
	case !q.Presented:
		v.Reason = cyclam.ReasonNoCredential
	case q.Credential == "":
		v.Reason = cyclam.ReasonMalformedCredential
	case !known:
		v.Reason = cyclam.ReasonUnknownCredential
	case !g.mayAccept(q.Age):
		v.Reason = cyclam.ReasonUncertainCredential
		return v
	default:
		v.Team = team
		return v
	}
	if v.Reason != cyclam.ReasonMalformedCredential && !g.mayDeny(q.Age) {
		v.Reason = cyclam.ReasonUncertainCredential
		return v
	}
	v.Denied = true
	return v
}

// mayAccept reports whether a configuration of an age may accept credentials: a request
// that is accepted was sent before this moment, and a credential was taken away at the
// earliest when the configuration was last known to be the newest.
func (g Gate) mayAccept(age time.Duration) bool {
	return g.Withdrawal <= 0 || age < g.Withdrawal-withdrawalMargin
}

// mayDeny reports whether a configuration of an age may deny requests for good.
func (g Gate) mayDeny(age time.Duration) bool {
	return g.Apply <= 0 || age < g.Apply
}
