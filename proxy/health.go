package proxy

import (
	"context"
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/pkg/errors"
)

const (
	// probeTimeout bounds one health check.
	probeTimeout = 700 * time.Millisecond
	// reportTimeout bounds the health check that decides whether a report is believed. The
	// report is to be acknowledged within a second.
	reportTimeout = 500 * time.Millisecond
	// healthAnswerLimit bounds what is read of the body of its answer, in bytes.
	healthAnswerLimit = 64 << 10
	// settleInterval is the pause between health checks while it is not clear which process
	// is at the upstream's address.
	settleInterval = 400 * time.Millisecond
	// configPoll is the pause while there is no configuration, which holds the health
	// check's path.
	configPoll = 20 * time.Millisecond
	// settleTries is the most health checks that one event causes; the upstream's next report
	// causes another one.
	settleTries = 6
)

// requestSettle wakes settleUpstream.
func (n *Node) requestSettle() {
	select {
	case n.wakeSettle <- struct{}{}:
	default:
	}
}

// settleUpstream asks the upstream for its health while that is to decide which process is at
// its address, until ctx ends. A node that has been restarted beside its upstream can serve
// before the upstream's next report.
func (n *Node) settleUpstream(ctx context.Context) error {
	for tries := 0; ; {
		wait := time.Duration(0)
		path, known := n.healthPath()
		switch asks, awaitsRecall := n.asksUpstream(time.Now()); {
		case !asks || tries >= settleTries:
		case !known || awaitsRecall:
			wait = configPoll
		case path == "":
			n.believeReport()
		default:
			_ = n.probe(ctx)
			tries++
			wait = settleInterval
		}
		var pause <-chan time.Time
		if wait > 0 {
			pause = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.wakeSettle:
			tries = 0
		case <-pause:
		}
	}
}

// settleReport decides by a health check whether a report that has just been received is
// believed, if that is not clear. A check without an answer is repeated, as it may be seconds
// until the next report.
func (n *Node) settleReport() {
	asks, awaitsRecall := n.asksUpstream(time.Now())
	if !asks {
		return
	}
	switch path, known := n.healthPath(); {
	case !known || awaitsRecall:
		n.requestSettle()
	case path == "":
		n.believeReport()
	default:
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := n.probe(ctx); err != nil {
			n.requestSettle()
		}
	}
}

// believeReport settles which process is at the upstream's address if the service has no health
// check.
func (n *Node) believeReport() {
	n.changeUpstream("report", func(now time.Time, s procs.State) procs.State { return s.WithoutHealthCheck(now) })
}

// asksUpstream reports whether a health check is to decide which process is at the upstream's
// address, and whether what is stored has to be read before.
func (n *Node) asksUpstream(now time.Time) (asks, awaitsRecall bool) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	_, asks = n.upstream.procs.Asks()
	return asks, n.upstream.procs.AwaitsRecall(now)
}

// healthPath returns the path of the upstream's health check, empty if it has none; false
// means that there is no configuration yet.
func (n *Node) healthPath() (string, bool) {
	t := n.current.Load()
	if t == nil {
		return "", false
	}
	service, _ := t.Service(n.Settings.Self.Service)
	return service.HealthPath, true
}

// probe runs one health check. It returns an error if there is no answer.
func (n *Node) probe(ctx context.Context) error {
	path, _ := n.healthPath()
	if path == "" {
		return nil
	}
	n.schedMu.Lock()
	round, _ := n.upstream.procs.Asks()
	n.schedMu.Unlock()
	h, err := n.checkHealth(ctx, path)
	n.Log.Info("upstream-probed", "upstream", h.id, "healthy", h.healthy, "error", err)
	if err != nil {
		return err
	}
	n.changeUpstream("health check", func(now time.Time, s procs.State) procs.State {
		return s.WithHealth(now, round, h.id, h.healthy)
	})
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if h.id != "" && n.upstream.procs.Target() == h.id {
		n.observeHealth(time.Now(), h.meta)
	}
	return nil
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
	answer := &healthSink{}
	err := n.origin.Do(ctx, origin.Request{
		Method: http.MethodGet,
		Host:   n.Settings.Upstream,
		Target: path,
		Header: http.Header{
			"Connection": {"close"},
		},
	}, answer)
	if err != nil && !errors.Is(err, errLongHealth) {
		return health{}, cyclam.AtStep("health check", n.Settings.Upstream, err)
	}
	return health{
		id:      n.Dialect.ParseInstance(answer.head.Header),
		healthy: answer.head.Status == http.StatusOK,
		meta:    answer.head.Meta,
	}, nil
}

// healthSink receives the answer to a health check.
type healthSink struct {
	head  origin.Head
	bytes int
}

// errLongHealth ends the reading of a body of which enough has arrived.
var errLongHealth = errors.New("answer to the health check exceeds its limit")

// Head keeps the head.
func (s *healthSink) Head(h origin.Head) error {
	s.head = h
	return nil
}

// Chunk counts a piece of the body.
func (s *healthSink) Chunk(data []byte) error {
	if s.bytes += len(data); s.bytes >= healthAnswerLimit {
		return errLongHealth
	}
	return nil
}
