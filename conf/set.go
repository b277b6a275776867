package conf

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Set is an immutable set of resources with the indexes that routing and validation
// need.
type Set struct {
	services *immutable.Map[cyclam.ServiceName, cyclam.Service]
	routes   *immutable.Map[string, cyclam.Route]
	rules    *immutable.Map[string, cyclam.PlacementRule]
	// routesByPrefix holds the names of the routes by path prefix.
	routesByPrefix *immutable.Map[string, []string]
	// routeCounts holds the number of routes of each service.
	routeCounts *immutable.Map[cyclam.ServiceName, int]
	// rulesByService holds the placement rules of each service.
	rulesByService *immutable.Map[cyclam.ServiceName, []cyclam.PlacementRule]
	digest         cyclam.Digest
}

// NewSet returns the empty set.
func NewSet() Set {
	return Set{
		services:       immutable.NewMap[cyclam.ServiceName, cyclam.Service](nil),
		routes:         immutable.NewMap[string, cyclam.Route](nil),
		rules:          immutable.NewMap[string, cyclam.PlacementRule](nil),
		routesByPrefix: immutable.NewMap[string, []string](nil),
		routeCounts:    immutable.NewMap[cyclam.ServiceName, int](nil),
		rulesByService: immutable.NewMap[cyclam.ServiceName, []cyclam.PlacementRule](nil),
	}
}

// Len returns the number of resources in the set.
func (s Set) Len() int { return s.services.Len() + s.routes.Len() + s.rules.Len() }

// Digest returns a digest of the content that does not depend on the order of changes:
// the XOR of the resources' SHA-256 sums.
func (s Set) Digest() cyclam.Digest { return s.digest }

// Get returns the resource with the key, and whether it exists.
func (s Set) Get(key cyclam.Key) (cyclam.Resource, bool) {
	switch key.Kind {
	case cyclam.KindService:
		return asResource(s.services.Get(cyclam.ServiceName(key.Name)))
	case cyclam.KindRoute:
		return asResource(s.routes.Get(key.Name))
	case cyclam.KindPlacementRule:
		return asResource(s.rules.Get(key.Name))
	default:
		return nil, false
	}
}

func asResource[R cyclam.Resource](resource R, ok bool) (cyclam.Resource, bool) {
	return resource, ok
}

// Service returns the service with the name, and whether it exists.
func (s Set) Service(name cyclam.ServiceName) (cyclam.Service, bool) {
	return s.services.Get(name)
}

// With returns a copy of the set with the resource added, or replaced if its key
// exists.
func (s Set) With(resource cyclam.Resource) Set {
	s = s.Without(resource.Key())
	s.digest = xorDigest(s.digest, resource)
	switch r := resource.(type) {
	case cyclam.Service:
		s.services = s.services.Set(r.Name, r)
	case cyclam.Route:
		s.routes = s.routes.Set(r.Name, r)
		s = s.withRouteCount(r.Service, 1)
		names, _ := s.routesByPrefix.Get(r.PathPrefix)
		s.routesByPrefix = s.routesByPrefix.Set(r.PathPrefix, append(slices.Clip(names), r.Name))
	case cyclam.PlacementRule:
		s.rules = s.rules.Set(r.Name, r)
		rules, _ := s.rulesByService.Get(r.Service)
		s.rulesByService = s.rulesByService.Set(r.Service, append(slices.Clip(rules), r))
	}
	return s
}

// Without returns a copy of the set without the key.
func (s Set) Without(key cyclam.Key) Set {
	old, ok := s.Get(key)
	if !ok {
		return s
	}
	s.digest = xorDigest(s.digest, old)
	switch r := old.(type) {
	case cyclam.Service:
		s.services = s.services.Delete(r.Name)
	case cyclam.Route:
		s.routes = s.routes.Delete(r.Name)
		s = s.withRouteCount(r.Service, -1)
		s.routesByPrefix = s.withoutPrefix(r)
	case cyclam.PlacementRule:
		s.rules = s.rules.Delete(r.Name)
		s.rulesByService = s.withoutRule(r)
	}
	return s
}

// withRouteCount returns a copy of the set with delta added to the service's route
// count.
func (s Set) withRouteCount(service cyclam.ServiceName, delta int) Set {
	count, _ := s.routeCounts.Get(service)
	if count+delta == 0 {
		s.routeCounts = s.routeCounts.Delete(service)
		return s
	}
	s.routeCounts = s.routeCounts.Set(service, count+delta)
	return s
}

func (s Set) withoutPrefix(r cyclam.Route) *immutable.Map[string, []string] {
	names, _ := s.routesByPrefix.Get(r.PathPrefix)
	remaining := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == r.Name })
	if len(remaining) == 0 {
		return s.routesByPrefix.Delete(r.PathPrefix)
	}
	return s.routesByPrefix.Set(r.PathPrefix, remaining)
}

func (s Set) withoutRule(r cyclam.PlacementRule) *immutable.Map[cyclam.ServiceName, []cyclam.PlacementRule] {
	rules, _ := s.rulesByService.Get(r.Service)
	remaining := slices.DeleteFunc(slices.Clone(rules), func(o cyclam.PlacementRule) bool { return o.Name == r.Name })
	if len(remaining) == 0 {
		return s.rulesByService.Delete(r.Service)
	}
	return s.rulesByService.Set(r.Service, remaining)
}

// xorDigest adds a resource to a digest or, as XOR is its own inverse, removes it.
func xorDigest(d cyclam.Digest, resource cyclam.Resource) cyclam.Digest {
	sum := sha256.Sum256([]byte(resource.Key().String() + "\x00" + string(encodeSpec(resource))))
	for i := range d {
		d[i] ^= sum[i]
	}
	return d
}

// Match returns the route with the longest path prefix that matches path by whole
// segments.
func (s Set) Match(path string) (cyclam.Route, bool) {
	for prefix := path; ; {
		if names, ok := s.routesByPrefix.Get(prefix); ok {
			return s.routes.Get(names[0])
		}
		slash := strings.LastIndexByte(prefix, '/')
		switch {
		case slash > 0:
			prefix = prefix[:slash]
		case prefix != "/" && slash == 0:
			prefix = "/"
		default:
			return cyclam.Route{}, false
		}
	}
}

// Allows reports whether all placement rules of the service allow the locality.
func (s Set) Allows(service cyclam.ServiceName, at cyclam.Locality) bool {
	rules, _ := s.rulesByService.Get(service)
	for _, rule := range rules {
		if !rule.Allows(at) {
			return false
		}
	}
	return true
}

// Resources returns all resources, sorted by kind and name.
func (s Set) Resources() []cyclam.Resource {
	out := make([]cyclam.Resource, 0, s.Len())
	for it := s.services.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		out = append(out, r)
	}
	for it := s.routes.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		out = append(out, r)
	}
	for it := s.rules.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b cyclam.Resource) int {
		return compareKeys(a.Key(), b.Key())
	})
	return out
}
