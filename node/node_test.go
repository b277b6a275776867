package node_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/inproc"
	"github.com/cyclamensaddle/cyclam/stand/netem"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
	"github.com/cyclamensaddle/cyclam/stand/upstub"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Addresses of the test mesh: a platform, an upstream and two nodes, of which
// the second is the sidecar of the upstream's service.
const (
	platformAddress = "127.0.0.1:26000"
	upstreamAddress = "127.0.0.1:26001"
	firstPort       = 26010
	entryAddress    = "127.0.0.1:26010"
)

// startMesh starts two nodes of two services, with a route to the service of
// the second, and waits until a request succeeds.
func startMesh(tb testing.TB) {
	tb.Helper()
	platform := &objapi.Server{
		Store: objapi.NewStore(),
	}
	go func() { _ = platform.Serve(platformAddress) }()
	upstream := &upstub.Upstream{
		Name:        "upstream",
		Slots:       100,
		Connections: 1000,
	}
	go func() { _ = upstream.Serve(upstreamAddress) }()
	cluster := &inproc.Cluster{
		Nodes:    2,
		Services: 2,
		Port:     firstPort,
		Platform: platformAddress,
		Upstream: upstreamAddress,
		Tuning:   setup.Defaults().Tuning,
		Network:  &netem.Network{},
		Log:      hclog.NewNullLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	cluster.Start(ctx)
	tb.Cleanup(func() {
		cluster.Stop()
		cancel()
	})
	for _, o := range []cyclam.Object{
		{
			Kind: cyclam.KindService,
			Name: "service-0001",
			Spec: json.RawMessage(`{"timeout":"10s"}`),
		},
		{
			Kind: cyclam.KindRoute,
			Name: "stock",
			Spec: json.RawMessage(`{"path-prefix":"/stock","service":"service-0001"}`),
		},
	} {
		if _, err := platform.Store.Put(context.Background(), o); err != nil {
			tb.Fatal(err)
		}
	}
	if err := cluster.Await(10*time.Second, 1); err != nil {
		tb.Fatal(err)
	}
	client := &fasthttp.Client{}
	serving := func() error {
		if status, _ := get(tb, client, entryAddress, nil); status != fasthttp.StatusOK {
			return errors.Errorf("status %d", status)
		}
		return nil
	}
	if err := fleet.Eventually(5*time.Second, serving); err != nil {
		tb.Fatal(err)
	}
}

// get sends one request and returns the status code and the size of the body in
// bytes.
func get(tb testing.TB, client *fasthttp.Client, address string, headers map[string]string) (int, int) {
	tb.Helper()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/stock/coils")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	if err := client.DoTimeout(req, resp, 10*time.Second); err != nil {
		tb.Fatal(err)
	}
	return resp.StatusCode(), len(resp.Body())
}

// TestLargeAnswerIsComplete guards against truncated bodies: it passes answers
// of 1 KiB to 20 MiB through two nodes.
func TestLargeAnswerIsComplete(t *testing.T) {
	startMesh(t)
	client := &fasthttp.Client{}
	for size, text := range map[int]string{1 << 10: "1024", 1 << 20: "1048576", 20 << 20: "20971520"} {
		status, got := get(t, client, entryAddress, map[string]string{upstub.SizeHeader: text})
		if status != fasthttp.StatusOK || got != size {
			t.Errorf("got status %d and %d bytes, want 200 and %d", status, got, size)
		}
	}
}

// BenchmarkPath measures a request sent directly to the upstream and one
// through two nodes. All of them run in one process, so the allocations are
// those of the whole path.
func BenchmarkPath(b *testing.B) {
	startMesh(b)
	client := &fasthttp.Client{}
	for name, address := range map[string]string{"direct": upstreamAddress, "nodes": entryAddress} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if status, _ := get(b, client, address, nil); status != fasthttp.StatusOK {
					b.Fatalf("got status %d, want 200", status)
				}
			}
		})
	}
}

// TestStopRightAfterStart guards against a node that never ends because it is
// stopped before its servers have begun to serve.
func TestStopRightAfterStart(t *testing.T) {
	for range 5 {
		cluster := &inproc.Cluster{
			Nodes:    8,
			Services: 1,
			Port:     26100,
			Platform: "127.0.0.1:1",
			Upstream: "127.0.0.1:1",
			Tuning:   setup.Defaults().Tuning,
			Network:  &netem.Network{},
			Log:      hclog.NewNullLogger(),
		}
		cluster.Start(context.Background())
		done := make(chan struct{})
		go func() {
			cluster.Stop()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("nodes still running 5 s after Stop, want all stopped")
		}
	}
}
