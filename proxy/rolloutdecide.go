package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/pkg/errors"
)

const (
	// rankDelay is how much later than the one before it a reader of the store writes what is
	// due, and regionDelay how much later than the first region another one begins.
	rankDelay   = 250 * time.Millisecond
	regionDelay = 125 * time.Millisecond
	// rolloutRetry is the pause after a write that has failed.
	rolloutRetry = 300 * time.Millisecond
	// rolloutWriteTimeout bounds one write.
	rolloutWriteTimeout = 1500 * time.Millisecond
)

// decideRollouts judges the rollouts and writes what is due, until ctx ends. Every reader of the
// store decides by the same rules; the writes are conditional, so that one of them counts.
func (n *Node) decideRollouts(ctx context.Context) error {
	if !n.followsRollouts() {
		return nil
	}
	for sleep(ctx, rolloutInterval) {
		n.rollouts.mu.Lock()
		var services []cyclam.ServiceName
		for service, s := range n.rollouts.services {
			if !s.Stage().IsFinal() || s.lost {
				services = append(services, service)
			}
		}
		n.rollouts.mu.Unlock()
		if len(services) == 0 {
			continue
		}
		n.tellFence()
		plan := n.plan()
		for _, service := range services {
			n.judgeRollout(service)
			if plan.Reader {
				n.decideRollout(ctx, service, n.decisionDelay(plan.Rank))
			}
		}
	}
	return nil
}

// tellFence tells the other nodes as soon as this one is fenced.
func (n *Node) tellFence() {
	if !n.isFenced(n.Settings.Self.Service) {
		return
	}
	n.rollouts.mu.Lock()
	s := n.rollouts.services[n.Settings.Self.Service]
	news := s != nil && !s.fenced[n.self]
	if news {
		s.fenced[n.self] = true
	}
	n.rollouts.mu.Unlock()
	if news {
		n.Log.Info("rollout-fenced", "service", n.Settings.Self.Service)
		n.spreadRollouts()
	}
}

// decisionDelay returns how long this node leaves a decision to those before it.
func (n *Node) decisionDelay(rank int) time.Duration {
	regions := map[cyclam.Region]bool{}
	n.mu.Lock()
	for _, m := range n.fleet.members {
		if r := m.view.Endpoint.Locality.Region; r < n.Settings.Self.Locality.Region {
			regions[r] = true
		}
	}
	n.mu.Unlock()
	return time.Duration(rank)*rankDelay + time.Duration(min(len(regions), 4))*regionDelay
}

// decideRollout writes the status that is due for a service, once it has been due for delay.
func (n *Node) decideRollout(ctx context.Context, service cyclam.ServiceName, delay time.Duration) {
	now := time.Now()
	view := n.rolloutView(service, now)
	status, due := n.Settings.Rollout.Next(view)
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[service]
	if s == nil || s.writing || s.Position != view.Rollout.Position {
		return
	}
	if s.lost {
		status, due = s.Status, true
	}
	if !due {
		s.dueSince = time.Time{}
		return
	}
	if s.dueSince.IsZero() || s.due.Order != status.Order || s.due.Stage != status.Stage || s.due.Step != status.Step {
		s.due, s.dueSince = status, now
	}
	if now.Sub(s.dueSince) < delay || now.Before(s.retryAt) {
		return
	}
	s.writing = true
	go n.writeRollout(ctx, view.Rollout.WithStatus(status), view)
}

// rolloutView returns what this node knows of a service's rollout.
func (n *Node) rolloutView(service cyclam.ServiceName, now time.Time) canary.View {
	own := n.Settings.Self
	own.State = cyclam.EndpointDown
	if c, ok := n.localCandidate(service, now); ok {
		own = c.Endpoint
		own.Slots = uint32(c.Load.Limit)
	}
	n.mu.Lock()
	partial := !n.fleet.store.listed
	endpoints := []cyclam.Endpoint{own}
	for _, m := range n.fleet.members {
		if m.view.Endpoint.Service == service {
			endpoints = append(endpoints, m.view.Endpoint)
		}
	}
	n.mu.Unlock()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[service]
	v := canary.View{
		Rollout: s.Rollout,
		Age:     now.Sub(s.since),
		Halted:  s.halted,
		Partial: partial,
		Verdict: s.evidence.Judge(now.Sub(s.since)),
	}
	counts := map[string]int{}
	for _, e := range endpoints {
		if e.Service != service || e.State == cyclam.EndpointGone || e.State == cyclam.EndpointDown {
			continue
		}
		ready := e.State == cyclam.EndpointReady
		switch {
		case e.Release == s.Release && ready:
			v.FreshSlots += int(e.Slots)
		case e.Release == s.Release:
		default:
			if ready {
				v.FormerSlots += int(e.Slots)
				counts[e.Release]++
			}
			if !s.fenced[e.Identity] {
				v.Unfenced++
			}
		}
	}
	v.From = formerRelease(s.Status, s.Release, counts)
	return v
}

// formerRelease returns the release that serves before a rollout: the one that an earlier order
// has left in place, or the one of most upstreams.
func formerRelease(last cyclam.RolloutStatus, release string, counts map[string]int) string {
	former := ""
	switch last.Stage {
	case cyclam.RolloutCompleted:
		former = last.Release
	case cyclam.RolloutRunning, cyclam.RolloutHandover, cyclam.RolloutRolledBack:
		former = last.From
	}
	if former != "" && former != release && counts[former] > 0 {
		return former
	}
	former = ""
	for name, count := range counts {
		if name != "" && (former == "" || count > counts[former] || count == counts[former] && name < former) {
			former = name
		}
	}
	return former
}

// writeRollout writes a status. If another node has written before, what it wrote is read.
func (n *Node) writeRollout(ctx context.Context, r cyclam.Rollout, view canary.View) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	stored, err := n.Rollouts.PutRolloutStatus(ctx, r)
	n.meters.countStoreCall("put-status", err)
	if errors.Is(err, cyclam.ErrConflict) {
		var object cyclam.Object
		object, err = n.Platform.Get(ctx, r.Key)
		n.meters.countStoreCall("get", err)
		if err == nil {
			stored, err = n.Rollouts.ParseRollout(object)
		}
	} else if err == nil {
		n.Log.Info("rollout-decided",
			"service", r.Service,
			"release", r.Release,
			"order", r.Order,
			"stage", r.Status.Stage.String(),
			"step", r.Status.Step,
			"reason", r.Status.Reason,
			"age", view.Age.Round(time.Millisecond),
			"runs", view.Verdict.Runs,
			"bad", view.Verdict.BadRuns,
			"former-runs", view.Verdict.FormerRuns,
			"slots", view.FreshSlots,
			"former-slots", view.FormerSlots,
			"unfenced", view.Unfenced,
		)
	}
	if err != nil {
		n.Log.Warn("rollout-status-not-written", "service", r.Service, "stage", r.Status.Stage.String(), "error", err)
	} else if n.applyRollout(stored, 0, "store") {
		n.spreadRollouts()
	}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	if s := n.rollouts.services[r.Service]; s != nil {
		s.writing, s.dueSince = false, time.Time{}
		if err != nil {
			s.retryAt = time.Now().Add(rolloutRetry)
		}
	}
}
