package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/rcrowley/go-metrics"
)

// rollouts is what a node knows of the operator's rollouts. Its lock is taken last.
type rollouts struct {
	mu sync.Mutex
	// known is set once the store, or a node that knows them, has told which there are.
	known    bool
	services map[cyclam.ServiceName]*rolloutState
	// samplers pick this node's requests for a new release.
	samplers map[cyclam.ServiceName]canary.Sampler
	// seen holds when a release of a service was first seen; zero if it was there before this
	// node.
	seen map[cyclam.ServiceName]map[string]time.Time
}

// rolloutState is the newest order for a service.
type rolloutState struct {
	cyclam.Rollout

	// since is the time of the order, as far as is known.
	since time.Time
	// halted is why the new release gets no more requests; empty if it does.
	halted   string
	evidence canary.Evidence
	// own is what this node has counted of its upstream.
	own canary.Report
	// fenced holds the nodes of the former release at which nothing runs and nothing will.
	fenced map[cyclam.Identity]bool
	// due is the status that is due at this node since dueSince. It is not written before
	// retryAt, nor while writing is set.
	due      cyclam.RolloutStatus
	dueSince time.Time
	retryAt  time.Time
	writing  bool
	// lost is set if the stored status lacks the outcome that is known, because the store has
	// returned from a copy.
	lost bool
}

const (
	// rolloutWait is the mean time that a watch of rollouts waits at the store.
	rolloutWait = 10 * time.Second
	// rolloutInterval is the time between two looks at what is due.
	rolloutInterval = 100 * time.Millisecond
	// unorderedHold is how long a release that appears beside another one waits for its order.
	unorderedHold = 5 * time.Second
)

// followsRollouts reports whether the operator's bounds provide for rollouts.
func (n *Node) followsRollouts() bool {
	return n.Rollouts != nil && n.Settings.Rollout.Enabled()
}

// watchRollouts reads the rollouts from the store until ctx ends.
func (n *Node) watchRollouts(ctx context.Context) {
	f := &storeWatcher{
		node:     n,
		kind:     n.Rollouts.RolloutKind(),
		wait:     rolloutWait,
		onList:   n.applyRolloutList,
		onChange: n.applyRolloutEvent,
	}
	f.run(ctx)
}

func (n *Node) applyRolloutList(list cyclam.ObjectList) {
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
		n.applyRolloutEvent(cyclam.ObjectEvent{
			Object: o,
		})
	}
	n.rollouts.mu.Lock()
	n.rollouts.known = true
	var gone []string
	for _, s := range n.rollouts.services {
		if !listed[s.Key.Name] && s.Before(list.Position) {
			gone = append(gone, s.Key.Name)
		}
	}
	n.rollouts.mu.Unlock()
	for _, name := range gone {
		n.withdrawRollout(name)
	}
}

func (n *Node) applyRolloutEvent(e cyclam.ObjectEvent) {
	if e.Deleted {
		n.withdrawRollout(e.Object.Name)
		return
	}
	r, err := n.Rollouts.ParseRollout(e.Object)
	if err != nil {
		n.Log.Warn("rollout-unreadable", "name", e.Object.Name, "error", err)
		return
	}
	if n.applyRollout(r, 0, "store") {
		n.spreadRollouts()
	}
}

// withdrawRollout stops a rollout whose order was deleted.
func (n *Node) withdrawRollout(name string) {
	n.rollouts.mu.Lock()
	var found cyclam.Rollout
	for _, s := range n.rollouts.services {
		if s.Key.Name == name && !s.Stage().IsFinal() {
			found = s.Rollout
		}
	}
	n.rollouts.mu.Unlock()
	if found.Order != "" {
		n.haltRollout(found.Service, found.Order, "order was withdrawn")
	}
}

// applyRollout applies what the store or another node says of a rollout that was ordered age
// ago, and reports whether it was news.
func (n *Node) applyRollout(r cyclam.Rollout, age time.Duration, source string) bool {
	now := time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[r.Service]
	since := now.Add(-max(0, age))
	switch {
	case s != nil && s.Order == r.Order:
		if since.Before(s.since) {
			s.since = since
		}
		if !s.Before(r.Position) {
			return false
		}
		s.lost = s.Stage().IsFinal() && !r.Stage().IsFinal()
		if s.lost {
			r = r.WithStatus(s.Status)
		}
		s.Rollout = r
	case s != nil && !s.Before(r.Position):
		return false
	default:
		s = &rolloutState{
			Rollout: r,
			since:   since,
			fenced:  map[cyclam.Identity]bool{},
		}
		if n.rollouts.services == nil {
			n.rollouts.services = map[cyclam.ServiceName]*rolloutState{}
		}
		n.rollouts.services[r.Service] = s
	}
	n.Log.Info("rollout-changed", append(s.fields(now), "source", source)...)
	metrics.GetOrRegisterGaugeFloat64("rollout-share-"+string(r.Service), n.Metrics).Update(n.rolloutShare(s))
	return true
}

// rolloutShare returns the share of requests that goes to the new release.
func (n *Node) rolloutShare(s *rolloutState) float64 {
	switch stage := s.Stage(); {
	case stage == cyclam.RolloutCompleted, stage == cyclam.RolloutHandover && s.halted == "":
		return 1
	case stage == cyclam.RolloutRunning && s.halted == "":
		return n.Settings.Rollout.Step(s.Status.Step).Share
	default:
		return 0
	}
}

