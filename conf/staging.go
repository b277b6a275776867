package conf

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// Decision says what became of one object of the operators.
type Decision string

// The decisions that an object's status shows.
const (
	Accepted Decision = "accepted"
	Rejected Decision = "rejected"
	// Waiting means that other objects of the same change are not there yet.
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

// Staging mirrors the operators' objects and decides which changes to accept.
type Staging struct {
	objects *objectMap
	// dirty holds the keys whose stored content may differ from the accepted.
	dirty *immutable.Map[string, cyclam.Key]
}

// NewStaging returns a staging area that has seen nothing.
func NewStaging() Staging {
	return Staging{
		objects: immutable.NewMap[string, cyclam.Object](nil),
		dirty:   immutable.NewMap[string, cyclam.Key](nil),
	}
}

// WithList replaces everything seen by a fresh list; keys of the accepted set
// that the list lacks count as deleted.
func (in Staging) WithList(objects []cyclam.Object, accepted Set) Staging {
	in = NewStaging()
	for _, object := range objects {
		in = in.WithEvent(cyclam.ObjectEvent{
			Object: object,
		})
	}
	for _, resource := range accepted.Resources() {
		key := resource.Key()
		in.dirty = in.dirty.Set(key.String(), key)
	}
	return in
}

// WithEvent records one change that a watch reported.
func (in Staging) WithEvent(event cyclam.ObjectEvent) Staging {
	key := event.Object.Key()
	if !key.Kind.IsOperator() {
		return in
	}
	name := key.String()
	in.dirty = in.dirty.Set(name, key)
	if event.Deleted {
		in.objects = in.objects.Delete(name)
		return in
	}
	in.objects = in.objects.Set(name, event.Object)
	return in
}

// group is one change: all its objects are accepted, or none.
type group struct {
	order   uint64
	want    int
	objects []cyclam.Object
	deleted []cyclam.Key
}

// Decide accepts every change that leaves the set consistent, in the order in
// which they were written, and returns the new set with a decision for each
// object looked at. Changes that were refused stay to be looked at again.
func (in Staging) Decide(accepted Set) (Staging, Set, []ObjectDecision) {
	groups, same := in.groups(accepted)
	set := accepted
	rulings := map[string]ObjectDecision{}
	group{
		objects: same,
	}.rule(rulings, nil)
	for progress := true; progress; {
		progress = false
		var left []group
		for _, g := range groups {
			next, problems := g.apply(set)
			if len(problems) > 0 {
				g.rule(rulings, problems)
				left = append(left, g)
				continue
			}
			g.rule(rulings, nil)
			set = next
			progress = true
		}
		groups = left
	}
	in.dirty = immutable.NewMap[string, cyclam.Key](nil)
	for _, g := range groups {
		for _, key := range g.keys() {
			in.dirty = in.dirty.Set(key.String(), key)
		}
	}
	return in, set, sortedRulings(rulings)
}

// groups collects the changes that the dirty objects belong to, and the objects
// that are as accepted already.
func (in Staging) groups(accepted Set) ([]group, []cyclam.Object) {
	byID := map[string]*group{}
	var same []cyclam.Object
	shared := false
	for it := in.dirty.Iterator(); !it.Done(); {
		name, key, _ := it.Next()
		object, stored := in.objects.Get(name)
		if !stored {
			if _, held := accepted.Get(key); held {
				byID["delete/"+name] = &group{
					deleted: []cyclam.Key{key},
				}
			}
			continue
		}
		if asAccepted(object, accepted) {
			same = append(same, object)
			continue
		}
		id, want := changeOf(object)
		if want > 1 {
			shared = true
			byID[id] = &group{
				want: want,
			}
			continue
		}
		byID[id] = &group{
			want:    want,
			order:   object.Revision,
			objects: []cyclam.Object{object},
		}
	}
	if shared {
		in.collect(byID)
	}
	return sortedGroups(byID), same
}

// collect adds all stored members to the changes of several objects, so that
// each is judged whole.
func (in Staging) collect(byID map[string]*group) {
	for it := in.objects.Iterator(); !it.Done(); {
		_, object, _ := it.Next()
		id, want := changeOf(object)
		g := byID[id]
		if g == nil || want < 2 {
			continue
		}
		g.order = max(g.order, object.Revision)
		g.objects = append(g.objects, object)
	}
}

func asAccepted(object cyclam.Object, accepted Set) bool {
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
		if a.order != b.order {
			return cmp.Compare(a.order, b.order)
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

// apply returns the set after the whole change, or the problems it would make.
func (g group) apply(set Set) (Set, []cyclam.Problem) {
	var problems []cyclam.Problem
	if len(g.objects) < g.want {
		return set, g.waiting()
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

func (g group) waiting() []cyclam.Problem {
	return []cyclam.Problem{{
		Object: g.keys()[0].String(),
		Path:   "change",
		Reason: "holds " + strconv.Itoa(len(g.objects)) + " of " + strconv.Itoa(g.want) + " objects",
	}}
}

func (g group) rule(rulings map[string]ObjectDecision, problems []cyclam.Problem) {
	decision := Accepted
	switch {
	case len(problems) > 0 && len(g.objects) < g.want:
		decision = Waiting
	case len(problems) > 0:
		decision = Rejected
	}
	for _, object := range g.objects {
		rulings[object.Key().String()] = ObjectDecision{
			Object:   object.Key(),
			Revision: object.Revision,
			Decision: decision,
			Problems: problems,
		}
	}
	for _, key := range g.deleted {
		rulings[key.String()] = ObjectDecision{
			Object:   key,
			Decision: decision,
			Problems: problems,
		}
	}
}

func sortedRulings(rulings map[string]ObjectDecision) []ObjectDecision {
	out := make([]ObjectDecision, 0, len(rulings))
	for _, r := range rulings {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ObjectDecision) int { return compareKeys(a.Object, b.Object) })
	return out
}

// Difference returns the delta content that turns the set a into the set b.
func Difference(a, b Set, keys []cyclam.Key) ([]cyclam.Resource, []cyclam.Key) {
	var upserts []cyclam.Resource
	var deletes []cyclam.Key
	for _, key := range keys {
		old, had := a.Get(key)
		made, has := b.Get(key)
		switch {
		case has && (!had || string(encodeSpec(old)) != string(encodeSpec(made))):
			upserts = append(upserts, made)
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
