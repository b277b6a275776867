package conf

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Check returns every problem of the set as a whole: references to what the
// set lacks, prefixes declared twice, and rules that leave nowhere to go.
func (s Set) Check() []cyclam.Problem {
	problems := s.checkRoutes()
	problems = append(problems, s.checkPrefixes()...)
	problems = append(problems, s.checkRules()...)
	slices.SortFunc(problems, func(a, b cyclam.Problem) int {
		return strings.Compare(a.String(), b.String())
	})
	return problems
}

// CheckChanged returns the problems of a set that was consistent before some keys
// were changed; what they do not touch is not looked at again.
func (s Set) CheckChanged(keys []cyclam.Key) []cyclam.Problem {
	for _, key := range keys {
		if s.troubled(key) {
			return s.Check()
		}
	}
	return nil
}

// troubled reports whether the resource with the key, or its absence, makes the
// set inconsistent.
func (s Set) troubled(key cyclam.Key) bool {
	switch key.Kind {
	case cyclam.KindService:
		name := cyclam.ServiceName(key.Name)
		_, exists := s.services.Get(name)
		_, routed := s.routed.Get(name)
		_, placed := s.placed.Get(name)
		return !exists && (routed || placed)
	case cyclam.KindRoute:
		route, exists := s.routes.Get(key.Name)
		if !exists {
			return false
		}
		_, served := s.services.Get(route.Service)
		names, _ := s.prefixes.Get(route.PathPrefix)
		return !served || len(names) > 1
	default:
		rule, exists := s.rules.Get(key.Name)
		if !exists {
			return false
		}
		_, served := s.services.Get(rule.Service)
		rules, _ := s.placed.Get(rule.Service)
		return !served || disjoint(rules)
	}
}

func (s Set) checkRoutes() []cyclam.Problem {
	var problems []cyclam.Problem
	for it := s.routes.Iterator(); !it.Done(); {
		_, route, _ := it.Next()
		if _, ok := s.services.Get(route.Service); !ok {
			problems = append(problems, missing(route.Key(), route.Service))
		}
	}
	return problems
}

func missing(key cyclam.Key, service cyclam.ServiceName) cyclam.Problem {
	return cyclam.Problem{
		Object: key.String(),
		Path:   "spec.service",
		Reason: "got \"" + string(service) + "\", want a service that exists",
	}
}

func (s Set) checkPrefixes() []cyclam.Problem {
	var problems []cyclam.Problem
	for it := s.prefixes.Iterator(); !it.Done(); {
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
	for it := s.placed.Iterator(); !it.Done(); {
		service, rules, _ := it.Next()
		if _, ok := s.services.Get(service); !ok {
			for _, rule := range rules {
				problems = append(problems, missing(rule.Key(), service))
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

// disjoint reports whether the rules' lists have no region or no data centre
// in common.
func disjoint(rules []cyclam.PlacementRule) bool {
	var regions []cyclam.Region
	var centres []cyclam.DataCentre
	for _, rule := range rules {
		var ok bool
		if regions, ok = common(regions, rule.Regions); !ok {
			return true
		}
		if centres, ok = common(centres, rule.DataCentres); !ok {
			return true
		}
	}
	return false
}

// common intersects two lists, where an empty one allows everything.
func common[T comparable](a, b []T) ([]T, bool) {
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
