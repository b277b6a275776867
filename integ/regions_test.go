package integ

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/inproc"
	"github.com/cyclamensaddle/cyclam/stand/netem"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// versions follows what is in force on each node and whether it ever fell.
type versions struct {
	mu   sync.Mutex
	held map[int]cyclam.Version
	fell bool
}

func (v *versions) saw(i int, version cyclam.Version, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fell = v.fell || version < v.held[i]
	v.held[i] = version
}

// await waits until the nodes of some regions hold a version.
func (v *versions) await(limit time.Duration, version cyclam.Version, nodes int, regions ...cyclam.Region) error {
	return fleet.Eventually(limit, func() error {
		v.mu.Lock()
		defer v.mu.Unlock()
		for i := range nodes {
			for _, region := range regions {
				if inproc.Localities[i%len(inproc.Localities)].Region == region && v.held[i] < version {
					return errors.Errorf("node %d in %s holds version %d, want %d", i, region, v.held[i], version)
				}
			}
		}
		return nil
	})
}

// TestRegionsCut cuts two regions apart over real sockets, changes a service
// meanwhile, and heals the cut.
func TestRegionsCut(t *testing.T) {
	const nodes, platform = 8, "127.0.0.1:27000"
	server := &objapi.Server{
		Store: objapi.NewStore(),
	}
	go func() { _ = server.Serve(platform) }()
	up := func() error {
		_, err := fleet.Get("http://" + platform + "/stats")
		return err
	}
	if err := fleet.Eventually(settleLimit, up); err != nil {
		t.Fatal(err)
	}
	seen := &versions{
		held: map[int]cyclam.Version{},
	}
	network := &netem.Network{
		CentreDelay: time.Millisecond,
		RegionDelay: 12 * time.Millisecond,
	}
	s := &inproc.Cluster{
		Nodes:     nodes,
		Services:  2,
		Port:      27001,
		Platform:  platform,
		Upstream:  platform,
		Tuning:    setup.Defaults().Tuning,
		Network:   network,
		Log:       hclog.NewNullLogger(),
		OnVersion: seen.saw,
	}
	s.Start(context.Background())
	defer s.Stop()
	client := store.New(platform)
	put := func(name string) {
		t.Helper()
		object := cyclam.Object{
			Kind: cyclam.KindService,
			Name: name,
			Spec: json.RawMessage(`{}`),
		}
		if _, err := client.Put(context.Background(), object); err != nil {
			t.Fatal(err)
		}
	}
	put("first")
	if err := s.Await(settleLimit, 1); err != nil {
		t.Fatal(err)
	}
	network.Partition()
	time.Sleep(3 * time.Second)
	put("second")
	if err := seen.await(settleLimit, 2, nodes, "north"); err != nil {
		t.Error(err)
	}
	time.Sleep(3 * time.Second)
	network.Heal()
	if err := seen.await(settleLimit, 2, nodes, "north", "south"); err != nil {
		t.Error(err)
	}
	if seen.fell {
		t.Error("got a node that went back to an older version, want none")
	}
}
