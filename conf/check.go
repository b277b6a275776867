package conf

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Check validates the set as a whole. It returns all problems, sorted: references to
// missing services, path prefixes used by several routes, and placement rules of a
// service that together allow no locality.
func (s Set) Check() []cyclam.Problem {
	problems := s.checkRoutes()
	problems = append(problems, s.checkPrefixes()...)
	problems = append(problems, s.checkRules()...)
	slices.SortFunc(problems, func(a, b cyclam.Problem) int {
		return strings.Compare(a.String(), b.String())
	})
	return problems
}

// CheckChanged validates a set that was consistent before the given keys changed. Only
// the resources related to these keys are examined; if one of them is inconsistent, the
// problems of the whole set are returned.
func (s Set) CheckChanged(keys []cyclam.Key) []cyclam.Problem {
	for _, key := range keys {
		if s.inconsistent(key) {
			return s.Check()
		}
	}
	return nil
}

// inconsistent reports whether the presence or absence of the key's resource makes the
// set inconsistent.
func (s Set) inconsistent(key cyclam.Key) bool {
	switch key.Kind {
	case cyclam.KindService:
		name := cyclam.ServiceName(key.Name)
		_, exists := s.services.Get(name)
		_, routed := s.routeCounts.Get(name)
		_, placed := s.rulesByService.Get(name)
		return !exists && (routed || placed)
	case cyclam.KindRoute:
		route, exists := s.routes.Get(key.Name)
		if !exists {
			return false
		}
		_, served := s.services.Get(route.Service)
		names, _ := s.routesByPrefix.Get(route.PathPrefix)
		return !served || len(names) > 1
	default:
		rule, exists := s.rules.Get(key.Name)
		if !exists {
			return false
		}
		_, served := s.services.Get(rule.Service)
		rules, _ := s.rulesByService.Get(rule.Service)
		return !served || disjoint(rules)
	}
}

func (s Set) checkRoutes() []cyclam.Problem {
	var problems []cyclam.Problem
	for it := s.routes.Iterator(); !it.Done(); {
		_, route, _ := it.Next()
		if _, ok := s.services.Get(route.Service); !ok {
			problems = append(problems, missingService(route.Key(), route.Service))
		}
	}
	return problems
}

func missingService(key cyclam.Key, service cyclam.ServiceName) cyclam.Problem {
	return cyclam.Problem{
		Object: key.String(),
		Path:   "spec.service",
		Reason: "got \"" + string(service) + "\", want a service that exists",
	}
}

func (s Set) checkPrefixes() []cyclam.Problem {
	var problems []cyclam.Problem
	for it := s.routesByPrefix.Iterator(); !it.Done(); {
		prefix, names, _ := it.Next()
		if len(names) < 2 {
			continue
		}
		sorted := slices.Sorted(slices.Values(names))
		problems = append(problems, cyclam.Problem{
			Object: cyclam.Key{
				Kind: cyclam.KindRoute,
				Name: sorted[len(sorted)-1],
			}.String(),
			Path:   "spec.path-prefix",
			Reason: "\"" + prefix + "\" is taken by route/" + sorted[0],
		})
	}
	return problems
}

func (s Set) checkRules() []cyclam.Problem {
	var problems []cyclam.Problem
	for it := s.rulesByService.Iterator(); !it.Done(); {
		service, rules, _ := it.Next()
		if _, ok := s.services.Get(service); !ok {
			for _, rule := range rules {
				problems = append(problems, missingService(rule.Key(), service))
			}
		}
		if disjoint(rules) {
			problems = append(problems, cyclam.Problem{
				Object: rules[len(rules)-1].Key().String(),
				Path:   "spec",
				Reason: "with the other rules of " + string(service) + " no place is left, want at least one region and data centre in common",
			})
		}
	}
	return problems
}

// disjoint reports whether the rules have no region or no data centre in common.
func disjoint(rules []cyclam.PlacementRule) bool {
	var regions []cyclam.Region
	var centres []cyclam.DataCentre
	for _, rule := range rules {
		var ok bool
		if regions, ok = intersect(regions, rule.Regions); !ok {
			return true
		}
		if centres, ok = intersect(centres, rule.DataCentres); !ok {
			return true
		}
	}
	return false
}

// intersect returns the elements that both lists allow, and false if there are none.
// An empty list allows everything.
func intersect[T comparable](a, b []T) ([]T, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	var both []T
	for _, x := range a {
		if slices.Contains(b, x) {
			both = append(both, x)
		}
	}
	return both, len(both) > 0
}
