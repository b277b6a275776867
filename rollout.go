package cyclam

import (
	"context"
	"time"
)

// RolloutStage tells how far a rollout has come.
type RolloutStage uint8

// The stages of a rollout. Completed and RolledBack are final.
const (
	// RolloutPending means that nothing has been decided on the order.
	RolloutPending RolloutStage = iota
	// RolloutRunning means that the new release gets a share of the requests.
	RolloutRunning
	// RolloutHandover means that the former release gets no new requests and ends those that
	// it has.
	RolloutHandover
	RolloutCompleted
	RolloutRolledBack
)

// String returns the name of the stage in logs.
func (s RolloutStage) String() string {
	switch s {
	case RolloutPending:
		return "pending"
	case RolloutRunning:
		return "running"
	case RolloutHandover:
		return "handover"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled-back"
	default:
		return "invalid"
	}
}

// IsFinal reports whether the stage is the outcome of an order.
func (s RolloutStage) IsFinal() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's order to move the traffic of a service to the upstreams of one
// release, with what has been decided on it.
type Rollout struct {
	// Key and Position are those of the stored object.
	Key Key
	Position
	// Order identifies the order: the same object with another content is another order.
	Order   string
	Service ServiceName
	Release string
	// Duration is how long the rollout may take from the order on.
	Duration time.Duration
	Status   RolloutStatus
}

// Stage returns the stage of the order. A status that was written for an earlier order does
// not count.
func (r Rollout) Stage() RolloutStage {
	if r.Status.Order != r.Order {
		return RolloutPending
	}
	return r.Status.Stage
}

// WithStatus returns the rollout with a status.
func (r Rollout) WithStatus(status RolloutStatus) Rollout {
	r.Status = status
	return r
}

// RolloutStatus is what has been decided on an order.
type RolloutStatus struct {
	// Order is that of the rollout for which the status was written.
	Order   string
	Release string
	// From is the release that served before; empty if it was not known.
	From  string
	Stage RolloutStage
	// Step is the number of the share that the new release gets while the rollout runs.
	Step int
	// Reason tells why the last decision was made.
	Reason string
}

// RolloutStore translates and writes the rollouts of one hosting environment.
type RolloutStore interface {
	// RolloutKind returns the kind of the objects that hold rollouts.
	RolloutKind() Kind
	// ParseRollout decodes a stored rollout.
	ParseRollout(object Object) (Rollout, error)
	// PutRolloutStatus writes the status of a rollout and returns the rollout as stored. It
	// returns ErrConflict unless the stored position equals that of the rollout.
	PutRolloutStatus(ctx context.Context, rollout Rollout) (Rollout, error)
}
