package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// headerTimeoutCap bounds the reading of a header while no configuration says
// otherwise.
const headerTimeoutCap = 30 * time.Second

// defaultLimits hold until a configuration is known.
var defaultLimits = cyclam.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: headerTimeoutCap,
	IdleTimeout:   time.Minute,
}

// limits returns the limits in force.
func (n *Node) limits() cyclam.Limits {
	if t := n.current.Load(); t != nil {
		return t.Config.Limits
	}
	return defaultLimits
}

// idleConns closes callers' connections that were unused for the configured
// time, which may change while they are open.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// changed follows the state of each connection.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	default:
		delete(i.since, c)
	}
}

// sweepEvery is the interval at which idle connections are looked at.
const sweepEvery = 500 * time.Millisecond

func (i *idleConns) sweep(ctx context.Context, limits func() cyclam.Limits) {
	ticker := time.NewTicker(sweepEvery)
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
