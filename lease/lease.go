// Package lease decides when a node acquires, renews and loses a control role. It
// runs in the tree reducer, on ticks and on the replies of the platform.
//
// A claim is an object in the platform that is changed by conditional writes only.
// A holder renews it by incrementing its renewal counter; an observer may take it
// over once the object has not changed for a whole term by the observer's own
// clock. The clocks of two nodes are never compared. A holder that was paused past
// its term loses the claim when the platform rejects its conditional write.
package lease

import (
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Claim tracks one claim object from the view of one node. It is immutable:
// methods return the changed copy.
type Claim struct {
	Name string
	// Term is how long a claim stays valid without a change.
	Term time.Duration
	// Self is the content that this node writes as holder.
	Self cyclam.Claim

	// revision is the platform's revision last seen; 0 means that the object does
	// not exist or has not been read.
	revision uint64
	observed cyclam.Claim
	// changedAt is when this node first saw the current revision.
	changedAt time.Time
	// renewedAt is when the last call that has shown this node as the holder was sent: the
	// node may have stood still until its answer was read.
	renewedAt time.Time
	held      bool
	// inFlight is set while a read or a write awaits its result.
	inFlight bool
	// sentAt is when it was sent.
	sentAt time.Time
}

// Op is the platform call that a claim needs next.
type Op uint8

// The platform calls that a claim can need.
const (
	OpNone Op = iota
	OpRead
	OpWrite
)

// Held reports whether this node is the holder as of the last read or write.
// Another node may have taken the claim over since.
func (c Claim) Held() bool { return c.held }

// Holder returns the claim last read from the platform, and whether there is one.
func (c Claim) Holder() (cyclam.Claim, bool) { return c.observed, c.revision != 0 }

// Revision returns the revision last seen, on which a release is conditional.
func (c Claim) Revision() uint64 { return c.revision }

// Expired reports whether the claim may be taken over.
func (c Claim) Expired(now time.Time) bool {
	return c.revision == 0 || now.Sub(c.changedAt) >= c.Term
}

// ExpiresAt returns when the claim may be taken over unless it changes before.
func (c Claim) ExpiresAt() time.Time { return c.changedAt.Add(c.Term) }

// Renew returns a write if a held claim is due for renewal, which it is after a
// third of the term, and marks the write as in flight. A claim that is not held
// is read only on demand, by Seek.
func (c Claim) Renew(now time.Time) (Claim, Op) {
	if c.inFlight || !c.held || now.Sub(c.renewedAt) < c.Term/3 {
		return c, OpNone
	}
	return c.withCall(now), OpWrite
}

// withCall records that a read or a write is sent.
func (c Claim) withCall(now time.Time) Claim {
	c.inFlight, c.sentAt = true, now
	return c
}

// Seek returns the operation for a node that looks for the role's holder, and
// marks it as in flight: a write that acquires the claim if takeOver is set and
// the claim has expired, otherwise a read.
func (c Claim) Seek(now time.Time, takeOver bool) (Claim, Op) {
	if c.inFlight || c.held {
		return c, OpNone
	}
	c = c.withCall(now)
	if takeOver && c.Expired(now) {
		return c, OpWrite
	}
	return c, OpRead
}

// Object returns the object to write in order to acquire or renew the claim.
func (c Claim) Object() cyclam.Object {
	claim := c.Self
	claim.Renewals = c.observed.Renewals + 1
	spec, err := json.Marshal(claim)
	if err != nil {
		panic(errors.Wrap(err, "encode claim "+c.Name))
	}
	return cyclam.Object{
		Kind:     cyclam.KindClaim,
		Name:     c.Name,
		Position: cyclam.AtRevision(c.revision),
		Spec:     spec,
	}
}

// WithRead applies the result of a read. It reports whether the state of the object
// is known now, which includes that the object does not exist.
func (c Claim) WithRead(now time.Time, object cyclam.Object, err error) (Claim, bool) {
	c.inFlight = false
	if errors.Is(err, cyclam.ErrNotFound) {
		c.revision = 0
		c.observed = cyclam.Claim{}
		c.held = false
		return c, true
	}
	if err != nil {
		return c, false
	}
	return c.withObject(now, object), true
}

// WithWrite applies the result of a write. After a conflict, or if the object no
// longer exists, the claim is not held any more. After any other error the write
// may or may not have taken effect. In both cases the claim has to be read again
// before the next decision.
func (c Claim) WithWrite(now time.Time, object cyclam.Object, err error) (Claim, Op) {
	c.inFlight = false
	if err == nil {
		c = c.withObject(now, object)
		return c, OpNone
	}
	if errors.Is(err, cyclam.ErrConflict) || errors.Is(err, cyclam.ErrNotFound) {
		c.held = false
	}
	c.renewedAt = now
	return c.withCall(now), OpRead
}

// WithRelease returns the claim as no longer held by this node.
func (c Claim) WithRelease() Claim {
	c.held = false
	return c
}

// withObject records the object read or written. Content that can't be decoded
// counts as a claim without a holder, which expires after a term.
func (c Claim) withObject(now time.Time, object cyclam.Object) Claim {
	var claim cyclam.Claim
	if err := json.Unmarshal(object.Spec, &claim); err != nil {
		claim = cyclam.Claim{}
	}
	if object.Revision != c.revision {
		c.changedAt = now
	}
	c.revision = object.Revision
	c.observed = claim
	c.held = claim.Holder == c.Self.Holder
	if c.held {
		c.renewedAt = c.sentAt
	}
	return c
}
