// Package lease decides when a node claims, renews and loses a control role.
//
// A claim is an object in the platform that only a conditional write changes. A
// holder renews it by changing its beat; an observer takes it over after the
// object has not changed for a whole term of the observer's own clock. No two
// clocks are ever compared, and a holder that was paused is refused by the
// write itself.
package lease

import (
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Claim follows one claim object. The zero revision means none was seen.
type Claim struct {
	Name string
	// Term is how long an unchanged claim stays valid.
	Term time.Duration
	// Self is what this node writes as holder.
	Self cyclam.Claim

	revision uint64
	seen     cyclam.Claim
	since    time.Time
	renewed  time.Time
	held     bool
	busy     bool
}

// Op is the platform call that a claim needs next.
type Op uint8

// The operations.
const (
	OpNone Op = iota
	OpRead
	OpWrite
)

// Held reports whether this node believes that it holds the claim.
func (c Claim) Held() bool { return c.held }

// Holder returns the holder last seen in the platform.
func (c Claim) Holder() (cyclam.Claim, bool) { return c.seen, c.revision != 0 }

// Revision returns the revision last seen, for a release.
func (c Claim) Revision() uint64 { return c.revision }

// Expired reports whether the claim may be taken over.
func (c Claim) Expired(now time.Time) bool {
	return c.revision == 0 || now.Sub(c.since) >= c.Term
}

// ExpiresAt returns when the claim may be taken over if it does not change.
func (c Claim) ExpiresAt() time.Time { return c.since.Add(c.Term) }

// Next returns the operation that is due, and marks it as under way. An
// observer reads on demand; a holder renews at a third of the term.
func (c Claim) Next(now time.Time) (Claim, Op) {
	if c.busy || !c.held || now.Sub(c.renewed) < c.Term/3 {
		return c, OpNone
	}
	c.busy = true
	return c, OpWrite
}

// Seek returns the operation by which a node that wants the role's holder
// learns of it, or takes the role over.
func (c Claim) Seek(now time.Time, known bool) (Claim, Op) {
	if c.busy || c.held {
		return c, OpNone
	}
	c.busy = true
	if known && c.Expired(now) {
		return c, OpWrite
	}
	return c, OpRead
}

// Object returns what to write to claim or renew.
func (c Claim) Object() cyclam.Object {
	claim := c.Self
	claim.Renewals = c.seen.Renewals + 1
	spec, err := json.Marshal(claim)
	if err != nil {
		panic(errors.Wrap(err, "encode claim "+c.Name))
	}
	return cyclam.Object{
		Kind:     cyclam.KindClaim,
		Name:     c.Name,
		Revision: c.revision,
		Spec:     spec,
	}
}

// Read takes in the result of a read; it reports whether anything was learnt.
func (c Claim) Read(now time.Time, object cyclam.Object, err error) (Claim, bool) {
	c.busy = false
	if errors.Is(err, cyclam.ErrNotFound) {
		c.revision = 0
		c.seen = cyclam.Claim{}
		c.held = false
		return c, true
	}
	if err != nil {
		return c, false
	}
	return c.observe(now, object), true
}

// Wrote takes in the result of a write. A conflict means that somebody else
// holds the claim; any other error leaves it open whether the write took
// effect, so the claim is read again before anything else is decided.
func (c Claim) Wrote(now time.Time, object cyclam.Object, err error) (Claim, Op) {
	c.busy = false
	if err == nil {
		c = c.observe(now, object)
		return c, OpNone
	}
	if errors.Is(err, cyclam.ErrConflict) || errors.Is(err, cyclam.ErrNotFound) {
		c.held = false
	}
	c.renewed = now
	c.busy = true
	return c, OpRead
}

// Released returns the claim as given up.
func (c Claim) Released() Claim {
	c.held = false
	return c
}

func (c Claim) observe(now time.Time, object cyclam.Object) Claim {
	var claim cyclam.Claim
	if err := json.Unmarshal(object.Spec, &claim); err != nil {
		claim = cyclam.Claim{}
	}
	if object.Revision != c.revision {
		c.since = now
	}
	c.revision = object.Revision
	c.seen = claim
	c.held = claim.Holder == c.Self.Holder
	if c.held {
		c.renewed = now
	}
	return c
}
