package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
)

// knowledge returns what a node with a version of the configuration lacks; all
// adds the whole fleet.
func (n *Node) knowledge(version cyclam.Version, all bool) *wire.Knowledge {
	self, _ := n.endpoint()
	k := &wire.Knowledge{
		Self:       codec.EncodeEndpoint(self),
		Version:    uint64(n.version()),
		StoreAgeUs: n.storeAge().Microseconds(),
	}
	packed, base, err := n.texts.pack(version)
	if err != nil {
		n.Log.Error("config-not-packed", "base", version, "error", err)
	}
	k.Config, k.ConfigBase = packed, uint64(base)
	k.Loads = n.gossipLoads()
	if !all {
		return k
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.fleet.members {
		k.Endpoints = append(k.Endpoints, codec.EncodeEndpoint(m.view.Endpoint))
	}
	return k
}

// exchange tells another node what it lacks and learns what this one lacks.
func (n *Node) exchange(ctx context.Context, client wire.DoorClient) error {
	reply, err := client.Exchange(ctx, n.knowledge(n.version(), false))
	if err != nil {
		return err
	}
	n.learn(reply)
	if reply.Full || cyclam.Version(reply.Version) < n.version() {
		_, err = client.Exchange(ctx, n.knowledge(cyclam.Version(reply.Version), reply.Full))
	}
	return err
}

// learn takes in what another node knows.
func (n *Node) learn(k *wire.Knowledge) {
	if len(k.Config) > 0 {
		spec, err := n.texts.unpack(cyclam.Version(k.ConfigBase), k.Config)
		if err != nil {
			n.Log.Warn("config-unreadable", "peer", k.Self.GetInstance(), "base", k.ConfigBase, "error", err)
		} else {
			n.configure(spec, "node")
		}
	}
	if n.version() >= cyclam.Version(k.Version) {
		n.noteStoreAge(time.Duration(k.StoreAgeUs) * time.Microsecond)
	}
	n.noteVersion(cyclam.Version(k.Version), cyclam.InstanceName(k.Self.GetInstance()))
	n.mergeLoads(k.Loads)
	n.mu.Lock()
	defer n.mu.Unlock()
	if k.Self != nil {
		if e, err := codec.DecodeEndpoint(k.Self); err == nil && e.Instance != n.self.Instance {
			n.fleet.direct(e)
		}
	}
	for _, w := range k.Endpoints {
		if e, err := codec.DecodeEndpoint(w); err == nil && e.Instance != n.self.Instance {
			n.fleet.heard(e)
		}
	}
	if len(k.Endpoints) > 0 {
		n.fleet.known = true
	}
}
