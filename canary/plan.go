package canary

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// View is what a node that may decide knows of one rollout.
type View struct {
	Rollout cyclam.Rollout
	// Age is the time since the order.
	Age time.Duration
	// Halted is why the new release gets no more requests; empty if it does.
	Halted  string
	Verdict Verdict
	// From is the release that serves now, as far as is known.
	From string
	// FreshSlots and FormerSlots are how many requests the ready upstreams of the new release
	// and the others run at once; Unfenced is how many nodes of the others have not confirmed
	// that nothing runs there and nothing will.
	FreshSlots  int
	FormerSlots int
	Unfenced    int
	// Partial is set if the node has not read the list of all nodes yet: the numbers above
	// say nothing.
	Partial bool
}

const (
	// enoughSlots is the part of the former release's slots that the new one needs to take
	// over.
	enoughSlots = 0.9
	// lostSlots is the part below which the handover is given up.
	lostSlots = 0.5
	// closing is the part of the duration before the deadline in which the outcome is written,
	// at most closingMax: several nodes may have to be waited for.
	closing    = 0.15
	closingMax = 2 * time.Second
)

// isQuiet reports whether the service gets so few requests that the slack covers half of those
// that are still to come.
func (v View) isQuiet(slack float64) bool {
	if v.Age <= 0 || v.Verdict.Formers == 0 {
		return false
	}
	// Only some of the upstreams' reports are known.
	upstreams := float64(max(v.Unfenced, v.Verdict.Formers)) / float64(v.Verdict.Formers)
	perSecond := float64(v.Verdict.FormerRuns) * upstreams / v.Age.Seconds()
	return 0.5*perSecond*(v.Rollout.Duration-v.Age).Seconds() < 0.8*slack
}

// The reasons of decisions.
const (
	reasonOrdered   = "ordered"
	reasonUndecided = "undecided at the deadline"
	reasonCapacity  = "too few slots at the deadline"
	reasonLost      = "upstreams were lost during the handover"
	reasonIdle      = "the former release is idle"
	reasonLate      = "the deadline comes before the former release is idle"
	reasonGood      = "answers are good"
	reasonFew       = "too few answers to tell"
)

// Next returns the status that is due; false if the present one holds. It depends on nothing but
// the view, so that any node can take over at any time.
func (t Tuning) Next(v View) (cyclam.RolloutStatus, bool) {
	r := v.Rollout
	next := r.Status
	to := func(stage cyclam.RolloutStage, step int, reason string) (cyclam.RolloutStatus, bool) {
		next.Stage, next.Step, next.Reason = stage, step, reason
		return next, true
	}
	left := r.Duration - v.Age
	ends := left <= min(closingMax, time.Duration(closing*float64(r.Duration)))
	switch stage := r.Stage(); {
	case stage.IsFinal(), v.Partial:
		return next, false
	case stage == cyclam.RolloutPending:
		next = cyclam.RolloutStatus{
			Order:   r.Order,
			Release: r.Release,
			From:    v.From,
		}
		return to(cyclam.RolloutRunning, 0, reasonOrdered)
	case v.Verdict.Bad:
		return to(cyclam.RolloutRolledBack, next.Step, v.Verdict.Reason)
	case v.Halted != "":
		return to(cyclam.RolloutRolledBack, next.Step, v.Halted)
	case stage == cyclam.RolloutHandover && float64(v.FreshSlots) < lostSlots*float64(v.FormerSlots):
		return to(cyclam.RolloutRolledBack, next.Step, reasonLost)
	case stage == cyclam.RolloutHandover && v.Unfenced == 0:
		return to(cyclam.RolloutCompleted, next.Step, reasonIdle)
	case stage == cyclam.RolloutHandover && ends:
		return to(cyclam.RolloutCompleted, next.Step, reasonLate)
	case stage == cyclam.RolloutHandover:
		return next, false
	}
	step := steps[max(0, min(next.Step, len(steps)-1))]
	over := !v.Verdict.Doubt && v.FreshSlots > 0 && v.Age >= time.Duration(step.Until*float64(r.Duration))
	good := over && (next.Step < decisive || v.Verdict.Clear)
	enough := float64(v.FreshSlots) >= enoughSlots*float64(v.FormerSlots)
	switch {
	case good && next.Step >= decisive && enough:
		return to(cyclam.RolloutHandover, next.Step, reasonGood)
	case good && next.Step == decisive-1 && v.isQuiet(t.Slack):
		return to(cyclam.RolloutRunning, next.Step+2, reasonFew)
	case good && next.Step < decisive:
		return to(cyclam.RolloutRunning, next.Step+1, reasonGood)
	case over && !good && next.Step == decisive:
		return to(cyclam.RolloutRunning, next.Step+1, reasonFew)
	case ends && good:
		return to(cyclam.RolloutRolledBack, next.Step, reasonCapacity)
	case ends:
		return to(cyclam.RolloutRolledBack, next.Step, reasonUndecided)
	}
	return next, false
}

// Access tells whether requests may go to an upstream.
type Access uint8

// The kinds of access.
const (
	// Open upstreams take any request.
	Open Access = iota
	// Sampled upstreams take those requests that the sender's share allows.
	Sampled
	// Closed upstreams take none.
	Closed
)

// formerKept is how long after its deadline an order keeps requests from releases other than the one
// that serves. A former release's upstreams have been stopped by then, and later ones of other
// releases came without an order.
const formerKept = 10 * time.Second

// former returns the release that serves until the order is carried out; empty if it is not known.
func former(r cyclam.Rollout) string {
	if r.Stage() == cyclam.RolloutPending && r.Status.Stage == cyclam.RolloutCompleted {
		// The status is that of an earlier order.
		return r.Status.Release
	}
	return r.Status.From
}

// AccessOf returns the access to the upstreams of a release at a time since the order. Halted is
// set once the release of the order was found to be bad.
func AccessOf(r cyclam.Rollout, age time.Duration, halted bool, release string) Access {
	stage := r.Stage()
	fresh := release == r.Release
	switch {
	case stage == cyclam.RolloutCompleted && (fresh || age > r.Duration+formerKept):
		return Open
	case stage == cyclam.RolloutCompleted:
		return Closed
	case fresh && (halted || stage == cyclam.RolloutRolledBack || stage == cyclam.RolloutPending):
		return Closed
	case fresh && stage == cyclam.RolloutHandover:
		return Open
	case fresh:
		return Sampled
	case stage == cyclam.RolloutHandover && !halted:
		return Closed
	case former(r) != "" && release != former(r) && age <= r.Duration+formerKept:
		// A release that an earlier order has named, or one that the upstream has not told yet.
		return Closed
	default:
		return Open
	}
}
