package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// fenceSets holds the ids of attempts that must not run, or not run again, if a
// message about them arrives late.
type fenceSets struct {
	// revoked holds attempts that must not start.
	revoked expiringSet
	// discarded holds attempts that were accepted here and whose answers are no longer held.
	discarded expiringSet
}

// expiringSet is a set of attempt ids that drops an entry one to two rotations
// after it was added.
type expiringSet struct {
	recent    map[cyclam.AttemptID]bool
	older     map[cyclam.AttemptID]bool
	rotatedAt time.Time
}

// fenceRotation is longer than any request waits for its answer.
const fenceRotation = 2 * time.Minute

func (f *expiringSet) add(attempt cyclam.AttemptID) {
	if f.recent == nil {
		f.recent = map[cyclam.AttemptID]bool{}
	}
	f.recent[attempt] = true
}

func (f *expiringSet) has(attempt cyclam.AttemptID) bool {
	return f.recent[attempt] || f.older[attempt]
}

func (f *expiringSet) rotate(now time.Time) {
	if now.Sub(f.rotatedAt) < fenceRotation {
		return
	}
	f.older, f.recent, f.rotatedAt = f.recent, nil, now
}
