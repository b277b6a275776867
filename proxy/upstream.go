package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// upstreamState is the known state of the upstream process beside the node.
type upstreamState struct {
	id string
	// startedAt is a time of the upstream's own clock; zero if the id was learned by a
	// health check only.
	startedAt time.Time
	sequence  uint64
	// withdrawnID and withdrawnStart identify the process that was withdrawn last;
	// withdrawnAt is when it told this node, zero if an earlier process of it was told.
	withdrawnID    string
	withdrawnStart time.Time
	withdrawnAt    time.Time
	// leaving is set once the process has reported in any way that it is about to stop;
	// leavingSince is when this was first known to the nodes.
	leaving      bool
	leavingSince time.Time
	// process counts the upstream processes that this node has met at the address.
	process uint64
	// lastID is the id of the last process that was known.
	lastID string
	// reported is what the process has reported of itself in its answers.
	reported answerReport
}

// ErrForeignUpstream rejects a status of an upstream that does not run beside this
// node.
var ErrForeignUpstream = errors.New("status is of an upstream that does not run beside this node")

// ErrNotStarted rejects a status while the node is still initialising.
var ErrNotStarted = errors.New("node has not started yet")

// Announce applies a status reported by the upstream. A status that is older than the
// known one is ignored without an error.
func (n *Node) Announce(status cyclam.UpstreamStatus) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("announce", status.Address, ErrNotStarted)
	}
	if status.Address != n.Settings.Upstream || status.Service != n.Settings.Self.Service {
		return cyclam.AtStep("announce", status.Address, ErrForeignUpstream)
	}
	now := time.Now()
	n.schedMu.Lock()
	known := n.upstream
	if !newer(known, status) {
		n.schedMu.Unlock()
		return nil
	}
	newProcess := known.id != status.ID || !known.startedAt.IsZero() && !known.startedAt.Equal(status.StartedAt)
	withdrawn := known.isWithdrawn(status)
	n.upstream.id, n.upstream.lastID = status.ID, status.ID
	n.upstream.startedAt, n.upstream.sequence = status.StartedAt, status.Sequence
	if newProcess {
		n.upstream.beginProcess()
	}
	if newProcess || !n.scheduler.Known() {
		n.scheduler = n.scheduler.WithUpstream(status.Slots)
	} else {
		n.scheduler = n.scheduler.WithDown(false).WithSlots(status.Slots)
	}
	if withdrawn && !known.withdrawnAt.IsZero() {
		n.markLeaving(known.withdrawnAt)
	} else if status.Leaving || withdrawn {
		n.markLeaving(now)
	}
	n.applyNotices(now)
	leaving := n.upstream.leaving
	n.schedMu.Unlock()
	if newProcess {
		n.noteCrash(n.crashes.noteReplaced(now), "replaced")
	}
	if newProcess || leaving != known.leaving {
		n.Log.Info("upstream-changed",
			"upstream", status.ID,
			"born", status.StartedAt.UnixMilli(),
			"sequence", status.Sequence,
			"leaving", leaving,
			"cold", status.WarmUp,
			"slots", status.Slots,
		)
		n.requestEntryWrite()
	}
	return nil
}

// newer reports whether status is more recent than known. Start times are compared only
// with each other because they come from the upstream's clock.
func newer(known upstreamState, status cyclam.UpstreamStatus) bool {
	switch {
	case known.id == "" || known.startedAt.IsZero():
		return true
	case !known.startedAt.Equal(status.StartedAt):
		return status.StartedAt.After(known.startedAt)
	case known.id != status.ID:
		return true
	default:
		return status.Sequence > known.sequence
	}
}

// Withdraw records that the upstream process with this id and start time is about to
// exit. A zero start time matches any process with the id.
func (n *Node) Withdraw(id string, startedAt time.Time) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("withdraw", id, ErrNotStarted)
	}
	now := time.Now()
	n.schedMu.Lock()
	current := n.upstream.isProcess(id, startedAt)
	if current || n.upstream.id == "" {
		if !startedAt.IsZero() {
			n.upstream.startedAt = startedAt
		}
		n.markLeaving(now)
		n.upstream.withdrawnID, n.upstream.withdrawnStart, n.upstream.withdrawnAt = id, startedAt, now
	}
	n.schedMu.Unlock()
	n.Log.Info("upstream-leaves", "upstream", id, "current", current)
	if current {
		n.requestEntryWrite()
	}
	return nil
}

// markLeaving records that the upstream process is about to stop, and that this is known
// since a time. The caller holds schedMu.
func (n *Node) markLeaving(since time.Time) {
	if !n.upstream.leaving || since.Before(n.upstream.leavingSince) {
		n.upstream.leavingSince = since
	}
	n.upstream.leaving = true
	n.scheduler = n.scheduler.WithLeaving(since)
}

func (n *Node) upstreamID() string {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.upstream.id
}

