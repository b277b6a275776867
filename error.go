package cyclam

import "github.com/pkg/errors"

// The errors that a Platform returns, possibly wrapped.
var (
	// ErrConflict means that the stored revision is not the expected one.
	ErrConflict    = errors.New("object was changed by another writer")
	ErrNotFound    = errors.New("object not found")
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that a watch starts at a revision that is no longer held.
	ErrCompacted = errors.New("watch start is no longer held")
	// ErrStaleEra means that the store has returned from an older copy since the
	// position in the call was read. The caller has to read again first.
	ErrStaleEra = errors.New("position is of an older era of the store")
	// ErrInvalid means that the platform refused a request as malformed.
	ErrInvalid = errors.New("request refused as invalid")
)

// StepError adds the step and the peer at which an error occurred.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error returns step, peer and cause on one line.
func (e *StepError) Error() string {
	return e.Step + " at " + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// AtStep wraps err with a step and a peer; it returns nil if err is nil.
func AtStep(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{
		Step: step,
		Peer: peer,
		Err:  err,
	}
}
