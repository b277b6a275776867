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

// upstreamState is what is known of the process beside the node.
type upstreamState struct {
	id       string
	born     time.Time
	sequence uint64
	// left names the process that said last that it leaves.
	left     string
	leftBorn time.Time
	leaving  bool
}

// ErrForeignUpstream refuses news of an upstream that is not beside this node.
var ErrForeignUpstream = errors.New("news of an upstream that is not beside this node")

// ErrNotStarted refuses news for as long as the node prepares itself.
var ErrNotStarted = errors.New("node has not started yet")

// Announce takes in what the upstream says of itself. Older news change nothing.
func (n *Node) Announce(news cyclam.UpstreamStatus) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("announce", news.Address, ErrNotStarted)
	}
	if news.Address != n.Settings.Upstream || news.Service != n.Settings.Self.Service {
		return cyclam.AtStep("announce", news.Address, ErrForeignUpstream)
	}
	now := time.Now()
	n.schedMu.Lock()
	known := n.upstream
	if !newer(known, news) {
		n.schedMu.Unlock()
		return nil
	}
	fresh := known.id != news.ID || !known.born.IsZero() && !known.born.Equal(news.StartedAt)
	leaving := news.Leaving || known.left == news.ID && known.leftBorn.Equal(news.StartedAt)
	n.upstream = upstreamState{
		id:       news.ID,
		born:     news.StartedAt,
		sequence: news.Sequence,
		left:     known.left,
		leftBorn: known.leftBorn,
		leaving:  leaving,
	}
	if fresh || !n.scheduler.Known() {
		n.scheduler = n.scheduler.WithUpstream(news.Slots)
	} else {
		n.scheduler = n.scheduler.WithDown(false).WithSlots(news.Slots)
	}
	if leaving {
		n.scheduler = n.scheduler.WithLeaving(now)
	}
	n.schedMu.Unlock()
	if fresh || leaving != known.leaving {
		n.Log.Info("upstream-changed",
			"upstream", news.ID,
			"born", news.StartedAt.UnixMilli(),
			"sequence", news.Sequence,
			"leaving", leaving,
			"cold", news.WarmUp,
			"slots", news.Slots,
		)
		n.announce()
	}
	return nil
}

// newer reports whether news come after what is known. Births are compared with
// each other only, as they are times of the upstream's own clock.
func newer(known upstreamState, news cyclam.UpstreamStatus) bool {
	switch {
	case known.id == "" || known.born.IsZero():
		return true
	case !known.born.Equal(news.StartedAt):
		return news.StartedAt.After(known.born)
	case known.id != news.ID:
		return true
	default:
		return news.Sequence > known.sequence
	}
}

// Withdraw takes in that an upstream is about to end.
func (n *Node) Withdraw(id string, born time.Time) error {
	if !n.prepared.Load() {
		return cyclam.AtStep("withdraw", id, ErrNotStarted)
	}
	now := time.Now()
	n.schedMu.Lock()
	current := n.upstream.id == id && (born.IsZero() || n.upstream.born.IsZero() || n.upstream.born.Equal(born))
	if current || n.upstream.id == "" {
		n.upstream.left, n.upstream.leftBorn, n.upstream.leaving = id, born, true
		if !born.IsZero() {
			n.upstream.born = born
		}
		n.scheduler = n.scheduler.WithLeaving(now)
	}
	n.schedMu.Unlock()
	n.Log.Info("upstream-leaves", "upstream", id, "current", current)
	if current {
		n.announce()
	}
	return nil
}

func (n *Node) upstreamID() string {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	return n.upstream.id
}

// forgetUpstream is called when another process answers at the address.
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
	// identifyEvery is the pause between health checks of a node that has just
	// started and was not told yet which upstream is beside it.
	identifyEvery = 400 * time.Millisecond
	// configPoll is the pause while the configuration, which names the path of
	// the check, is not known.
	configPoll = 20 * time.Millisecond
	// identifyTries ends them; the upstream's own news come later in any case.
	identifyTries = 6
)

// identify asks the upstream who it is, so that a node that was started alone
// serves before the upstream's next news.
func (n *Node) identify(ctx context.Context) error {
	for tries := 0; tries < identifyTries && n.upstreamID() == ""; {
		wait := configPoll
		if n.current.Load() != nil {
			n.probe(ctx)
			tries++
			wait = identifyEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
	return nil
}

// probe makes one health check. An upstream that is not healthy may be about to
// leave; it stays out until it sends news.
func (n *Node) probe(ctx context.Context) {
	t := n.current.Load()
	if t == nil {
		return
	}
	service, ok := t.Service(n.Settings.Self.Service)
	if !ok || service.HealthPath == "" {
		return
	}
	id, healthy, err := n.health(ctx, service.HealthPath)
	n.Log.Info("upstream-probed", "upstream", id, "healthy", healthy, "error", err)
	if err != nil || !healthy || id == "" {
		return
	}
	n.schedMu.Lock()
	fresh := n.upstream.id == "" && n.upstream.left != id
	if fresh {
		n.upstream.id = id
		if !n.scheduler.Known() {
			n.scheduler = n.scheduler.WithUpstream(0)
		}
	}
	n.schedMu.Unlock()
	if fresh {
		n.announce()
	}
}

func (n *Node) health(ctx context.Context, path string) (string, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		DisableKeepAlives: true,
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Upstream+path, nil)
	if err != nil {
		return "", false, errors.Wrap(err, "make health check")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", false, cyclam.AtStep("health check", n.Settings.Upstream, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", false, cyclam.AtStep("health check", n.Settings.Upstream, err)
	}
	return n.Dialect.ParseInstance(resp.Header), resp.StatusCode == http.StatusOK, nil
}

// leavingFor restores what another process of this node was told.
func (n *Node) leavingFor(id string) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	n.upstream.left = id
	if n.upstream.id == id {
		n.upstream.leaving = true
		n.scheduler = n.scheduler.WithLeaving(time.Now())
	}
}
