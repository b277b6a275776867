// Package roster holds what a node knows of every endpoint of the fleet.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Buckets is how many checksums summarise a roster, so that two nodes exchange
// only the parts in which they differ.
const Buckets = 256

// TombstoneAge is how long an endpoint that is gone is remembered; it has to
// exceed the longest time for which regions lose each other.
const TombstoneAge = 24 * time.Hour

// Sums holds a checksum for each bucket.
type Sums [Buckets]uint64

// Roster is an immutable view of the endpoints; changed copies share structure.
type Roster struct {
	entries  *immutable.Map[cyclam.InstanceName, cyclam.Endpoint]
	services *immutable.Map[cyclam.ServiceName, []cyclam.Endpoint]
	gone     *immutable.Map[cyclam.InstanceName, time.Time]
	total    uint64
}

// New returns an empty roster.
func New() Roster {
	return Roster{
		entries:  immutable.NewMap[cyclam.InstanceName, cyclam.Endpoint](nil),
		services: immutable.NewMap[cyclam.ServiceName, []cyclam.Endpoint](nil),
		gone:     immutable.NewMap[cyclam.InstanceName, time.Time](nil),
	}
}

// Len returns how many endpoints are known, with those that are gone.
func (r Roster) Len() int { return r.entries.Len() }

// Live returns how many endpoints are known and not gone.
func (r Roster) Live() int { return r.entries.Len() - r.gone.Len() }

// Get returns the endpoint of an instance.
func (r Roster) Get(name cyclam.InstanceName) (cyclam.Endpoint, bool) {
	return r.entries.Get(name)
}

// Service returns the endpoints of a service that are not gone, by name. The
// caller does not change the slice.
func (r Roster) Service(name cyclam.ServiceName) []cyclam.Endpoint {
	list, _ := r.services.Get(name)
	return list
}

// Sums returns the checksum of each bucket. They are worked out on demand, as
// they are needed only when two nodes meet.
func (r Roster) Sums() *Sums {
	sums := &Sums{}
	for it := r.entries.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if e.State != cyclam.EndpointGone {
			sums[Bucket(e.Instance)] ^= checksum(e)
		}
	}
	return sums
}

// Total returns a checksum over all endpoints that are not gone.
func (r Roster) Total() uint64 { return r.total }

// With returns a roster that knows the endpoint, and whether that was news.
// Anything that does not replace what is known is ignored.
func (r Roster) With(now time.Time, e cyclam.Endpoint) (Roster, bool) {
	old, known := r.entries.Get(e.Instance)
	if known && !e.Newer(old) {
		return r, false
	}
	r.entries = r.entries.Set(e.Instance, e)
	if known && listed(old) && listed(e) && old.Service == e.Service {
		r.services = r.services.Set(e.Service, replace(r.Service(e.Service), e))
		r.total ^= checksum(old) ^ checksum(e)
		return r, true
	}
	if known {
		r = r.detached(old)
	}
	if e.State == cyclam.EndpointGone {
		r.gone = r.gone.Set(e.Instance, now)
		return r, true
	}
	r.services = r.services.Set(e.Service, insert(r.Service(e.Service), e))
	return r.summed(e), true
}

// listed reports whether an endpoint stands in its service's list.
func listed(e cyclam.Endpoint) bool { return e.State != cyclam.EndpointGone }

// detached takes an endpoint out of the indexes.
func (r Roster) detached(old cyclam.Endpoint) Roster {
	if old.State == cyclam.EndpointGone {
		r.gone = r.gone.Delete(old.Instance)
		return r
	}
	left := without(r.Service(old.Service), old.Instance)
	if len(left) == 0 {
		r.services = r.services.Delete(old.Service)
	} else {
		r.services = r.services.Set(old.Service, left)
	}
	return r.summed(old)
}

func (r Roster) summed(e cyclam.Endpoint) Roster {
	r.total ^= checksum(e)
	return r
}

// Pruned returns a roster without the endpoints that have long been gone.
func (r Roster) Pruned(now time.Time) Roster {
	for it := r.gone.Iterator(); !it.Done(); {
		name, since, _ := it.Next()
		if now.Sub(since) > TombstoneAge {
			r.gone = r.gone.Delete(name)
			r.entries = r.entries.Delete(name)
		}
	}
	return r
}

// Differing returns the endpoints in the buckets whose checksums differ from
// the other side's.
func (r Roster) Differing(other *Sums) []cyclam.Endpoint {
	sums := r.Sums()
	if *other == *sums {
		return nil
	}
	return r.filter(func(e cyclam.Endpoint) bool {
		i := Bucket(e.Instance)
		return other[i] != sums[i]
	})
}

// Descendants returns the endpoints, not gone, whose chain of parents leads to an
// instance, and the instance's own.
func (r Roster) Descendants(top cyclam.InstanceName) []cyclam.Endpoint {
	return r.filter(func(e cyclam.Endpoint) bool {
		return e.State != cyclam.EndpointGone && r.leadsTo(e, top)
	})
}

func (r Roster) leadsTo(e cyclam.Endpoint, top cyclam.InstanceName) bool {
	for range maxDepth {
		if e.Instance == top {
			return true
		}
		parent, ok := r.entries.Get(e.Parent)
		if !ok || e.Parent == e.Instance {
			return false
		}
		e = parent
	}
	return false
}

// maxDepth bounds a walk along parents, which may form a loop for a moment.
const maxDepth = 32

func (r Roster) filter(keep func(cyclam.Endpoint) bool) []cyclam.Endpoint {
	var out []cyclam.Endpoint
	for it := r.entries.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if keep(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

// All returns every endpoint that is not gone, by name.
func (r Roster) All() []cyclam.Endpoint {
	return r.filter(func(e cyclam.Endpoint) bool { return e.State != cyclam.EndpointGone })
}

// The parameters of the 64-bit FNV-1a hash.
const (
	hashBasis = 14695981039346656037
	hashPrime = 1099511628211
)

func hashName(name cyclam.InstanceName) uint64 {
	h := uint64(hashBasis)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * hashPrime
	}
	return h
}

// Bucket returns the bucket of an instance.
func Bucket(name cyclam.InstanceName) int {
	return int(hashName(name) % Buckets)
}

func checksum(e cyclam.Endpoint) uint64 {
	h := hashName(e.Instance)
	for _, n := range [...]uint64{uint64(e.Incarnation), e.Sequence, uint64(e.State)} {
		_, mixed := cyclam.Rand(h ^ n).Next()
		h = mixed
	}
	return h
}

func byName(a, b cyclam.Endpoint) int {
	return strings.Compare(string(a.Instance), string(b.Instance))
}

// insert returns a new list with e in its place.
func insert(list []cyclam.Endpoint, e cyclam.Endpoint) []cyclam.Endpoint {
	i, _ := slices.BinarySearchFunc(list, e, byName)
	out := make([]cyclam.Endpoint, 0, len(list)+1)
	out = append(out, list[:i]...)
	out = append(out, e)
	return append(out, list[i:]...)
}

// without returns a new list that lacks an instance.
func without(list []cyclam.Endpoint, name cyclam.InstanceName) []cyclam.Endpoint {
	out := make([]cyclam.Endpoint, 0, len(list))
	for _, e := range list {
		if e.Instance != name {
			out = append(out, e)
		}
	}
	return out
}

// replace returns a new list in which e stands for its namesake.
func replace(list []cyclam.Endpoint, e cyclam.Endpoint) []cyclam.Endpoint {
	out := slices.Clone(list)
	i, _ := slices.BinarySearchFunc(out, e, byName)
	out[i] = e
	return out
}
