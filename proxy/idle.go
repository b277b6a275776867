package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
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
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// track is the ConnState hook of the server; it records when c became idle.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	default:
		delete(i.since, c)
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
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
