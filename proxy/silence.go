package proxy

import (
	"context"
	"time"

	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// A connection may stop working without a reset although new ones can be established.
// Silence does not tell: a full link is as silent for a while, and closing its connections
// interrupts all their attempts, whose answers are then sent again over the link that is
// full. A silent connection is therefore replaced only if another one to the same node
// delivers a reply while it does not.

const (
	// silenceTimeout is how long a link with attempts in flight may receive nothing
	// before it is probed.
	silenceTimeout = 350 * time.Millisecond
	// pingTimeout bounds a probe: a node at its CPU quota may be throttled for 100 ms,
	// and the round trip may be long.
	pingTimeout = 450 * time.Millisecond
	// monitorInterval is the interval at which a link with attempts in flight is
	// checked.
	monitorInterval = 150 * time.Millisecond
	// lateRead is how long a read may lag behind the timer that judges it: a process that
	// was out of processor time runs its timers and its readers in any order.
	lateRead = 50 * time.Millisecond
	// trialTimeout bounds the trial of another connection. It covers a handshake and a
	// round trip behind a queue of half a second.
	trialTimeout = 2 * time.Second
	// trialInterval is the interval at which the silent connection is checked meanwhile.
	trialInterval = 10 * time.Millisecond
)

// noteReceived records that bytes were received.
func (c *linkConn) noteReceived() { c.receivedAfter.Store(int64(time.Since(c.openedAt))) }

// receivedAt returns when bytes were received last, or when the connection was opened.
func (c *linkConn) receivedAt() time.Time {
	return c.openedAt.Add(time.Duration(c.receivedAfter.Load()))
}

// hears reports whether bytes are received within a time, or ctx ends.
func (c *linkConn) hears(ctx context.Context, within time.Duration) bool {
	from := c.receivedAt()
	return !sleep(ctx, within) || c.receivedAt().After(from)
}

// beginAttempt counts an attempt in flight and starts monitoring the link if necessary.
// silent is called, possibly more than once, if the other node is silent.
func (l *link) beginAttempt(a *attempt, silent func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inFlight) == 0 {
		l.inFlight = map[*attempt]func(){}
		l.busySince = time.Now()
	}
	l.inFlight[a] = silent
	if !l.monitoring {
		l.monitoring = true
		go l.monitor()
	}
}

func (l *link) endAttempt(a *attempt) {
	l.mu.Lock()
	delete(l.inFlight, a)
	l.mu.Unlock()
}

// awaitReply takes the connection for silent if nothing is received on it for limit while a
// reply is awaited. A connection that delivers other replies is slow rather than silent.
// what names the message that awaits a reply; silent may be nil.
func (l *link) awaitReply(ctx context.Context, conn *linkConn, replied <-chan struct{}, limit time.Duration, what string, silent func()) {
	began := time.Now()
	for wait := limit; ; {
		select {
		case <-ctx.Done():
			return
		case <-replied:
			return
		case <-time.After(wait):
		}
		if quiet := time.Since(later(began, conn.receivedAt())); quiet < limit {
			wait = limit - quiet
			continue
		}
		if conn.hears(ctx, lateRead) {
			continue
		}
		if silent != nil {
			silent()
		}
		l.tryAnother(conn, "no acknowledgement of "+what)
		wait = limit
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// monitor probes the link while it is silent and attempts are in flight.
func (l *link) monitor() {
	for {
		time.Sleep(monitorInterval)
		l.mu.Lock()
		if len(l.inFlight) == 0 {
			l.monitoring = false
			l.mu.Unlock()
			return
		}
		conn, since := l.conn, l.busySince
		l.mu.Unlock()
		if conn == nil || conn.GetState() != connectivity.Ready || time.Since(later(since, conn.receivedAt())) < silenceTimeout {
			continue
		}
		probed := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := l.ping(ctx, conn)
		cancel()
		if err == nil || conn.receivedAt().After(probed) || conn.hears(context.Background(), lateRead) {
			continue
		}
		for _, silent := range l.waiting() {
			silent()
		}
		l.tryAnother(conn, err.Error())
	}
}

// waiting returns what is to be called if the other node is silent.
func (l *link) waiting() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var callbacks []func()
	for _, silent := range l.inFlight {
		callbacks = append(callbacks, silent)
	}
	return callbacks
}

// ping sends a small message on a connection and waits for the reply.
func (l *link) ping(ctx context.Context, conn *linkConn) error {
	_, err := wire.NewDoorClient(conn).Exchange(ctx, &wire.Knowledge{
		Version: uint64(l.node.version()),
	}, grpc.WaitForReady(true))
	return err
}

// tryAnother opens another connection in the background and replaces a silent one if the
// other delivers a reply first. reason tells what the silent one is suspected for.
func (l *link) tryAnother(silent *linkConn, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trying || l.conn != silent {
		return
	}
	l.trying = true
	go func() {
		if other := l.tried(silent); other != nil {
			l.replace(silent, other, reason)
		}
		l.mu.Lock()
		l.trying = false
		l.mu.Unlock()
	}()
}

// tried returns another connection that has delivered a reply while the silent one received
// nothing; nil if there is none within trialTimeout.
func (l *link) tried(silent *linkConn) *linkConn {
	began := time.Now()
	other, err := l.dial()
	if err != nil {
		l.node.Log.Warn("link-trial-failed", "peer", l.address, "error", err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	replied := make(chan error, 1)
	go func() { replied <- l.ping(ctx, other) }()
	for {
		select {
		case err = <-replied:
		case <-time.After(trialInterval):
			if !silent.receivedAt().After(began) {
				continue
			}
			cancel()
			err = <-replied
		}
		break
	}
	if err == nil && !silent.receivedAt().After(began) {
		return other
	}
	l.node.meters.linkTrials.Inc(1)
	l.closeConn(other)
	return nil
}

// replace puts another connection in the place of a silent one, which is closed.
func (l *link) replace(silent, other *linkConn, reason string) {
	l.mu.Lock()
	current := l.conn == silent
	if current {
		l.conn = other
	}
	l.mu.Unlock()
	if !current {
		l.closeConn(other)
		return
	}
	l.node.meters.resets.Inc(1)
	l.node.Log.Warn("link-reset", "peer", l.address, "reason", reason)
	l.closeConn(silent)
}

func (l *link) closeConn(conn *linkConn) {
	if err := conn.Close(); err != nil {
		l.node.Log.Warn("link-close-failed", "peer", l.address, "error", err)
	}
}
