package conf

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Decision is the result of validating an operator's object.
type Decision string

// The decisions, as written in an object's status.
const (
	Accepted Decision = "accepted"
	Rejected Decision = "rejected"
	// Waiting means that other objects of the same change have not been written yet.
	Waiting Decision = "waiting"
)

// ObjectDecision is the decision on one object at one revision.
type ObjectDecision struct {
	Object   cyclam.Key
	Revision uint64
	Decision Decision
	Problems []cyclam.Problem
}

type objectMap = immutable.Map[string, cyclam.Object]

// Staging is an immutable mirror of the operators' objects that decides which changes
// to accept.
type Staging struct {
	objects *objectMap
	// dirty holds the keys whose stored object may differ from the accepted resource.
	dirty *immutable.Map[string, cyclam.Key]
}

// NewStaging returns an empty staging area.
func NewStaging() Staging {
	return Staging{
		objects: immutable.NewMap[string, cyclam.Object](nil),
		dirty:   immutable.NewMap[string, cyclam.Key](nil),
	}
}

// WithList returns a staging area that holds the listed objects instead. Keys of the
// accepted set that are not in the list count as deleted.
func (s Staging) WithList(objects []cyclam.Object, accepted Set) Staging {
	s = NewStaging()
	for _, object := range objects {
		s = s.WithEvent(cyclam.ObjectEvent{
			Object: object,
		})
	}
	for _, resource := range accepted.Resources() {
		key := resource.Key()
		s.dirty = s.dirty.Set(key.String(), key)
	}
	return s
}

// WithEvent returns a copy with one event of a watch applied.
func (s Staging) WithEvent(event cyclam.ObjectEvent) Staging {
	key := event.Object.Key()
	if !key.Kind.IsOperator() {
		return s
	}
	name := key.String()
	s.dirty = s.dirty.Set(name, key)
	if event.Deleted {
		s.objects = s.objects.Delete(name)
		return s
	}
	s.objects = s.objects.Set(name, event.Object)
	return s
}

// group is one change, which is atomic: all its objects are accepted, or none.
type group struct {
	revision    uint64
	memberCount int
	objects     []cyclam.Object
	deleted     []cyclam.Key
}

// Decide accepts the changes that leave the set consistent, in the order in which they
// were written. It repeats this until no further change can be accepted, as a change
// may depend on a later one. It returns the new set and a decision for each object
// examined. Changes that were not accepted stay staged and are examined again.
func (s Staging) Decide(accepted Set) (Staging, Set, []ObjectDecision) {
	groups, unchanged := s.groups(accepted)
	set := accepted
	decisions := map[string]ObjectDecision{}
	group{
		objects: unchanged,
	}.recordDecisions(decisions, nil)
	for progress := true; progress; {
		progress = false
		var rejected []group
		for _, g := range groups {
			next, problems := g.apply(set)
			if len(problems) > 0 {
				g.recordDecisions(decisions, problems)
				rejected = append(rejected, g)
				continue
			}
			g.recordDecisions(decisions, nil)
			set = next
			progress = true
		}
		groups = rejected
	}
	s.dirty = immutable.NewMap[string, cyclam.Key](nil)
	for _, g := range groups {
		for _, key := range g.keys() {
			s.dirty = s.dirty.Set(key.String(), key)
		}
	}
	return s, set, sortedDecisions(decisions)
}

// groups returns the changes that the dirty objects belong to, and the objects that
// match the accepted set already.
func (s Staging) groups(accepted Set) ([]group, []cyclam.Object) {
	byID := map[string]*group{}
	var unchanged []cyclam.Object
	shared := false
	for it := s.dirty.Iterator(); !it.Done(); {
		name, key, _ := it.Next()
		object, stored := s.objects.Get(name)
		if !stored {
			if _, held := accepted.Get(key); held {
				byID["delete/"+name] = &group{
					deleted: []cyclam.Key{key},
				}
			}
			continue
		}
		if matchesAccepted(object, accepted) {
			unchanged = append(unchanged, object)
			continue
		}
		id, memberCount := changeOf(object)
		if memberCount > 1 {
			shared = true
			byID[id] = &group{
				memberCount: memberCount,
			}
			continue
		}
		byID[id] = &group{
			memberCount: memberCount,
			revision:    object.Revision,
			objects:     []cyclam.Object{object},
		}
	}
	if shared {
		s.collectMembers(byID)
	}
	return sortedGroups(byID), unchanged
}

