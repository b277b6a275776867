package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const uploadBytes = 200_000

// uploadCluster is a node without an upstream, and others beside upstreams that answer with the
// length of the body and the time that they were given, all on links of one megabyte per second.
type uploadCluster struct {
	*testCluster

	front *Node
	doors []*Node
	// runs counts the requests that upstreams have run.
	runs atomic.Int64
}

func newUploadCluster(t *testing.T, doors int) *uploadCluster {
	s := &uploadCluster{
		testCluster: newPausedCluster(t),
	}
	start := func(name string, u *upstream) *Node {
		n := s.node(name, u, nil)
		n.Settings.LinkRate = 1e6
		s.run(n)
		return n
	}
	for i := range doors {
		u := s.newUpstream("u" + strconv.Itoa(i))
		u.work = func(w http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			length, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Given", r.Header.Get("X-Wait"))
			_, _ = io.WriteString(w, strconv.FormatInt(length, 10))
		}
		s.doors = append(s.doors, start("door-"+strconv.Itoa(i), u))
	}
	s.front = start("front", nil)
	s.awaitReady(append([]*Node{s.front}, s.doors...)...)
	return s
}

// upload sends a body and returns the answer.
func (s *uploadCluster) upload(ctx context.Context, wait time.Duration) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front.Settings.Callers+"/book/x", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return 0, "", nil, err
	}
	req.Host = "mesh.example"
	req.Header.Set("X-Id", "id-"+strconv.FormatInt(ids.Add(1), 10))
	req.Header.Set("X-Wait", wait.String())
	resp, err := s.transport().RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

// occupy has a node receive a body for a time, which comes before all others, until the returned
// function is called.
func occupy(n *Node, span time.Duration) func() {
	const step = 10 * time.Millisecond
	rate := paceShare * n.Settings.LinkRate
	body := n.inbound.announce(pace.Transfer{
		Bytes:        int(rate * span.Seconds()),
		Priority:     -1,
		SoftDeadline: time.Now().Add(time.Hour),
		Deadline:     time.Now().Add(time.Hour),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for sleep(ctx, step) {
			n.inbound.countRead(int(rate * step.Seconds()))
			body.received(int(rate * step.Seconds()))
		}
	}()
	return func() {
		cancel()
		body.end()
	}
}

// wantIdle fails the test unless nothing waits for the links, and no memory is held.
func (s *uploadCluster) wantIdle() {
	s.t.Helper()
	for _, n := range append([]*Node{s.front}, s.doors...) {
		s.waitFor("nothing is left at "+string(n.Settings.Self.Instance), func() bool {
			n.inbound.mu.Lock()
			defer n.inbound.mu.Unlock()
			_, waiting := n.inbound.state.Next(time.Now())
			return !waiting && len(n.inbound.undecided) == 0 && heldBy(n) == 0
		})
	}
}

// A large body must arrive whole at an upstream, by way of a grant.
func TestLargeBodyIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUploadCluster(t, 1)
		for range 5 {
			status, body, _, err := s.upload(t.Context(), 3*time.Second)
			if want := strconv.Itoa(uploadBytes); err != nil || status != http.StatusOK || body != want {
				t.Errorf("got %d %q, %v, want 200 with %s", status, body, err, want)
			}
		}
		if got, want := s.doors[0].meters.grantWait.Count(), int64(5); got != want {
			t.Errorf("grants: got %d, want %d", got, want)
		}
		s.wantIdle()
	})
}

// A body that waits for the link must not be sent before that, nor extend its request's time.
func TestLargeBodyWaitsForTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUploadCluster(t, 1)
		const wait, busy = 3 * time.Second, 300 * time.Millisecond
		free := occupy(s.doors[0], busy)
		began := time.Now()
		status, _, header, err := s.upload(t.Context(), wait)
		if err != nil || status != http.StatusOK {
			t.Fatalf("got %d, %v, want 200", status, err)
		}
		took := time.Since(began)
		if least := busy - 100*time.Millisecond; took < least {
			t.Errorf("answered after %v, want at least %v", took, least)
		}
		given, err := time.ParseDuration(header.Get("X-Given"))
		if most := wait - busy + 200*time.Millisecond; err != nil || given > most {
			t.Errorf("the upstream was given %v, %v, want at most %v", given, err, most)
		}
		free()
		s.wantIdle()
	})
}

// A body that would be late must be refused before any of it is sent, and go to another node that
// has room.
func TestLargeBodyIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUploadCluster(t, 2)
		free := occupy(s.doors[0], 10*time.Second)
		for range 6 {
			if status, _, _, err := s.upload(t.Context(), 2*time.Second); err != nil || status != http.StatusOK {
				t.Errorf("got %d, %v, want 200", status, err)
			}
		}
		if got := s.doors[0].meters.grantWait.Count(); got != 0 {
			t.Errorf("bodies sent to the node without room: got %d, want none", got)
		}
		freeOther := occupy(s.doors[1], 10*time.Second)
		began := time.Now()
		status, _, header, err := s.upload(t.Context(), 2*time.Second)
		if err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("no node has room: got %d, %v, want 503", status, err)
		}
		if took, most := time.Since(began), 100*time.Millisecond; took > most {
			t.Errorf("refused after %v, want at most %v", took, most)
		}
		if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || after < 1 {
			t.Errorf("retry after: got %q, want more than a second", header.Get("Retry-After"))
		}
		free()
		freeOther()
		s.wantIdle()
	})
}

// A caller that leaves while its body waits must leave nothing behind, and nothing may run.
func TestCallerLeavesWhileItsBodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUploadCluster(t, 1)
		free := occupy(s.doors[0], 300*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, _, _, err := s.upload(ctx, 3*time.Second); err == nil {
			t.Error("got an answer, want none")
		}
		time.Sleep(2 * time.Second)
		free()
		s.wantIdle()
		if got := s.runs.Load(); got != 0 {
			t.Errorf("runs: got %d, want none", got)
		}
	})
}

// formerServer is the server of a node of an older build.
type formerServer struct {
	peerServer
}

func (*formerServer) Deliver(grpc.BidiStreamingServer[wire.Offer, wire.Replies]) error {
	return status.Error(codes.Unimplemented, "unknown method")
}

// A node of an older build, which knows no grants, must get bodies with their offers.
func TestLargeBodyForAnOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUploadCluster(t, 1)
		door := s.doors[0]
		server := grpc.NewServer(grpc.StreamInterceptor(door.boundOffers))
		wire.RegisterDoorServer(server, &formerServer{
			peerServer: peerServer{
				node: door,
			},
		})
		address := s.address()
		l := s.listen(address)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		for range 3 {
			s.front.mu.Lock()
			s.front.fleet.members[door.Settings.Self.Instance].view.Endpoint.Control = address
			s.front.mu.Unlock()
			status, body, _, err := s.upload(t.Context(), 3*time.Second)
			if want := strconv.Itoa(uploadBytes); err != nil || status != http.StatusOK || body != want {
				t.Errorf("got %d %q, %v, want 200 with %s", status, body, err, want)
			}
		}
		if got, want := s.runs.Load(), int64(3); got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
		if got := door.meters.grantWait.Count(); got != 0 {
			t.Errorf("grants: got %d, want none", got)
		}
		s.wantIdle()
	})
}
