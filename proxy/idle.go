package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/hashicorp/go-hclog"
)

// headerTimeoutCap bounds the reading of a request's header. The HTTP server gets it
// before a configuration is known; Limits.HeaderTimeout does not change it.
const headerTimeoutCap = 30 * time.Second

// defaultLimits apply until a configuration is known.
var defaultLimits = cyclam.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: headerTimeoutCap,
	IdleTimeout:   time.Minute,
}

// limits returns the limits of the configuration in force.
func (n *Node) limits() cyclam.Limits {
	if t := n.current.Load(); t != nil {
		return t.Config.Limits
	}
	return defaultLimits
}

// idleConns closes callers' connections after the configured idle timeout.
// http.Server's own idle timeout is fixed at start, while this one may change
// while connections are open.
type idleConns struct {
	log hclog.Logger

	mu    sync.Mutex
	since map[net.Conn]time.Time
	// closed holds when each connection was closed here, until the server has noted it.
	closed map[net.Conn]time.Time
}

// track is the ConnState hook of the server; it records when c became idle.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	case http.StateActive:
		delete(i.since, c)
		if at, ok := i.closed[c]; ok {
			i.log.Warn("request-on-closed-connection", "caller", c.RemoteAddr(), "closed-for", time.Since(at))
		}
	default:
		delete(i.since, c)
		delete(i.closed, c)
	}
}

// sweepInterval is the interval between checks for idle connections.
const sweepInterval = 500 * time.Millisecond

func (i *idleConns) sweep(ctx context.Context, limits func() cyclam.Limits) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if limit := limits().IdleTimeout; limit > 0 {
				i.close(now, limit)
			}
		}
	}
}

func (i *idleConns) close(now time.Time, limit time.Duration) {
	began := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	closed, longest := 0, time.Duration(0)
	for c, since := range i.since {
		idle := now.Sub(since)
		if idle <= limit {
			continue
		}
		_ = c.Close()
		delete(i.since, c)
		i.closed[c] = now
		closed++
		longest = max(longest, idle)
	}
	if closed > 0 {
		i.log.Info("idle-connections-closed", "closed", closed, "open", len(i.since), "limit", limit, "longest", longest, "took", time.Since(began))
	}
}