// forgetUpstream drops the known upstream id because another process answers at its
// address, and probes that process.
func (n *Node) forgetUpstream() {
	n.schedMu.Lock()
	n.upstream.id = ""
	n.schedMu.Unlock()
	n.Log.Warn("upstream-replaced", "address", n.Settings.Upstream)
	go n.probe(context.Background())
}

const (
	// probeTimeout bounds one health check.
	probeTimeout = 700 * time.Millisecond
	// healthAnswerLimit bounds the head and the body of its answer each, in bytes.
	healthAnswerLimit = 64 << 10
	// identifyInterval is the pause between health checks of a node that has just
	// started and has not received a status of its upstream.
	identifyInterval = 400 * time.Millisecond
	// configPoll is the pause while there is no configuration, which holds the health
	// check's path.
	configPoll = 20 * time.Millisecond
	// identifyTries is the most health checks made to identify the upstream; its own
	// status arrives later in any case.
	identifyTries = 6
)

// identify learns the upstream's id by health checks, so that a node that restarted
// alone can serve before the upstream's next status.
func (n *Node) identify(ctx context.Context) error {
	for tries := 0; tries < identifyTries && n.upstreamID() == ""; {
		wait := configPoll
		if n.current.Load() != nil {
			n.probe(ctx)
			tries++
			wait = identifyInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
	return nil
}

// probe runs one health check. An unhealthy upstream may be about to exit; it gets no
// requests until it reports a status.
func (n *Node) probe(ctx context.Context) {
	t := n.current.Load()
	if t == nil {
		return
	}
	service, ok := t.Service(n.Settings.Self.Service)
	if !ok || service.HealthPath == "" {
		return
	}
	h, err := n.checkHealth(ctx, service.HealthPath)
	n.Log.Info("upstream-probed", "upstream", h.id, "healthy", h.healthy, "error", err)
	if err != nil {
		return
	}
	n.schedMu.Lock()
	process := n.upstream.process
	if h.healthy && h.id != "" && n.upstream.id == "" && n.upstream.withdrawnID != h.id {
		n.identifyLocked(h.id)
	}
	replaced := n.upstream.process != process
	n.schedMu.Unlock()
	if replaced {
		n.noteCrash(n.crashes.noteReplaced(time.Now()), "replaced")
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if h.id != "" && n.upstream.id == h.id {
		n.observeHealth(time.Now(), h.meta)
	}
}

// identifyLocked records the id of the upstream process that a health check has told. The
// caller holds schedMu.
func (n *Node) identifyLocked(id string) {
	if n.upstream.lastID != id {
		n.upstream.beginProcess()
		n.scheduler = n.scheduler.WithUpstream(0)
	}
	n.upstream.id, n.upstream.lastID = id, id
	n.applyNotices(time.Now())
	n.requestEntryWrite()
}

// health is the result of a health check: the upstream's id, whether it is healthy, and
// what its answer says of it.
type health struct {
	id      string
	healthy bool
	meta    cyclam.AnswerMeta
}

// checkHealth requests path from the upstream.
func (n *Node) checkHealth(ctx context.Context, path string) (health, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: healthAnswerLimit,
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Upstream+path, nil)
	if err != nil {
		return health{}, errors.Wrap(err, "create health check request")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return health{}, cyclam.AtStep("health check", n.Settings.Upstream, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, healthAnswerLimit)); err != nil {
		return health{}, cyclam.AtStep("health check", n.Settings.Upstream, err)
	}
	return health{
		id:      n.Dialect.ParseInstance(resp.Header),
		healthy: resp.StatusCode == http.StatusOK,
		meta:    n.Dialect.ParseAnswer(resp.StatusCode, resp.Header),
	}, nil
}

// restoreWithdrawal applies a withdrawal of the upstream process with this id and start
// time, which may not be known, that an earlier process of this node has stored.
func (n *Node) restoreWithdrawal(id string, startedAt time.Time) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	n.upstream.withdrawnID, n.upstream.withdrawnStart, n.upstream.withdrawnAt = id, startedAt, time.Time{}
	if n.upstream.isProcess(id, startedAt) {
		n.markLeaving(time.Now())
	}
}

// isWithdrawn reports whether a status is of the process that was withdrawn last. If that did
// not say when it started, a status tells by whether its process ran already then: both clocks
// are those of one machine.
func (u *upstreamState) isWithdrawn(status cyclam.UpstreamStatus) bool {
	switch {
	case u.withdrawnID != status.ID:
		return false
	case u.withdrawnStart.IsZero() && !status.StartedAt.IsZero():
		return !status.StartedAt.After(u.withdrawnAt)
	default:
		return u.withdrawnStart.Equal(status.StartedAt)
	}
}

// isProcess reports whether the known process has this id and start time. One without a
// start time is told apart by its id alone.
func (u *upstreamState) isProcess(id string, startedAt time.Time) bool {
	return u.id == id && (startedAt.IsZero() || u.startedAt.IsZero() || u.startedAt.Equal(startedAt))
}
