package proxy

import (
	"net"
	"sync"

	"github.com/cyclamensaddle/cyclam/guard"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// clientLimit names a limit on clients in logs and metrics.
type clientLimit string

// LimitInterface is the limit on the connections of a small interface.
const LimitInterface = string(limitInterface)

// The limits on clients.
const (
	limitConnections   clientLimit = "caller-connections"
	limitPeers         clientLimit = "peer-connections"
	limitInterface     clientLimit = "interface-connections"
	limitHeaderBytes   clientLimit = "header-bytes"
	limitHeads         clientLimit = "head-memory"
	limitBodies        clientLimit = "body-memory"
	limitBodyTime      clientLimit = "body-time"
	limitAnswerStalled clientLimit = "answer-stalled"
	limitAnswers       clientLimit = "answer-memory"
)

// ClientLog counts the clients that a limit turned away, and logs them a line a limit at a
// time. Set its exported fields before use.
type ClientLog struct {
	Log     hclog.Logger
	Metrics metrics.Registry

	mu      sync.Mutex
	pending map[clientLimit]turnedAway
}

// turnedAway is what has not been logged of a limit.
type turnedAway struct {
	count int
	last  net.Addr
	phase guard.Phase
}

// note counts a client that was turned away. The nil ClientLog counts nothing.
func (l *ClientLog) note(limit clientLimit, client net.Addr, phase guard.Phase) {
	if l == nil {
		return
	}
	metrics.GetOrRegisterCounter("clients-turned-away-"+string(limit), l.Metrics).Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = map[clientLimit]turnedAway{}
	}
	l.pending[limit] = turnedAway{
		count: l.pending[limit].count + 1,
		last:  client,
		phase: phase,
	}
}

// Flush logs what has been counted since the last call.
func (l *ClientLog) Flush() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for limit, t := range pending {
		l.Log.Warn("clients-turned-away", "limit", limit, "count", t.count, "last", t.last, "phase", t.phase)
	}
}