func (s *rolloutState) fields(now time.Time) []any {
	return []any{
		"service", s.Service,
		"release", s.Release,
		"order", s.Order,
		"from", s.Status.From,
		"stage", s.Stage().String(),
		"step", s.Status.Step,
		"reason", s.Status.Reason,
		"age", now.Sub(s.since).Round(time.Millisecond),
		"duration", s.Duration,
	}
}

// haltRollout keeps all requests from the release of an order, and tells the other nodes.
func (n *Node) haltRollout(service cyclam.ServiceName, order, reason string) {
	now := time.Now()
	n.rollouts.mu.Lock()
	s := n.rollouts.services[service]
	news := s != nil && s.Order == order && s.halted == "" && !s.Stage().IsFinal()
	if news {
		s.halted = reason
		v := s.evidence.Judge(now.Sub(s.since))
		n.Log.Warn("rollout-halted", append(s.fields(now), "cause", reason, "runs", v.Runs, "bad", v.BadRuns, "former-runs", v.FormerRuns)...)
		metrics.GetOrRegisterGaugeFloat64("rollout-share-"+string(service), n.Metrics).Update(0)
	}
	n.rollouts.mu.Unlock()
	if news {
		n.spreadRollouts()
	}
}

// judgeRollout halts a rollout if its release has shown to be bad.
func (n *Node) judgeRollout(service cyclam.ServiceName) {
	now := time.Now()
	n.rollouts.mu.Lock()
	s := n.rollouts.services[service]
	if s == nil || s.halted != "" || s.Stage().IsFinal() {
		n.rollouts.mu.Unlock()
		return
	}
	order := s.Order
	v := s.evidence.Judge(now.Sub(s.since))
	n.rollouts.mu.Unlock()
	if v.Bad {
		n.haltRollout(service, order, v.Reason)
	}
}

// noteRolloutRun counts a run at the local upstream's process with an id.
func (n *Node) noteRolloutRun(id string, run canary.Run) {
	now := time.Now()
	n.schedMu.Lock()
	release := n.upstream.releaseOf(id)
	run.Cold = now.Add(-run.Took).Before(n.upstream.warmUntil)
	n.schedMu.Unlock()
	service := n.Settings.Self.Service
	n.rollouts.mu.Lock()
	s := n.rollouts.services[service]
	if s == nil || release == "" || s.Stage().IsFinal() || s.Stage() == cyclam.RolloutPending {
		n.rollouts.mu.Unlock()
		return
	}
	run, counts := s.evidence.Countable(run)
	if !counts {
		n.rollouts.mu.Unlock()
		return
	}
	age := now.Sub(s.since)
	fresh := release == s.Release
	s.own = s.own.With(age, run)
	s.evidence = s.evidence.With(canary.Source{
		Identity: n.self,
		New:      fresh,
	}, s.own)
	n.rollouts.mu.Unlock()
	result := "answered"
	if run.Failed {
		result = "failed"
	}
	metrics.GetOrRegisterCounter("rollout-runs-"+result+"-"+string(service)+"-"+release, n.Metrics).Inc(1)
	if fresh {
		n.judgeRollout(service)
	}
}

// spreadRollouts tells the nodes to which there is a connection of the rollouts at once.
func (n *Node) spreadRollouts() {
	newest := n.configHistory.newest()
	message := &wire.Knowledge{
		Version:      uint64(newest.version),
		ConfigDigest: newest.digest,
		ConfigEra:    newest.era,
	}
	message.Rollouts, message.RolloutsKnown = n.encodeRollouts()
	n.spread(message, "rollouts-not-sent")
}

// sampler returns this node's sampler for a service. The caller holds the lock.
func (r *rollouts) sampler(service cyclam.ServiceName) canary.Sampler {
	s, ok := r.samplers[service]
	if !ok {
		s = canary.NewSampler(rand.Float64())
	}
	return s
}

func (r *rollouts) setSampler(service cyclam.ServiceName, s canary.Sampler) {
	if r.samplers == nil {
		r.samplers = map[cyclam.ServiceName]canary.Sampler{}
	}
	r.samplers[service] = s
}

// rolloutStatuses describes the rollouts for operators.
func (n *Node) rolloutStatuses(now time.Time) map[cyclam.ServiceName]RolloutStatus {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	statuses := map[cyclam.ServiceName]RolloutStatus{}
	for service, s := range n.rollouts.services {
		v := s.evidence.Judge(now.Sub(s.since))
		statuses[service] = RolloutStatus{
			Release:    s.Release,
			From:       s.Status.From,
			Stage:      s.Stage().String(),
			Step:       s.Status.Step,
			Share:      n.rolloutShare(s),
			Age:        now.Sub(s.since).Round(time.Millisecond).String(),
			Duration:   s.Duration.String(),
			Runs:       v.Runs,
			BadRuns:    v.BadRuns,
			FormerRuns: v.FormerRuns,
			Doubt:      v.Doubt,
			Halted:     s.halted,
			Reason:     s.Status.Reason,
		}
	}
	return statuses
}