// collectMembers adds all stored objects to the changes of several objects, so that
// each change is validated as a whole.
func (s Staging) collectMembers(byID map[string]*group) {
	for it := s.objects.Iterator(); !it.Done(); {
		_, object, _ := it.Next()
		id, memberCount := changeOf(object)
		g := byID[id]
		if g == nil || memberCount < 2 {
			continue
		}
		g.revision = max(g.revision, object.Revision)
		g.objects = append(g.objects, object)
	}
}

func matchesAccepted(object cyclam.Object, accepted Set) bool {
	held, ok := accepted.Get(object.Key())
	if !ok {
		return false
	}
	resource, problems := Parse(object)
	return len(problems) == 0 && string(encodeSpec(resource)) == string(encodeSpec(held))
}

func sortedGroups(byID map[string]*group) []group {
	groups := make([]group, 0, len(byID))
	for _, g := range byID {
		slices.SortFunc(g.objects, func(a, b cyclam.Object) int { return compareKeys(a.Key(), b.Key()) })
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(a, b group) int {
		if a.revision != b.revision {
			return cmp.Compare(a.revision, b.revision)
		}
		return compareKeys(a.keys()[0], b.keys()[0])
	})
	return groups
}

func changeOf(object cyclam.Object) (string, int) {
	if object.Change == nil || object.Change.ID == "" {
		return "object/" + object.Key().String(), 1
	}
	return "change/" + object.Change.ID, object.Change.Count
}

func (g group) keys() []cyclam.Key {
	keys := slices.Clone(g.deleted)
	for _, object := range g.objects {
		keys = append(keys, object.Key())
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// apply returns the set after the whole change, or the problems that the change
// would cause.
func (g group) apply(set Set) (Set, []cyclam.Problem) {
	var problems []cyclam.Problem
	if len(g.objects) < g.memberCount {
		return set, g.incomplete()
	}
	next := set
	for _, object := range g.objects {
		resource, faults := Parse(object)
		problems = append(problems, faults...)
		if len(faults) == 0 {
			next = next.With(resource)
		}
	}
	for _, key := range g.deleted {
		next = next.Without(key)
	}
	if len(problems) > 0 {
		return set, problems
	}
	if next.Digest() == set.Digest() {
		return next, nil
	}
	if problems = next.CheckChanged(g.keys()); len(problems) > 0 {
		return set, problems
	}
	return next, nil
}

func (g group) incomplete() []cyclam.Problem {
	return []cyclam.Problem{{
		Object: g.keys()[0].String(),
		Path:   "change",
		Reason: "holds " + strconv.Itoa(len(g.objects)) + " of " + strconv.Itoa(g.memberCount) + " objects",
	}}
}

func (g group) recordDecisions(decisions map[string]ObjectDecision, problems []cyclam.Problem) {
	decision := Accepted
	switch {
	case len(problems) > 0 && len(g.objects) < g.memberCount:
		decision = Waiting
	case len(problems) > 0:
		decision = Rejected
	}
	for _, object := range g.objects {
		decisions[object.Key().String()] = ObjectDecision{
			Object:   object.Key(),
			Revision: object.Revision,
			Decision: decision,
			Problems: problems,
		}
	}
	for _, key := range g.deleted {
		decisions[key.String()] = ObjectDecision{
			Object:   key,
			Decision: decision,
			Problems: problems,
		}
	}
}

func sortedDecisions(decisions map[string]ObjectDecision) []ObjectDecision {
	out := make([]ObjectDecision, 0, len(decisions))
	for _, d := range decisions {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b ObjectDecision) int { return compareKeys(a.Object, b.Object) })
	return out
}

// Difference returns the upserts and deletes that turn the set a into the set b. Only
// the given keys are compared.
func Difference(a, b Set, keys []cyclam.Key) ([]cyclam.Resource, []cyclam.Key) {
	var upserts []cyclam.Resource
	var deletes []cyclam.Key
	for _, key := range keys {
		old, had := a.Get(key)
		updated, has := b.Get(key)
		switch {
		case has && (!had || string(encodeSpec(old)) != string(encodeSpec(updated))):
			upserts = append(upserts, updated)
		case had && !has:
			deletes = append(deletes, key)
		}
	}
	return upserts, deletes
}

func compareKeys(a, b cyclam.Key) int {
	if a.Kind != b.Kind {
		return strings.Compare(string(a.Kind), string(b.Kind))
	}
	return strings.Compare(a.Name, b.Name)
}
