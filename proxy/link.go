package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
)

// link holds the connection to one other node and replaces it when it stops responding.
type link struct {
	node    *Node
	address string

	mu           sync.Mutex
	conn         *grpc.ClientConn
	inFlight     int
	lastReceived time.Time
	monitoring   bool
	// syncedConn is the connection on which knowledge was last exchanged; failing is
	// set while connecting fails.
	syncedConn *grpc.ClientConn
	failing    bool
}

const (
	// connectTimeout is how long an attempt waits for a connection.
	connectTimeout = 350 * time.Millisecond
	// failingConnectTimeout replaces connectTimeout if the previous connect failed.
	failingConnectTimeout = 60 * time.Millisecond
	// maxConnectPause bounds the pause between two connects of a broken link. Attempts
	// and revocations wait for it.
	maxConnectPause = 250 * time.Millisecond
	// silenceTimeout is how long a link with attempts in flight may receive nothing
	// before it is probed.
	silenceTimeout = 350 * time.Millisecond
	// pingTimeout bounds a probe: a node at its CPU quota may be throttled for 100 ms,
	// and the round trip may be long.
	pingTimeout = 450 * time.Millisecond
	// monitorInterval is the interval at which a link with attempts in flight is
	// checked.
	monitorInterval = 150 * time.Millisecond
	// windowSize limits the unacknowledged bytes of an answer, so that a slow link has
	// a short queue ahead of later messages. It is the smallest window that gRPC
	// accepts.
	windowSize = 64 << 10
	// maxMessageSize limits one message between nodes, in bytes.
	maxMessageSize = 80 << 20
)

var errNotConnected = errors.New("connection not established")

// link returns the link to a node's address and creates it if necessary.
func (n *Node) link(address string) *link {
	n.linkMu.Lock()
	defer n.linkMu.Unlock()
	l, ok := n.links[address]
	if !ok {
		l = &link{
			node:    n,
			address: address,
		}
		n.links[address] = l
	}
	return l
}

func (l *link) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := l.node.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &pacedConn{
				Conn:  conn,
				pacer: &l.node.pacer,
			}, nil
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxConnectPause,
			},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageSize),
			grpc.MaxCallSendMsgSize(maxMessageSize),
		),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithIdleTimeout(0),
	)
}

// bufferSize is the size of each read and write buffer of a connection. It is small
// because a node has many connections.
const bufferSize = 8 << 10

// connect returns an established connection. An error means that nothing was sent. If
// the context ends first, the link does not count as failing.
func (l *link) connect(caller context.Context) (*grpc.ClientConn, error) {
	l.mu.Lock()
	limit := connectTimeout
	if l.failing {
		limit = failingConnectTimeout
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(caller, limit)
	defer cancel()
	for {
		conn, err := l.getConn()
		if err != nil {
			return nil, err
		}
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			l.markConnected(conn)
			return conn, nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure:
			return nil, l.connectFailed()
		}
		if !conn.WaitForStateChange(ctx, state) {
			if caller.Err() != nil {
				return nil, cyclam.AtStep("connect", l.address, errNotConnected)
			}
			return nil, l.connectFailed()
		}
	}
}

// connectFailed marks the link as failing and returns the error for the caller.
func (l *link) connectFailed() error {
	l.mu.Lock()
	l.failing = true
	l.mu.Unlock()
	return cyclam.AtStep("connect", l.address, errNotConnected)
}

// markConnected clears failing and exchanges knowledge once on each new connection.
func (l *link) markConnected(conn *grpc.ClientConn) {
	l.mu.Lock()
	first := l.syncedConn != conn
	l.syncedConn, l.failing = conn, false
	l.mu.Unlock()
	if first {
		go l.syncConn(conn)
	}
}

// resync exchanges knowledge again, because a new process answers over the same
// connection.
func (l *link) resync() {
	conn, err := l.getConn()
	if err != nil {
		l.node.Log.Warn("greeting-failed", "peer", l.address, "error", err)
		return
	}
	l.syncConn(conn)
}

// syncTimeout bounds the exchange on a new connection.
const syncTimeout = 2 * time.Second

// syncConn exchanges knowledge with the other node. A node that has just started may
// have no other source while the platform's store is unavailable.
func (l *link) syncConn(conn *grpc.ClientConn) {
	n := l.node
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if err := n.exchange(ctx, wire.NewDoorClient(conn)); err != nil {
		n.Log.Info("greeting-failed", "peer", l.address, "error", err)
	}
}

// getConn returns the current client connection, which may not be established yet.
func (l *link) getConn() (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		conn, err := l.dial()
		if err != nil {
			return nil, cyclam.AtStep("dial", l.address, err)
		}
		l.conn = conn
	}
	return l.conn, nil
}

// reset closes conn unless it has already been replaced.
func (l *link) reset(conn *grpc.ClientConn, reason string) {
	l.mu.Lock()
	current := l.conn == conn && conn != nil
	if current {
		l.conn = nil
	}
	l.mu.Unlock()
	if !current {
		return
	}
	l.node.meters.resets.Inc(1)
	l.node.Log.Warn("link-reset", "peer", l.address, "reason", reason)
	if err := conn.Close(); err != nil {
		l.node.Log.Warn("link-close-failed", "peer", l.address, "error", err)
	}
}

// beginAttempt counts an attempt in flight and starts monitoring the link if necessary.
func (l *link) beginAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	if l.inFlight == 1 {
		l.lastReceived = time.Now()
	}
	if !l.monitoring {
		l.monitoring = true
		go l.monitor()
	}
}

func (l *link) endAttempt() {
	l.mu.Lock()
	l.inFlight--
	l.mu.Unlock()
}

// markReceived records that a message arrived from the other node.
func (l *link) markReceived() {
	l.mu.Lock()
	l.lastReceived = time.Now()
	l.mu.Unlock()
}

// awaitReply resets conn if nothing is received on the link for limit while the reply to
// what was sent is awaited. A connection that delivers other replies is slow rather than dead: closing
// it would interrupt all its attempts, and their answers would be sent again.
func (l *link) awaitReply(ctx context.Context, conn *grpc.ClientConn, replied <-chan struct{}, limit time.Duration, sent string) {
	began := time.Now()
	for wait := limit; wait > 0; {
		select {
		case <-ctx.Done():
			return
		case <-replied:
			return
		case <-time.After(wait):
		}
		l.mu.Lock()
		received := l.lastReceived
		l.mu.Unlock()
		if received.Before(began) {
			break
		}
		wait = limit - time.Since(received)
	}
	l.reset(conn, "no acknowledgement of "+sent)
}

// monitor probes the link while it is silent and resets it if nothing is received during
// a failed probe: a connection may stop working without a TCP reset although new ones can
// be established.
func (l *link) monitor() {
	for {
		time.Sleep(monitorInterval)
		l.mu.Lock()
		if l.inFlight == 0 {
			l.monitoring = false
			l.mu.Unlock()
			return
		}
		conn, silent := l.conn, time.Since(l.lastReceived)
		l.mu.Unlock()
		if conn == nil || silent < silenceTimeout || conn.GetState() != connectivity.Ready {
			continue
		}
		probed := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		_, err := wire.NewDoorClient(conn).Exchange(ctx, &wire.Knowledge{
			Version: uint64(l.node.version()),
		})
		cancel()
		if err == nil {
			l.markReceived()
			continue
		}
		l.mu.Lock()
		busy := l.lastReceived.After(probed)
		l.mu.Unlock()
		if !busy {
			l.reset(conn, err.Error())
		}
	}
}
