package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// fences holds the attempts about which something must not be forgotten soon.
type fences struct {
	// never holds attempts that must not start.
	never attempts
	// spent holds attempts that were seen and whose answers are gone.
	spent attempts
}

// attempts is a set that forgets its entries after one to two turns.
type attempts struct {
	recent map[cyclam.AttemptID]bool
	older  map[cyclam.AttemptID]bool
	turned time.Time
}

// fenceTurn is longer than any request waits for its answer.
const fenceTurn = 2 * time.Minute

func (f *attempts) add(attempt cyclam.AttemptID) {
	if f.recent == nil {
		f.recent = map[cyclam.AttemptID]bool{}
	}
	f.recent[attempt] = true
}

func (f *attempts) has(attempt cyclam.AttemptID) bool {
	return f.recent[attempt] || f.older[attempt]
}

func (f *attempts) turn(now time.Time) {
	if now.Sub(f.turned) < fenceTurn {
		return
	}
	f.older, f.recent, f.turned = f.recent, nil, now
}
