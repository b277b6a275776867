package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
)

// knowledge returns the message for a node that has the given version of the
// configuration in force: its missing configuration, this node's endpoint and the
// loads. If full is set, the endpoints of the whole fleet are added.
func (n *Node) knowledge(version cyclam.Version, full bool) *wire.Knowledge {
	self, _ := n.endpoint()
	k := &wire.Knowledge{
		Self:       codec.EncodeEndpoint(self),
		Version:    uint64(n.version()),
		StoreAgeUs: n.storeAge().Microseconds(),
	}
	k.StoreEra, _ = n.storeEras.Current()
	packed, base, err := n.configHistory.encodeFor(version)
	if err != nil {
		n.Log.Error("config-not-packed", "base", version, "error", err)
	}
	k.Config, k.ConfigBase = packed, uint64(base)
	k.Loads = n.gossipLoads()
	if !full {
		return k
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.fleet.members {
		k.Endpoints = append(k.Endpoints, codec.EncodeEndpoint(m.view.Endpoint))
	}
	return k
}

// exchange sends this node's knowledge and merges the reply. If the other node is
// behind or asks for the whole fleet, a second message follows.
func (n *Node) exchange(ctx context.Context, client wire.DoorClient) error {
	reply, err := client.Exchange(ctx, n.knowledge(n.version(), false))
	if err != nil {
		return err
	}
	n.applyKnowledge(reply)
	if reply.Full || cyclam.Version(reply.Version) < n.version() {
		_, err = client.Exchange(ctx, n.knowledge(cyclam.Version(reply.Version), reply.Full))
	}
	return err
}

// applyKnowledge merges what another node has sent.
func (n *Node) applyKnowledge(k *wire.Knowledge) {
	if len(k.Config) > 0 {
		spec, err := n.configHistory.decode(cyclam.Version(k.ConfigBase), k.Config)
		if err != nil {
			n.Log.Warn("config-unreadable", "peer", k.Self.GetInstance(), "base", k.ConfigBase, "error", err)
		} else {
			n.applyConfig(spec, "node")
		}
	}
	if n.version() >= cyclam.Version(k.Version) {
		n.noteStoreAge(time.Duration(k.StoreAgeUs) * time.Microsecond)
	}
	n.noteVersion(cyclam.Version(k.Version), cyclam.InstanceName(k.Self.GetInstance()))
	if n.storeEras.Raise(k.StoreEra) {
		n.Log.Info("store-era-heard", "era", k.StoreEra, "peer", k.Self.GetInstance())
	}
	n.mergeLoads(k.Loads)
	n.mu.Lock()
	defer n.mu.Unlock()
	if k.Self != nil {
		if e, err := codec.DecodeEndpoint(k.Self); err == nil && e.Instance != n.self.Instance {
			n.fleet.updateFromSelf(e, time.Now())
		}
	}
	for _, w := range k.Endpoints {
		if e, err := codec.DecodeEndpoint(w); err == nil && e.Instance != n.self.Instance {
			n.fleet.addFromPeer(e)
		}
	}
	if len(k.Endpoints) > 0 {
		n.fleet.known = true
	}
}
