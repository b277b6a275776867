package simnet

import (
	"fmt"
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/core"
)

// oracle checks the guarantees of docs/PROOFS.md and collects violations. A
// guarantee goes by the number of its entry there; 10 is placement.
type oracle struct {
	accepted   map[cyclam.Version][]cyclam.Resource
	latest     cyclam.Version
	violations []string
}

func newOracle() oracle {
	return oracle{
		accepted: map[cyclam.Version][]cyclam.Resource{},
	}
}

// fail records a violation. It keeps the first five of a scenario.
func (o *oracle) fail(guarantee int, format string, args ...any) {
	if len(o.violations) < 5 {
		o.violations = append(o.violations, fmt.Sprintf("guarantee %d: ", guarantee)+fmt.Sprintf(format, args...))
	}
}

// accept records a snapshot as accepted, once its head is stored on the platform.
func (o *oracle) accept(snap cyclam.Snapshot) {
	if snap.Version != o.latest+1 {
		o.fail(9, "version %d was accepted after version %d", snap.Version, o.latest)
	}
	o.latest = snap.Version
	o.accepted[snap.Version] = snap.Resources
	if missing := danglingReference(snap.Resources); missing != "" {
		o.fail(2, "version %d: %s", snap.Version, missing)
	}
}

// danglingReference describes a route or placement rule whose service is not among the
// resources; it is empty if there is none.
func danglingReference(resources []cyclam.Resource) string {
	exists := map[cyclam.ServiceName]bool{}
	for _, r := range resources {
		if s, ok := r.(cyclam.Service); ok {
			exists[s.Name] = true
		}
	}
	for _, r := range resources {
		switch r := r.(type) {
		case cyclam.Route:
			if !exists[r.Service] {
				return r.Key().String() + " refers to missing service " + string(r.Service)
			}
		case cyclam.PlacementRule:
			if !exists[r.Service] {
				return r.Key().String() + " refers to missing service " + string(r.Service)
			}
		}
	}
	return ""
}

// observe checks the configuration of a process after each event.
func (o *oracle) observe(p *proc, before core.State) {
	previous, current := before.Conf(), p.state.Conf()
	if current.Version == previous.Version {
		return
	}
	if current.Version < previous.Version {
		o.fail(1, "%v went from version %d to %d", p.id(), previous.Version, current.Version)
	}
	held := current.Set.Resources()
	if missing := danglingReference(held); missing != "" {
		o.fail(2, "%v at version %d: %s", p.id(), current.Version, missing)
	}
	want, known := o.accepted[current.Version]
	if !known {
		o.fail(3, "%v holds version %d, which was never accepted", p.id(), current.Version)
		return
	}
	if fmt.Sprint(held) != fmt.Sprint(want) {
		o.fail(3, "%v holds version %d with the wrong resources: got %v, want %v", p.id(), current.Version, held, want)
	}
}

// callFinished checks the outcome that a caller receives.
func (o *oracle) callFinished(c *callRecord, completion cyclam.Completion) {
	switch {
	case c.finished:
		o.fail(4, "%s was answered twice", c.name)
	case completion.Outcome == cyclam.OutcomeDone && string(completion.Answer.Body) != c.name:
		o.fail(4, "%s received the answer of %s", c.name, completion.Answer.Body)
	case completion.Outcome == cyclam.OutcomeDone && c.runs == 0:
		o.fail(4, "%s was reported done but did not run", c.name)
	case completion.Outcome == cyclam.OutcomeNotRun && c.runs > 0:
		o.fail(5, "%s was reported not run (%s) but ran %d times", c.name, completion.Reason, c.runs)
	}
}

// attemptSent checks that an attempt goes to a locality that the sender's configuration
// version allows.
func (o *oracle) attemptSent(p *proc, e cyclam.SendAttempt) {
	if !o.allows(p.state.Conf().Version, e.Endpoint.Service, e.Endpoint.Locality) {
		o.fail(10, "%v sent a call of %s to %v, which its placement rules forbid", p.id(), e.Endpoint.Service, e.Endpoint.Locality)
	}
}

// allows evaluates the placement rules of an accepted version. It reads the resources
// directly rather than through conf.Set, whose Allows is under test.
func (o *oracle) allows(version cyclam.Version, service cyclam.ServiceName, at cyclam.Locality) bool {
	for _, r := range o.accepted[version] {
		rule, ok := r.(cyclam.PlacementRule)
		if !ok || rule.Service != service {
			continue
		}
		if len(rule.Regions) > 0 && !slices.Contains(rule.Regions, at.Region) {
			return false
		}
	}
	return true
}

// workStarted checks a call whose work starts at an upstream.
func (o *oracle) workStarted(p *proc, a *attemptRecord) {
	c := a.call
	if !c.idempotent && c.runs > 1 {
		o.fail(6, "%s ran %d times", c.name, c.runs)
	}
	if c.finished && c.completion.Outcome == cyclam.OutcomeNotRun {
		o.fail(5, "%s ran after it was reported not run (%s)", c.name, c.completion.Reason)
	}
	if !p.stopRequestedAt.IsZero() && a.arrivedAt.After(p.stopRequestedAt) {
		o.fail(7, "%v started %s, which arrived after the stop request", p.id(), c.name)
	}
	self := p.state.Tree.Self
	if !o.allows(p.state.Conf().Version, self.Service, self.Locality) {
		o.fail(10, "%v ran %s, against the placement rules of %s", p.id(), c.name, self.Service)
	}
}

// procExited checks that after a planned stop no work is running and no call is
// unanswered.
func (o *oracle) procExited(w *world, p *proc) {
	for _, a := range w.calls.attempts {
		if a.target == p && a.running {
			o.fail(8, "%v exited while %s was running", p.id(), a.call.name)
		}
	}
	for _, c := range w.calls.calls {
		if c.entry == p && !c.finished {
			o.fail(8, "%v exited before %s was answered", p.id(), c.name)
		}
	}
}
