package intent

import "time"

const (
	// wordLimit is the age up to which a sender's word allows a start. An upstream must
	// not get a request more than half a second after its caller has left; the rest of that
	// is for a caller's node that is throttled at its CPU quota, for 100 ms at most.
	wordLimit = 400 * time.Millisecond
	// askAge is the age from which the sender of an attempt that may start soon is asked,
	// so that an answer that takes a quarter of a second is there before wordLimit.
	askAge = 150 * time.Millisecond
	// askInterval is the pause between two questions about one attempt: several round trips
	// between regions, so that most questions are asked once.
	askInterval = 150 * time.Millisecond
	// answerTime is the time from which a sender that has not answered counts as silent:
	// three round trips between regions.
	answerTime = 75 * time.Millisecond
)

// Word is the last that is known of a sender's wish for an attempt. The zero value is that
// of a sender that can't be asked: it holds until the sender revokes it. It is immutable.
type Word struct {
	// dated is set if the sender answers questions, so that its word may grow too old.
	dated bool
	// wantedAt is the latest time at which the sender is known to have wanted the attempt;
	// zero if none is known.
	wantedAt time.Time
	askedAt  time.Time
	// askedSince is the time of the first question since the last word; zero if there was
	// none.
	askedSince time.Time
}

// Received returns the word of an offer that is received now. If sentAt is zero or in the
// future, the time on the way is not known, and the sender has to be asked before a start.
func Received(now, sentAt time.Time) Word {
	w := Word{
		dated: true,
	}
	return w.With(now, sentAt)
}

// With returns the word after a message by which the sender wanted the attempt at a time.
func (w Word) With(now, wantedAt time.Time) Word {
	if known(now, wantedAt) && wantedAt.After(w.wantedAt) {
		w.wantedAt, w.askedSince = wantedAt, time.Time{}
	}
	return w
}

// WithQuestion returns the word after its sender has been asked.
func (w Word) WithQuestion(now time.Time) Word {
	w.askedAt = now
	if w.askedSince.IsZero() {
		w.askedSince = now
	}
	return w
}

// Silent reports whether the attempt waits for an answer of its sender that is overdue.
func (w Word) Silent(now time.Time) bool {
	return !w.Allows(now) && !w.askedSince.IsZero() && now.Sub(w.askedSince) >= answerTime
}

// Allows reports whether the attempt may start, or be sent to the upstream.
func (w Word) Allows(now time.Time) bool {
	return !w.dated || now.Sub(w.wantedAt) <= wordLimit
}

// AskDue reports whether the sender should be asked, if the attempt may start soon.
func (w Word) AskDue(now time.Time) bool {
	return w.dated && now.Sub(w.wantedAt) >= askAge && now.Sub(w.askedAt) >= askInterval
}
