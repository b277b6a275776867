package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
)

// knowledge returns the message for a node that has the given configuration in force: its
// missing configuration, this node's endpoint, the loads, and what is known of the
// receiver's upstream, if the receiver is named. If full is set, the endpoints of the whole
// fleet are added.
func (n *Node) knowledge(receiver cyclam.InstanceName, has configID, full bool) *wire.Knowledge {
	return n.knowledgeFor(audience{}, receiver, has, full)
}

// knowledgeFor returns the message of knowledge with the loads that are of use to an audience.
func (n *Node) knowledgeFor(to audience, receiver cyclam.InstanceName, has configID, full bool) *wire.Knowledge {
	self, _ := n.endpoint()
	// The age is read before the version to which it applies: a later version has a lower
	// age.
	age := n.storeAge()
	packed, base, newest, err := n.configHistory.encodeFor(has)
	if err != nil {
		n.Log.Error("config-not-packed", "base", has.version, "error", err)
	}
	k := &wire.Knowledge{
		Self:         codec.EncodeEndpoint(self),
		Version:      uint64(newest.version),
		Config:       packed,
		ConfigBase:   uint64(base),
		ConfigDigest: newest.digest,
		ConfigEra:    newest.era,
		StoreAgeUs:   age.Microseconds(),
	}
	k.StoreEra, _ = n.storeEras.Current()
	k.Loads, k.Brief = n.gossipLoads(to), to.brief
	k.Crashes = n.quarantine.current().repeated
	k.Rollouts, k.RolloutsKnown = n.encodeRollouts()
	n.mu.Lock()
	defer n.mu.Unlock()
	k.Notice = n.fleet.noticeFor(receiver, time.Now())
	if !full {
		return k
	}
	for _, m := range n.fleet.members {
		k.Endpoints = append(k.Endpoints, codec.EncodeEndpoint(m.view.Endpoint))
	}
	return k
}

// exchange sends this node's knowledge and merges the reply. If the other node is
// behind or asks for the whole fleet, a second message follows.
func (n *Node) exchange(ctx context.Context, client wire.DoorClient) error {
	return n.exchangeFor(ctx, client, audience{})
}

// exchangeFor does the work of exchange with a node of an audience.
func (n *Node) exchangeFor(ctx context.Context, client wire.DoorClient, to audience) error {
	sent := n.steadyTime()
	reply, err := client.Exchange(ctx, n.knowledgeFor(to, "", n.configHistory.newest(), false))
	if err != nil {
		return err
	}
	readable := n.applyKnowledge(reply)
	n.noteStoreWord(reply, sent)
	if !readable {
		if err := n.requestWhole(ctx, client, configIDOf(reply)); err != nil {
			return err
		}
	}
	if reply.Full || n.configHistory.newest().replaces(configIDOf(reply)) {
		_, err = client.Exchange(ctx, n.knowledgeFor(to, cyclam.InstanceName(reply.Self.GetInstance()), configIDOf(reply), reply.Full))
	}
	return err
}

// requestWhole asks a node for its whole configuration, because this node does not have
// the same text of the version on which that node has based a difference.
func (n *Node) requestWhole(ctx context.Context, client wire.DoorClient, peer configID) error {
	request := n.knowledge("", peer, false)
	request.Version, request.ConfigDigest, request.ConfigEra = 0, 0, 0
	sent := n.steadyTime()
	reply, err := client.Exchange(ctx, request)
	if err == nil {
		n.applyKnowledge(reply)
		n.noteStoreWord(reply, sent)
	}
	return err
}

// applyKnowledge merges what another node has sent. It returns false if the
// configuration could not be decoded.
func (n *Node) applyKnowledge(k *wire.Knowledge) bool {
	readable := true
	if len(k.Config) > 0 {
		spec, err := n.configHistory.decode(cyclam.Version(k.ConfigBase), k.Config, k.ConfigDigest)
		if err != nil {
			readable = false
			n.Log.Warn("config-unreadable", "peer", k.Self.GetInstance(), "base", k.ConfigBase, "error", err)
		} else {
			n.applyConfig(spec, k.ConfigEra, "node")
		}
	}
	n.noteVersion(cyclam.Version(k.Version), cyclam.InstanceName(k.Self.GetInstance()))
	if n.storeEras.Raise(k.StoreEra) {
		n.Log.Info("store-era-heard", "era", k.StoreEra, "peer", k.Self.GetInstance())
	}
	n.mergeLoads(k.Loads)
	n.learnReports(decodeReports(k.Crashes))
	n.learnRollouts(k.Rollouts, k.RolloutsKnown)
	n.schedMu.Lock()
	n.acceptNotice(k.Notice, time.Now())
	n.schedMu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if k.Self != nil {
		if e, err := codec.DecodeEndpoint(k.Self); err == nil && e.Instance != n.self.Instance {
			n.fleet.updateFromSelf(e, time.Now())
		}
	}
	for _, w := range k.Endpoints {
		if e, err := codec.DecodeEndpoint(w); err == nil && e.Instance != n.self.Instance {
			n.fleet.addFromPeer(e, time.Now())
		}
	}
	if len(k.Endpoints) > 0 {
		n.fleet.known = true
	}
	return readable
}
