package simnet

import (
	"fmt"
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/core"
)

// oracle holds the promises, each in a few lines, and what broke them.
type oracle struct {
	accepted map[cyclam.Version][]cyclam.Resource
	latest   cyclam.Version
	broken   []string
}

func newOracle() oracle {
	return oracle{
		accepted: map[cyclam.Version][]cyclam.Resource{},
	}
}

func (o *oracle) fail(promise int, format string, args ...any) {
	if len(o.broken) < 5 {
		o.broken = append(o.broken, fmt.Sprintf("promise %d: ", promise)+fmt.Sprintf(format, args...))
	}
}

// accept records what the platform's head has made the accepted set.
func (o *oracle) accept(snap cyclam.Snapshot) {
	if snap.Version != o.latest+1 {
		o.fail(9, "version %d accepted after %d", snap.Version, o.latest)
	}
	o.latest = snap.Version
	o.accepted[snap.Version] = snap.Resources
	if missing := dangling(snap.Resources); missing != "" {
		o.fail(2, "version %d: %s", snap.Version, missing)
	}
}

// dangling names a route or rule whose service the set lacks.
func dangling(resources []cyclam.Resource) string {
	have := map[cyclam.ServiceName]bool{}
	for _, r := range resources {
		if s, ok := r.(cyclam.Service); ok {
			have[s.Name] = true
		}
	}
	for _, r := range resources {
		switch r := r.(type) {
		case cyclam.Route:
			if !have[r.Service] {
				return r.Key().String() + " points at " + string(r.Service)
			}
		case cyclam.PlacementRule:
			if !have[r.Service] {
				return r.Key().String() + " points at " + string(r.Service)
			}
		}
	}
	return ""
}

// observe checks a process after each event.
func (o *oracle) observe(p *proc, before core.State) {
	was, is := before.Conf(), p.state.Conf()
	if is.Version == was.Version {
		return
	}
	if is.Version < was.Version {
		o.fail(1, "%v went from version %d to %d", p.id(), was.Version, is.Version)
	}
	held := is.Set.Resources()
	if missing := dangling(held); missing != "" {
		o.fail(2, "%v at version %d: %s", p.id(), is.Version, missing)
	}
	want, known := o.accepted[is.Version]
	if !known {
		o.fail(3, "%v holds version %d, which was never accepted", p.id(), is.Version)
		return
	}
	if fmt.Sprint(held) != fmt.Sprint(want) {
		o.fail(3, "%v holds version %d in part: got %v, want %v", p.id(), is.Version, held, want)
	}
}

// finished checks the final answer of a call.
func (o *oracle) finished(f *callFate, verdict cyclam.Completion) {
	switch {
	case f.finished:
		o.fail(4, "%s was answered twice", f.name)
	case verdict.Outcome == cyclam.OutcomeDone && string(verdict.Answer.Body) != f.name:
		o.fail(4, "%s got the answer of %s", f.name, verdict.Answer.Body)
	case verdict.Outcome == cyclam.OutcomeDone && f.runs == 0:
		o.fail(4, "%s was called done and did not run", f.name)
	case verdict.Outcome == cyclam.OutcomeNotRun && f.runs > 0:
		o.fail(5, "%s was called not run (%s) and ran %d times", f.name, verdict.Reason, f.runs)
	}
}

// sent checks that no attempt leaves the places that its sender's version allows.
func (o *oracle) sent(p *proc, e cyclam.SendAttempt) {
	if !o.allows(p.state.Conf().Version, e.Endpoint.Service, e.Endpoint.Locality) {
		o.fail(10, "%v sent %s to %v", p.id(), e.Endpoint.Service, e.Endpoint.Locality)
	}
}

// allows reads the rules of an accepted version straight from its resources.
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

// started checks a call whose work begins.
func (o *oracle) started(p *proc, a *attemptFate) {
	f := a.call
	if !f.idempotent && f.runs > 1 {
		o.fail(6, "%s ran %d times", f.name, f.runs)
	}
	if f.finished && f.verdict.Outcome == cyclam.OutcomeNotRun {
		o.fail(5, "%s ran after it was called not run (%s)", f.name, f.verdict.Reason)
	}
	if !p.stoppedAt.IsZero() && a.arrived.After(p.stoppedAt) {
		o.fail(7, "%v started %s, which arrived after it began to leave", p.id(), f.name)
	}
	self := p.state.Tree.Self
	if !o.allows(p.state.Conf().Version, self.Service, self.Locality) {
		o.fail(10, "%v ran %s of %s", p.id(), f.name, self.Service)
	}
}

// exited checks that a planned stop leaves nothing behind.
func (o *oracle) exited(w *world, p *proc) {
	for _, a := range w.calls.attempts {
		if a.target == p && a.running {
			o.fail(8, "%v stopped while %s was running", p.id(), a.call.name)
		}
	}
	for _, f := range w.calls.calls {
		if f.entry == p && !f.finished {
			o.fail(8, "%v stopped before %s was answered", p.id(), f.name)
		}
	}
}
