package relay

import (
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/wire"
)

// knowledge returns what a node with a version of the configuration lacks; all
// adds the whole fleet.
func (n *Node) knowledge(version cyclam.Version, all bool) *wire.Knowledge {
	self, _ := n.endpoint()
	k := &wire.Knowledge{
		Self:    codec.EncodeEndpoint(self),
		Version: uint64(n.version()),
	}
	if raw := n.raw.Load(); raw != nil && raw.version > version {
		k.Config = raw.spec
	}
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

// learn takes in what another node knows.
func (n *Node) learn(k *wire.Knowledge) {
	if len(k.Config) > 0 {
		n.configure(k.Config, "node")
	}
	n.noteVersion(cyclam.Version(k.Version))
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
