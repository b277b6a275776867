// Package roster holds a node's view of all endpoints of the fleet. It merges
// announcements in any order, and is used on every announcement, heartbeat and
// choice of an upstream.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Buckets is the number of checksums that summarise a roster, so that two nodes
// exchange only the buckets in which they differ.
const Buckets = 256

// TombstoneAge is how long an endpoint that is gone is kept as a tombstone, so that
// an older announcement can't bring it back. It has to exceed the longest partition
// between regions.
const TombstoneAge = 24 * time.Hour

// Sums holds one checksum per bucket.
type Sums [Buckets]uint64

// Roster is an immutable view of the endpoints. Changed copies share structure.
type Roster struct {
	entries  *immutable.Map[cyclam.InstanceName, cyclam.Endpoint]
	services *immutable.Map[cyclam.ServiceName, []cyclam.Endpoint]
	// tombstones holds when each endpoint that is gone was recorded as such.
	tombstones *immutable.Map[cyclam.InstanceName, time.Time]
	// total is the XOR of the checksums of all endpoints that are not gone.
	total uint64
}

// New returns an empty roster.
func New() Roster {
	return Roster{
		entries:    immutable.NewMap[cyclam.InstanceName, cyclam.Endpoint](nil),
		services:   immutable.NewMap[cyclam.ServiceName, []cyclam.Endpoint](nil),
		tombstones: immutable.NewMap[cyclam.InstanceName, time.Time](nil),
	}
}

// Len returns the number of known endpoints, tombstones included.
func (r Roster) Len() int { return r.entries.Len() }

// Live returns the number of known endpoints that are not gone.
func (r Roster) Live() int { return r.entries.Len() - r.tombstones.Len() }

// Get returns the endpoint of an instance, which may be gone.
func (r Roster) Get(name cyclam.InstanceName) (cyclam.Endpoint, bool) {
	return r.entries.Get(name)
}

// Service returns the endpoints of a service that are not gone, sorted by name. The
// caller must not change the slice.
func (r Roster) Service(name cyclam.ServiceName) []cyclam.Endpoint {
	list, _ := r.services.Get(name)
	return list
}

// Sums returns the checksum of each bucket over the endpoints that are not gone. It
// is computed on demand, because it is needed only when two nodes compare rosters.
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

// With returns a roster that includes the endpoint, and whether it changed. An
// endpoint that is not newer than the one known is ignored.
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
		r = r.withoutIndexed(old)
	}
	if e.State == cyclam.EndpointGone {
		r.tombstones = r.tombstones.Set(e.Instance, now)
		return r, true
	}
	r.services = r.services.Set(e.Service, insert(r.Service(e.Service), e))
	return r.withChecksum(e), true
}

// listed reports whether an endpoint belongs in the list of its service.
func listed(e cyclam.Endpoint) bool { return e.State != cyclam.EndpointGone }

// withoutIndexed removes an endpoint from the service lists, the tombstones and the
// total checksum.
func (r Roster) withoutIndexed(e cyclam.Endpoint) Roster {
	if e.State == cyclam.EndpointGone {
		r.tombstones = r.tombstones.Delete(e.Instance)
		return r
	}
	left := without(r.Service(e.Service), e.Instance)
	if len(left) == 0 {
		r.services = r.services.Delete(e.Service)
	} else {
		r.services = r.services.Set(e.Service, left)
	}
	return r.withChecksum(e)
}

// withChecksum toggles an endpoint in the total checksum: XOR adds and removes.
func (r Roster) withChecksum(e cyclam.Endpoint) Roster {
	r.total ^= checksum(e)
	return r
}

// WithoutExpired returns a roster without the tombstones older than TombstoneAge.
func (r Roster) WithoutExpired(now time.Time) Roster {
	for it := r.tombstones.Iterator(); !it.Done(); {
		name, since, _ := it.Next()
		if now.Sub(since) > TombstoneAge {
			r.tombstones = r.tombstones.Delete(name)
			r.entries = r.entries.Delete(name)
		}
	}
	return r
}

// Differing returns the endpoints in the buckets whose checksums differ from
// the other node's, sorted by name. Tombstones in those buckets are included.
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

// Descendants returns the endpoints that are not gone and whose chain of parents
// leads to an instance, and the endpoint of that instance, sorted by name.
func (r Roster) Descendants(top cyclam.InstanceName) []cyclam.Endpoint {
	return r.filter(func(e cyclam.Endpoint) bool {
		return e.State != cyclam.EndpointGone && r.descendsFrom(e, top)
	})
}

// descendsFrom reports whether a chain of parents leads from e to top.
func (r Roster) descendsFrom(e cyclam.Endpoint, top cyclam.InstanceName) bool {
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

// maxDepth bounds a walk along parents, which may form a loop for a short time.
const maxDepth = 32

// filter returns the endpoints to keep, sorted by name.
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

// All returns every endpoint that is not gone, sorted by name.
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

// Bucket returns the bucket of an instance, from 0 to Buckets-1.
func Bucket(name cyclam.InstanceName) int {
	return int(hashName(name) % Buckets)
}

// checksum hashes the fields that tell two announcements of one instance apart.
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

// insert returns a copy of a sorted list with e at its position.
func insert(list []cyclam.Endpoint, e cyclam.Endpoint) []cyclam.Endpoint {
	i, _ := slices.BinarySearchFunc(list, e, byName)
	out := make([]cyclam.Endpoint, 0, len(list)+1)
	out = append(out, list[:i]...)
	out = append(out, e)
	return append(out, list[i:]...)
}

// without returns a copy of a list without the given instance.
func without(list []cyclam.Endpoint, name cyclam.InstanceName) []cyclam.Endpoint {
	out := make([]cyclam.Endpoint, 0, len(list))
	for _, e := range list {
		if e.Instance != name {
			out = append(out, e)
		}
	}
	return out
}

// replace returns a copy of a sorted list in which e replaces the endpoint of the
// same instance.
func replace(list []cyclam.Endpoint, e cyclam.Endpoint) []cyclam.Endpoint {
	out := slices.Clone(list)
	i, _ := slices.BinarySearchFunc(out, e, byName)
	out[i] = e
	return out
}
