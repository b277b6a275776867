package conf

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Set is an immutable set of resources with the indexes that calls need.
type Set struct {
	services *immutable.Map[cyclam.ServiceName, cyclam.Service]
	routes   *immutable.Map[string, cyclam.Route]
	rules    *immutable.Map[string, cyclam.PlacementRule]
	// prefixes finds routes by path prefix.
	prefixes *immutable.Map[string, []string]
	// routed counts the routes of each service.
	routed *immutable.Map[cyclam.ServiceName, int]
	// placed finds rules by service.
	placed *immutable.Map[cyclam.ServiceName, []cyclam.PlacementRule]
	digest cyclam.Digest
}

// NewSet returns the empty set.
func NewSet() Set {
	return Set{
		services: immutable.NewMap[cyclam.ServiceName, cyclam.Service](nil),
		routes:   immutable.NewMap[string, cyclam.Route](nil),
		rules:    immutable.NewMap[string, cyclam.PlacementRule](nil),
		prefixes: immutable.NewMap[string, []string](nil),
		routed:   immutable.NewMap[cyclam.ServiceName, int](nil),
		placed:   immutable.NewMap[cyclam.ServiceName, []cyclam.PlacementRule](nil),
	}
}

// Len returns how many resources the set holds.
func (s Set) Len() int { return s.services.Len() + s.routes.Len() + s.rules.Len() }

// Digest returns a checksum that depends on the content alone.
func (s Set) Digest() cyclam.Digest { return s.digest }

// Get returns the resource with the key.
func (s Set) Get(key cyclam.Key) (cyclam.Resource, bool) {
	switch key.Kind {
	case cyclam.KindService:
		return found(s.services.Get(cyclam.ServiceName(key.Name)))
	case cyclam.KindRoute:
		return found(s.routes.Get(key.Name))
	case cyclam.KindPlacementRule:
		return found(s.rules.Get(key.Name))
	default:
		return nil, false
	}
}

func found[R cyclam.Resource](resource R, ok bool) (cyclam.Resource, bool) {
	return resource, ok
}

// Service returns the service with the name.
func (s Set) Service(name cyclam.ServiceName) (cyclam.Service, bool) {
	return s.services.Get(name)
}

// With returns a set in which the resource replaces its namesake.
func (s Set) With(resource cyclam.Resource) Set {
	s = s.Without(resource.Key())
	s.digest = mix(s.digest, resource)
	switch r := resource.(type) {
	case cyclam.Service:
		s.services = s.services.Set(r.Name, r)
	case cyclam.Route:
		s.routes = s.routes.Set(r.Name, r)
		s = s.counted(r.Service, 1)
		names, _ := s.prefixes.Get(r.PathPrefix)
		s.prefixes = s.prefixes.Set(r.PathPrefix, append(slices.Clip(names), r.Name))
	case cyclam.PlacementRule:
		s.rules = s.rules.Set(r.Name, r)
		rules, _ := s.placed.Get(r.Service)
		s.placed = s.placed.Set(r.Service, append(slices.Clip(rules), r))
	}
	return s
}

// Without returns a set that lacks the key.
func (s Set) Without(key cyclam.Key) Set {
	old, ok := s.Get(key)
	if !ok {
		return s
	}
	s.digest = mix(s.digest, old)
	switch r := old.(type) {
	case cyclam.Service:
		s.services = s.services.Delete(r.Name)
	case cyclam.Route:
		s.routes = s.routes.Delete(r.Name)
		s = s.counted(r.Service, -1)
		s.prefixes = s.withoutPrefix(r)
	case cyclam.PlacementRule:
		s.rules = s.rules.Delete(r.Name)
		s.placed = s.withoutPlaced(r)
	}
	return s
}

// counted changes how many routes a service has.
func (s Set) counted(service cyclam.ServiceName, by int) Set {
	count, _ := s.routed.Get(service)
	if count+by == 0 {
		s.routed = s.routed.Delete(service)
		return s
	}
	s.routed = s.routed.Set(service, count+by)
	return s
}

func (s Set) withoutPrefix(r cyclam.Route) *immutable.Map[string, []string] {
	names, _ := s.prefixes.Get(r.PathPrefix)
	left := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == r.Name })
	if len(left) == 0 {
		return s.prefixes.Delete(r.PathPrefix)
	}
	return s.prefixes.Set(r.PathPrefix, left)
}

func (s Set) withoutPlaced(r cyclam.PlacementRule) *immutable.Map[cyclam.ServiceName, []cyclam.PlacementRule] {
	rules, _ := s.placed.Get(r.Service)
	left := slices.DeleteFunc(slices.Clone(rules), func(o cyclam.PlacementRule) bool { return o.Name == r.Name })
	if len(left) == 0 {
		return s.placed.Delete(r.Service)
	}
	return s.placed.Set(r.Service, left)
}

// mix adds a resource to a digest, or takes it out again.
func mix(d cyclam.Digest, resource cyclam.Resource) cyclam.Digest {
	sum := sha256.Sum256([]byte(resource.Key().String() + "\x00" + string(encodeSpec(resource))))
	for i := range d {
		d[i] ^= sum[i]
	}
	return d
}

// Match returns the route with the longest prefix of path, by whole segments.
func (s Set) Match(path string) (cyclam.Route, bool) {
	for prefix := path; ; {
		if names, ok := s.prefixes.Get(prefix); ok {
			return s.routes.Get(names[0])
		}
		cut := strings.LastIndexByte(prefix, '/')
		switch {
		case cut > 0:
			prefix = prefix[:cut]
		case prefix != "/" && cut == 0:
			prefix = "/"
		default:
			return cyclam.Route{}, false
		}
	}
}

// Allows reports whether every rule of the service allows the place.
func (s Set) Allows(service cyclam.ServiceName, at cyclam.Locality) bool {
	rules, _ := s.placed.Get(service)
	for _, rule := range rules {
		if !rule.Allows(at) {
			return false
		}
	}
	return true
}

// Resources returns the whole set in the order of kinds and names.
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
