package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/quota"
)

// An instance that has taken over the address of a relay must not be taken for it: nodes that
// report to it would hear of nobody, and use the least part of each quota, while others have
// elected another relay.
func TestRelayAtAReusedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPausedCluster(t)
		config := testConfig(2)
		config.Teams = []cyclam.Team{
			{
				Name:        "a",
				Credentials: []cyclam.Credential{"key-a"},
				Quota: cyclam.Quota{
					Rate:  100,
					Burst: 100,
				},
			},
		}
		s.platform.apply(t, config)
		prepare := func(name string) *Node {
			n := s.node(name, nil, nil)
			n.Settings.Quota = quota.Tuning{
				Window:  5 * time.Second,
				Overage: 0.1,
				Slack:   20,
			}
			return n
		}
		relay := prepare("a-relay")
		kill := s.run(relay)
		var nodes []*Node
		for _, name := range []string{"b", "c", "d", "e"} {
			n := prepare(name)
			s.run(n)
			nodes = append(nodes, n)
		}
		coverage := func(n *Node) float64 {
			n.spending.mu.Lock()
			defer n.spending.mu.Unlock()
			return n.spending.ledger.Coverage()
		}
		s.awaitReady(append(nodes, relay)...)
		time.Sleep(2 * time.Second)
		kill()
		other := prepare("z")
		other.Settings.Self.Control = relay.Settings.Self.Control
		s.run(other)
		time.Sleep(5 * time.Second)
		for range 20 {
			for _, n := range nodes {
				if got, least := coverage(n), 0.8; got < least {
					t.Fatalf("%s: got a coverage of %.2f, want at least %v", n.Settings.Self.Instance, got, least)
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
