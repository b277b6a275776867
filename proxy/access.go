package proxy

import (
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/teams"
)

// uncertainRetryAfter is when a request may be sent again that was refused for the age of
// the configuration: about the time after which a word of the store has reached all nodes
// again.
const uncertainRetryAfter = 500 * time.Millisecond

// authorize decides by a table of some age whether a request may run that had been read
// before the age was. So it was sent before, whatever time passes until it runs.
func (n *Node) authorize(t *router.Table, age time.Duration, route cyclam.Route, meta cyclam.CallMeta) teams.Verdict {
	if t.Teams == nil {
		return teams.Verdict{}
	}
	return n.gate().Decide(t.Teams, teams.Request{
		Route:      route,
		Presented:  meta.Presented,
		Credential: meta.Credential,
		Age:        age,
	})
}

// authorizeAgain decides once more after a body has been read, because the caller may have
// sent the end of the request much later than its start. It returns the first verdict if that
// still holds.
func (n *Node) authorizeAgain(first teams.Verdict, r *http.Request, route cyclam.Route, meta cyclam.CallMeta) teams.Verdict {
	if !first.Keyed || r.ContentLength == 0 {
		return first
	}
	t, age := n.tableWithAge()
	return n.authorize(t, age, route, meta)
}

// gate returns the times that bound what a node may conclude from its configuration.
func (n *Node) gate() teams.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Settings.Teams
}

// refuseAccess answers a request that may not run. No other node has got it.
func (n *Node) refuseAccess(w http.ResponseWriter, r *http.Request, id string, began time.Time, v teams.Verdict) {
	if v.Denied {
		w.Header().Set("WWW-Authenticate", "Bearer")
		n.reject(w, id, http.StatusUnauthorized, v.Reason)
		return
	}
	n.meters.countRefusal(v.Reason)
	n.answer(w, r, id, began, nil, result{
		completion: cyclam.Refused(v.Reason, jitter(uncertainRetryAfter)),
	})
}

// setTeam records the team of a call, whose rank goes before that of the route.
func (c *call) setTeam(v teams.Verdict) {
	c.offer.Keyed, c.offer.Team = v.Keyed, string(v.Team.Name)
	if v.Team.Ranked {
		c.offer.Priority = uint32(max(0, v.Team.Priority))
	}
}
