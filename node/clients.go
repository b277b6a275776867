package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"
)

// The limits of connections to other nodes and to the upstream.
const (
	dialLimit       = 500 * time.Millisecond
	probeLimit      = 500 * time.Millisecond
	idleLimit       = 30 * time.Second
	peerConnections = 512
	// controlConnections carry probes and cancels to the own upstream.
	controlConnections = 2
	answerLimitBytes   = 64 << 20
)

// dialError marks a failure before anything was sent.
type dialError struct{ err error }

func (d *dialError) Error() string { return "connect: " + d.err.Error() }

func (d *dialError) Unwrap() error { return d.err }

// neverSent reports whether a request has certainly not left this process.
func neverSent(err error) bool {
	var d *dialError
	return errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// clients holds the HTTP connections of a node. The library's own retries are
// off: it would send a request again that may have run.
type clients struct {
	settings setup.Upstream
	dial     dialFunc
	upstream *fasthttp.HostClient
	control  *fasthttp.HostClient

	mu    sync.RWMutex
	peers map[string]*fasthttp.HostClient
}

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

func newClients(settings setup.Upstream, dial dialFunc) *clients {
	return &clients{
		settings: settings,
		dial:     dial,
		upstream: hostClient(settings.Address, settings.Connections, dialTCP),
		control:  hostClient(settings.Address, controlConnections, dialTCP),
		peers:    map[string]*fasthttp.HostClient{},
	}
}

func hostClient(address string, connections int, dial dialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdleConnDuration:           idleLimit,
		MaxResponseBodySize:           answerLimitBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
			defer cancel()
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, &dialError{
					err: err,
				}
			}
			return conn, nil
		},
	}
}

// peer returns the client for a node's data address.
func (c *clients) peer(address string) *fasthttp.HostClient {
	c.mu.RLock()
	client, ok := c.peers[address]
	c.mu.RUnlock()
	if ok {
		return client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok = c.peers[address]; !ok {
		client = hostClient(address, peerConnections, c.dial)
		c.peers[address] = client
	}
	return client
}

// healthy asks the upstream's health endpoint; without one, it must accept a
// connection.
func (c *clients) healthy() bool {
	if c.settings.HealthPath == "" {
		conn, err := net.DialTimeout("tcp", c.settings.Address, dialLimit)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	}
	status, err := c.ask(c.settings.HealthPath)
	return err == nil && status < fasthttp.StatusInternalServerError
}

// abort tells the upstream that nobody waits for an attempt any more.
func (c *clients) abort(attempt cyclam.AttemptID) {
	if c.settings.CancelPath != "" {
		_, _ = c.ask(c.settings.CancelPath + "?attempt=" + attempt.String())
	}
}

func (c *clients) ask(path string) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.settings.Address + path)
	err := c.control.DoTimeout(req, resp, probeLimit)
	return resp.StatusCode(), err
}

// dialer keeps one gRPC connection for cancels to each control address.
type dialer struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (d *dialer) get(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(address, d.options...)
	if err != nil {
		return nil, err
	}
	if d.conns == nil {
		d.conns = map[string]*grpc.ClientConn{}
	}
	d.conns[address] = conn
	return conn, nil
}

// cancelLimit bounds the wait for the answer to a cancel.
const cancelLimit = 250 * time.Millisecond

// confirm asks an endpoint's node whether an attempt can be called not run.
func (n *Node) confirm(ctx context.Context, e cyclam.ConfirmCancel) bool {
	conn, err := n.cancels.get(e.Endpoint.Control)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	reply, err := wire.NewPeerClient(conn).Cancel(ctx, &wire.CancelRequest{
		Attempt:     codec.EncodeAttempt(e.Attempt),
		Instance:    string(e.Endpoint.Instance),
		Incarnation: uint64(e.Endpoint.Incarnation),
	})
	if err != nil {
		n.Log.Warn("cancel-not-answered",
			"peer", e.Endpoint.Instance,
			"attempt", e.Attempt.String(),
			"error", err,
		)
	}
	return err == nil && reply.GetConfirmed()
}

// Cancel decides on a cancel from another node.
func (p *peerServer) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	n := p.node
	attempt, err := codec.DecodeAttempt(r.GetAttempt())
	if err != nil {
		return nil, err
	}
	answer := make(chan bool, 1)
	n.mu.Lock()
	n.cancelCh[attempt] = append(n.cancelCh[attempt], answer)
	n.mu.Unlock()
	n.dispatch(cyclam.CancelArrived{
		Stamp:   stamp(),
		Attempt: attempt,
		Target: cyclam.Identity{
			Instance:    cyclam.InstanceName(r.GetInstance()),
			Incarnation: cyclam.Incarnation(r.GetIncarnation()),
		},
	})
	select {
	case confirmed := <-answer:
		return &wire.CancelReply{
			Confirmed: confirmed,
		}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// parseIdentity reads what identityText wrote.
func parseIdentity(text string) cyclam.Identity {
	attempt, _ := cyclam.ParseAttemptID(text + "/0")
	return attempt.Sender
}

func identityText(i cyclam.Identity) string {
	return string(i.Instance) + "/" + strconv.FormatUint(uint64(i.Incarnation), 10)
}
