package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// BenchmarkPath measures one request through two nodes to an upstream and back.
func BenchmarkPath(b *testing.B) {
	s := newTestCluster(b)
	u := newUpstream(b, "u1")
	backend, ingress := s.start("door", u, nil), s.start("front", nil, nil)
	s.awaitReady(backend, ingress)
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
	}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+ingress.Settings.Callers+"/read/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "mesh.example"
		req.Header.Set("X-Id", "bench-"+strconv.Itoa(i))
		req.Header.Set("X-Wait", time.Second.String())
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
