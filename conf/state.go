package conf

import (
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// HistoryLimit is the maximum number of deltas that a node keeps for peers whose
// version lags behind.
const HistoryLimit = 256

// Errors for which a delta or a snapshot is not applied.
var (
	ErrOlder    = errors.New("version is not newer than the version held")
	ErrGap      = errors.New("delta does not start at the version held")
	ErrMismatch = errors.New("digest of the resulting set differs from the announced one")
	ErrInvalid  = errors.New("configuration set is inconsistent")
)

// State is the immutable configuration that a node holds, with its recent deltas.
type State struct {
	Version cyclam.Version
	Set     Set
	history []cyclam.Delta
}

// NewState returns an empty configuration at version zero.
func NewState() State {
	return State{
		Set: NewSet(),
	}
}

// WithDelta returns the state after the delta. The delta is applied as a whole: on an
// error the state is returned unchanged.
func (s State) WithDelta(d cyclam.Delta) (State, error) {
	if d.To <= s.Version {
		return s, ErrOlder
	}
	if d.From != s.Version {
		return s, ErrGap
	}
	set := s.Set
	for _, key := range d.Deletes {
		set = set.Without(key)
	}
	for _, resource := range d.Upserts {
		set = set.With(resource)
	}
	if set.Digest() != d.Result {
		return s, ErrMismatch
	}
	if problems := set.CheckChanged(deltaKeys(d)); len(problems) > 0 {
		return s, errors.Wrap(ErrInvalid, problems[0].String())
	}
	s.history = appendHistory(s.history, d)
	s.Set = set
	s.Version = d.To
	return s, nil
}

func deltaKeys(d cyclam.Delta) []cyclam.Key {
	keys := make([]cyclam.Key, 0, len(d.Deletes)+len(d.Upserts))
	keys = append(keys, d.Deletes...)
	for _, resource := range d.Upserts {
		keys = append(keys, resource.Key())
	}
	return keys
}

// WithSnapshot returns a state that holds the snapshot instead, without deltas. On an
// error the state is returned unchanged.
func (s State) WithSnapshot(snap cyclam.Snapshot) (State, error) {
	if snap.Version <= s.Version {
		return s, ErrOlder
	}
	set := NewSet()
	for _, resource := range snap.Resources {
		set = set.With(resource)
	}
	if err := verify(set, snap.Result); err != nil {
		return s, err
	}
	return State{
		Version: snap.Version,
		Set:     set,
	}, nil
}

// Snapshot returns the configuration held as a snapshot.
func (s State) Snapshot() cyclam.Snapshot {
	return cyclam.Snapshot{
		Version:   s.Version,
		Resources: s.Set.Resources(),
		Result:    s.Set.Digest(),
	}
}

// Since returns the deltas that lead from a version to the one held, and false if the
// history does not reach back to that version.
func (s State) Since(from cyclam.Version) ([]cyclam.Delta, bool) {
	if from == s.Version {
		return nil, true
	}
	for i, d := range s.history {
		if d.From == from {
			return s.history[i:], true
		}
	}
	return nil, false
}

func verify(set Set, want cyclam.Digest) error {
	if set.Digest() != want {
		return ErrMismatch
	}
	if problems := set.Check(); len(problems) > 0 {
		return errors.Wrap(ErrInvalid, problems[0].String())
	}
	return nil
}

func appendHistory(history []cyclam.Delta, d cyclam.Delta) []cyclam.Delta {
	if len(history) >= HistoryLimit {
		kept := make([]cyclam.Delta, 0, HistoryLimit)
		kept = append(kept, history[len(history)-HistoryLimit/2:]...)
		return append(kept, d)
	}
	return append(history[:len(history):len(history)], d)
}
