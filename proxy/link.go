package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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

	mu         sync.Mutex
	conn       *linkConn
	monitoring bool
	// inFlight holds the attempts that await replies, with what is called if the other
	// node is silent. busySince is when there was none last.
	inFlight  map[*attempt]func()
	busySince time.Time
	// trying is set while another connection is tried beside a silent one.
	trying bool
	// syncedConn is the connection on which knowledge was last exchanged; failing is
	// set while connecting fails.
	syncedConn *linkConn
	failing    bool
}

// linkConn is one connection to another node.
type linkConn struct {
	*grpc.ClientConn

	openedAt time.Time
	// receivedAfter is the time from openedAt until a byte was received last.
	receivedAfter atomic.Int64
	// lacksDeliver is set if the other node is of an older build, which takes bodies only with
	// their offers.
	lacksDeliver atomic.Bool
}

const (
	// connectTimeout is how long an attempt waits for a connection.
	connectTimeout = 350 * time.Millisecond
	// failingConnectTimeout replaces connectTimeout if the previous connect failed.
	failingConnectTimeout = 60 * time.Millisecond
	// maxConnectPause bounds the pause between two connects of a broken link. Attempts
	// and revocations wait for it.
	maxConnectPause = 250 * time.Millisecond
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

func (l *link) dial() (*linkConn, error) {
	c := &linkConn{
		openedAt: time.Now(),
	}
	counted := l.node.trafficTo(l.address)
	conn, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := l.node.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &pacedConn{
				Conn: &countedConn{
					Conn:    conn,
					traffic: counted,
				},
				pacer: &l.node.pacer,
				onRead: func(bytes int) {
					c.noteReceived()
					l.node.inbound.countRead(bytes)
				},
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
		grpc.WithStatsHandler(counted),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithIdleTimeout(0),
	)
	if err != nil {
		return nil, cyclam.AtStep("dial", l.address, err)
	}
	c.ClientConn = conn
	return c, nil
}

// bufferSize is the size of each read and write buffer of a connection. It is small
// because a node has many connections.
const bufferSize = 8 << 10

// connect returns an established connection. An error means that nothing was sent. If
// the context ends first, the link does not count as failing.
func (l *link) connect(caller context.Context) (*linkConn, error) {
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
func (l *link) markConnected(conn *linkConn) {
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
// have no other source while the platform's store is unavailable. In a large fleet there are
// more new connections than polls, so that the loads of other nodes are left to these.
func (l *link) syncConn(conn *linkConn) {
	n := l.node
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if err := n.exchangeFor(ctx, wire.NewDoorClient(conn), audience{brief: true}); err != nil {
		n.Log.Info("greeting-failed", "peer", l.address, "error", err)
	}
}

// getConn returns the current client connection, which may not be established yet.
func (l *link) getConn() (*linkConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		conn, err := l.dial()
		if err != nil {
			return nil, err
		}
		l.conn = conn
	}
	return l.conn, nil
}
