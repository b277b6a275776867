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

// link is the connection to one other node; it is replaced when it goes silent.
type link struct {
	node    *Node
	address string

	mu       sync.Mutex
	conn     *grpc.ClientConn
	inFlight int
	heard    time.Time
	watching bool
	// greeted is the connection on which knowledge was exchanged; failing is set
	// while no connection comes about.
	greeted *grpc.ClientConn
	failing bool
}

const (
	// connectLimit is how long an attempt waits for a connection.
	connectLimit = 350 * time.Millisecond
	// failingLimit is the same where the last one did not come about.
	failingLimit = 60 * time.Millisecond
	// silenceLimit is how long a link with attempts in flight may be silent
	// before it is probed.
	silenceLimit = 350 * time.Millisecond
	// pingLimit is how long a probe may take: a node may stand still for a tenth
	// of a second at its processor limit, and the way may be long.
	pingLimit = 450 * time.Millisecond
	// watchEvery is the interval at which a used link is looked at.
	watchEvery = 150 * time.Millisecond
	// windowSize bounds the bytes of an answer that are on their way, so that a
	// narrow link has a short queue for what comes after them. It is the least
	// that gRPC keeps.
	windowSize = 64 << 10
	// messageLimit bounds one message between nodes, in bytes.
	messageLimit = 80 << 20
)

var errNotConnected = errors.New("no connection")

// link returns the link to a node's address.
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
			return l.node.Dial(ctx, address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   time.Second,
			},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(messageLimit),
			grpc.MaxCallSendMsgSize(messageLimit),
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

// bufferSize is that of a connection's buffers, small as there are many.
const bufferSize = 8 << 10

// connect returns a connection that is up. An error means that nothing was sent.
func (l *link) connect(ctx context.Context) (*grpc.ClientConn, error) {
	l.mu.Lock()
	limit := connectLimit
	if l.failing {
		limit = failingLimit
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		conn, err := l.get()
		if err != nil {
			return nil, err
		}
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			l.connected(conn)
			return conn, nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure:
			return nil, l.notConnected()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, l.notConnected()
		}
	}
}

func (l *link) notConnected() error {
	l.mu.Lock()
	l.failing = true
	l.mu.Unlock()
	return cyclam.AtStep("connect", l.address, errNotConnected)
}

// connected greets the other node once on each connection.
func (l *link) connected(conn *grpc.ClientConn) {
	l.mu.Lock()
	fresh := l.greeted != conn
	l.greeted, l.failing = conn, false
	l.mu.Unlock()
	if fresh {
		go l.greet(conn)
	}
}

// greetAgain greets another process that answers over the same connection.
func (l *link) greetAgain() {
	conn, err := l.get()
	if err != nil {
		l.node.Log.Warn("greeting-failed", "peer", l.address, "error", err)
		return
	}
	l.greet(conn)
}

// greetLimit bounds the exchange on a new connection.
const greetLimit = 2 * time.Second

// greet compares what both nodes know. One that has just started may have no
// other way to learn while the platform's store is away.
func (l *link) greet(conn *grpc.ClientConn) {
	n := l.node
	ctx, cancel := context.WithTimeout(context.Background(), greetLimit)
	defer cancel()
	if err := n.exchange(ctx, wire.NewDoorClient(conn)); err != nil {
		n.Log.Info("greeting-failed", "peer", l.address, "error", err)
	}
}

func (l *link) get() (*grpc.ClientConn, error) {
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

// reset closes a connection that is of no use any more, unless it was replaced.
func (l *link) reset(conn *grpc.ClientConn, why string) {
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
	l.node.Log.Warn("link-reset", "peer", l.address, "reason", why)
	if err := conn.Close(); err != nil {
		l.node.Log.Warn("link-close-failed", "peer", l.address, "error", err)
	}
}

// begin counts an attempt and watches the link while any is in flight.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	if l.inFlight == 1 {
		l.heard = time.Now()
	}
	if !l.watching {
		l.watching = true
		go l.watch()
	}
}

func (l *link) end() {
	l.mu.Lock()
	l.inFlight--
	l.mu.Unlock()
}

// hear notes that something came from the other node.
func (l *link) hear() {
	l.mu.Lock()
	l.heard = time.Now()
	l.mu.Unlock()
}

// awaitReply resets a connection on which nothing was heard for a limit while a
// reply is awaited. One that brings other replies is slow, not dead: closing it
// would interrupt all attempts on it, and their answers would be sent again.
func (l *link) awaitReply(ctx context.Context, conn *grpc.ClientConn, replied <-chan struct{}, limit time.Duration) {
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
		heard := l.heard
		l.mu.Unlock()
		if heard.Before(began) {
			break
		}
		wait = limit - time.Since(heard)
	}
	l.reset(conn, "no acknowledgement")
}

// watch probes the link while it is silent, and replaces it when it is dead: a
// connection may die without a reset while new ones work.
func (l *link) watch() {
	for {
		time.Sleep(watchEvery)
		l.mu.Lock()
		if l.inFlight == 0 {
			l.watching = false
			l.mu.Unlock()
			return
		}
		conn, silent := l.conn, time.Since(l.heard)
		l.mu.Unlock()
		if conn == nil || silent < silenceLimit || conn.GetState() != connectivity.Ready {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingLimit)
		_, err := wire.NewDoorClient(conn).Exchange(ctx, &wire.Knowledge{
			Version: uint64(l.node.version()),
		})
		cancel()
		if err != nil {
			l.reset(conn, err.Error())
			continue
		}
		l.hear()
	}
}
