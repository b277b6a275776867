package cyclam

import "cmp"

// Position is a place in the history of a store. The era rises each time the store
// returns from an older copy of itself; the revision rises with each change within an
// era, and is given out again in the next one. A store that is never replaced by a copy
// has era zero. The zero Position comes before all others.
type Position struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// AtRevision returns the position of a revision in a store without eras.
func AtRevision(revision uint64) Position {
	return Position{
		Revision: revision,
	}
}

// Compare returns -1 if p comes before o, 1 if it comes after o, and otherwise 0.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p comes before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// IsZero reports whether p is the zero Position, which belongs to no object.
func (p Position) IsZero() bool { return p == Position{} }
