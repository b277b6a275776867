package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/frame"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"
)

// Limits for connections to other nodes and to the upstream.
const (
	dialTimeout  = 500 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxPeerConns = 512
	// maxControlConns applies to the connections that carry probes and cancels
	// to the local upstream.
	maxControlConns = 2
	maxAnswerBytes  = 64 << 20
)

// dialError is a connection failure that occurred before any byte of the
// request was sent.
type dialError struct{ err error }

func (d *dialError) Error() string { return "connect: " + d.err.Error() }

func (d *dialError) Unwrap() error { return d.err }

// neverSent reports whether the request has certainly not left this process, so
// that it can be retried safely.
func neverSent(err error) bool {
	var d *dialError
	return errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// clients holds the HTTP clients of a node. The retries of fasthttp are
// disabled because they could resend a request that has already run.
type clients struct {
	settings setup.Upstream
	dial     dialFunc
	upstream *fasthttp.HostClient
	control  *fasthttp.HostClient

	mu    sync.RWMutex
	peers map[string]*fasthttp.HostClient
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

func newClients(settings setup.Upstream, dial dialFunc) *clients {
	return &clients{
		settings: settings,
		dial:     dial,
		upstream: newHostClient(settings.Address, settings.Connections, dialTCP),
		control:  newHostClient(settings.Address, maxControlConns, dialTCP),
		peers:    map[string]*fasthttp.HostClient{},
	}
}

func newHostClient(address string, connections int, dial dialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdleConnDuration:           idleTimeout,
		MaxResponseBodySize:           maxAnswerBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, &dialError{
					err: err,
				}
			}
			return frame.NewHeadConn(conn), nil
		},
	}
}

// peer returns the client for the data address of another node and creates it
// if needed.
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
		client = newHostClient(address, maxPeerConns, c.dial)
		c.peers[address] = client
	}
	return client
}

// healthy reports whether the upstream's health endpoint answers with a status
// below 500. Without a configured health path, the upstream is healthy if it
// accepts a connection.
func (c *clients) healthy() bool {
	if c.settings.HealthPath == "" {
		conn, err := net.DialTimeout("tcp", c.settings.Address, dialTimeout)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	}
	status, err := c.getStatus(c.settings.HealthPath)
	return err == nil && status < fasthttp.StatusInternalServerError
}

// abort notifies the upstream that the result of an attempt is no longer
// needed. Errors are ignored, as this only frees resources of the upstream.
func (c *clients) abort(attempt cyclam.AttemptID) {
	if c.settings.CancelPath != "" {
		_, _ = c.getStatus(c.settings.CancelPath + "?attempt=" + attempt.String())
	}
}

func (c *clients) getStatus(path string) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.settings.Address + path)
	err := c.control.DoTimeout(req, resp, probeTimeout)
	return resp.StatusCode(), err
}

// connPool holds one gRPC connection for each control address. They are used
// for cancels.
type connPool struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (d *connPool) get(address string) (*grpc.ClientConn, error) {
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

// cancelTimeout is the maximum wait for the answer to a cancel.
const cancelTimeout = 250 * time.Millisecond

// confirmCancel asks the node of an endpoint to cancel an attempt. It reports
// whether the node confirmed that the attempt has not started and never will;
// an error counts as not confirmed.
func (n *Node) confirmCancel(ctx context.Context, e cyclam.ConfirmCancel) bool {
	conn, err := n.cancelConns.get(e.Endpoint.Control)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
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

// Cancel serves a cancel from another node and waits for the decision of the
// local state.
func (p *peerServer) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	n := p.node
	attempt, err := codec.DecodeAttempt(r.GetAttempt())
	if err != nil {
		return nil, err
	}
	answer := make(chan bool, 1)
	n.mu.Lock()
	n.cancelWaiters[attempt] = append(n.cancelWaiters[attempt], answer)
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

// parseIdentity is the inverse of formatIdentity. It returns the zero Identity
// if text is malformed.
func parseIdentity(text string) cyclam.Identity {
	attempt, _ := cyclam.ParseAttemptID(text + "/0")
	return attempt.Sender
}

func formatIdentity(i cyclam.Identity) string {
	return string(i.Instance) + "/" + strconv.FormatUint(uint64(i.Incarnation), 10)
}
