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

// versionTracker records the version in force on each node, and whether a node ever went
// back to an older one.
type versionTracker struct {
	mu        sync.Mutex
	held      map[int]cyclam.Version
	regressed bool
}

func (v *versionTracker) observe(i int, version cyclam.Version, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.regressed = v.regressed || version < v.held[i]
	v.held[i] = version
}

// await waits until every node of the regions holds at least the version.
func (v *versionTracker) await(limit time.Duration, version cyclam.Version, nodes int, regions ...cyclam.Region) error {
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

// TestRegionPartition partitions two regions over real sockets, changes a service meanwhile,
// and heals the partition: no node may go back to an older version.
func TestRegionPartition(t *testing.T) {
	const nodes, platform = 8, "127.0.0.1:27000"
	server := &objapi.Server{
		Store: objapi.NewStore(),
	}
	go func() { _ = server.Serve(platform) }()
	platformUp := func() error {
		_, err := fleet.Get("http://" + platform + "/stats")
		return err
	}
	if err := fleet.Eventually(settleLimit, platformUp); err != nil {
		t.Fatal(err)
	}
	tracker := &versionTracker{
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
		OnVersion: tracker.observe,
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
	if err := tracker.await(settleLimit, 2, nodes, "north"); err != nil {
		t.Error(err)
	}
	time.Sleep(3 * time.Second)
	network.Heal()
	if err := tracker.await(settleLimit, 2, nodes, "north", "south"); err != nil {
		t.Error(err)
	}
	if tracker.regressed {
		t.Error("a node went back to an older version")
	}
}
