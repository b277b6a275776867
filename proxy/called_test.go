package proxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
)

// Requests whose runs fail because a service that they call sheds must not be repeated beyond that
// service's retry budget: each repeated run calls it again (review/8).
func TestRepeatsAreChargedToCalledServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			requests = 300
			floor    = 40
		)
		s := newPausedCluster(t)
		config := testConfig(2)
		ledger := config.Routes[0]
		ledger.Name, ledger.PathPrefix, ledger.Service = "enter", "/enter/", "ledger"
		config.Routes = append(config.Routes, ledger)
		config.Services = append(config.Services, cyclam.Service{
			Name:       "ledger",
			HealthPath: "/health",
		})
		s.platform.apply(t, config)

		var mu sync.Mutex
		first, arrivals := map[string]bool{}, 0
		shedding := s.newUpstream("ledger-1")
		shedding.work = func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			first[strings.TrimSuffix(r.Header.Get("X-Id"), ".1")] = true
			arrivals++
			mu.Unlock()
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		start := func(name string, u *upstream, service cyclam.ServiceName) *Node {
			n := s.node(name, u, nil)
			n.Settings.Self.Service = service
			n.Settings.Budget = budget.Tuning{
				Ratio:  0.2,
				Window: 10 * time.Second,
				Floor:  floor,
			}
			s.run(n)
			return n
		}
		nodes := []*Node{start("books", shedding, "ledger"), start("front", nil, "other")}
		for _, name := range []string{"door-0", "door-1"} {
			u := s.newUpstream(name)
			var n *Node
			u.work = func(w http.ResponseWriter, r *http.Request) {
				req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+n.Settings.Callers+"/enter/x", nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "mesh.example"
				req.Header.Set("X-Id", r.Header.Get("X-Id")+".1")
				req.Header.Set("X-Parent", r.Header.Get("X-Id"))
				req.Header.Set("X-Wait", "500ms")
				resp, err := s.transport().RoundTrip(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				w.WriteHeader(http.StatusInternalServerError)
			}
			n = start(name, u, "stock")
			nodes = append(nodes, n)
		}
		s.awaitReady(nodes...)
		for range requests {
			_, _, _, _ = s.request(t.Context(), nodes[1], http.MethodGet, "/read/x", time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		if len(first) < requests/2 {
			t.Fatalf("called by %d requests, want most of %d", len(first), requests)
		}
		if got, most := arrivals-len(first), floor; got > most {
			t.Errorf("arrivals beyond the first: got %d, want at most %d, as no client has asked the service", got, most)
		}
	})
}
