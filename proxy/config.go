package proxy

import (
	"context"
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/cyclamensaddle/cyclam/router"
)

// feeding bounds who reads the store: a region that loses three nodes at once
// still has a reader.
var feeding = fanout.Tuning{
	Readers:  4,
	Children: 8,
}

// hint is a version that another node has in force.
type hint struct {
	version cyclam.Version
	from    cyclam.InstanceName
}

// version returns the version in force; zero means that none is.
func (n *Node) version() cyclam.Version {
	if t := n.current.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// configure puts a configuration in force if it is newer than the one that is.
func (n *Node) configure(spec json.RawMessage, source string) {
	config, err := n.Dialect.ParseConfig(spec)
	if err != nil {
		n.Log.Error("config-refused", "source", source, "in-force", n.version(), "error", err)
		return
	}
	fresh := router.New(config)
	for {
		held := n.current.Load()
		if held != nil && held.Config.Version >= config.Version {
			return
		}
		if n.current.CompareAndSwap(held, fresh) {
			break
		}
	}
	n.texts.add(config.Version, spec)
	n.Log.Info("config-in-force",
		"version", config.Version,
		"source", source,
		"bytes", len(spec),
		"routes", len(config.Routes),
		"services", len(config.Services),
	)
}

// noteVersion takes in the version that another node has in force.
func (n *Node) noteVersion(version cyclam.Version, from cyclam.InstanceName) {
	if version <= n.version() {
		return
	}
	select {
	case n.configHint <- hint{
		version: version,
		from:    from,
	}:
	default:
	}
}

// followConfig keeps the configuration in force current: from the store where
// the node is one that reads it, else from other nodes.
func (n *Node) followConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.plan().Reader {
			n.readConfig(ctx)
		} else {
			n.askConfig(ctx)
		}
	}
	return nil
}

// plan returns from where the configuration comes. Before it knows the fleet and
// a configuration, a node reads the store.
func (n *Node) plan() fanout.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.fleet.known || n.version() == 0 {
		return fanout.Plan{
			Reader: true,
		}
	}
	now := time.Now()
	var others []fanout.Member
	for name, m := range n.fleet.members {
		others = append(others, fanout.Member{
			Name:        name,
			Region:      m.view.Endpoint.Locality.Region,
			Unreachable: m.away(now),
		})
	}
	return feeding.PlanFor(fanout.Member{
		Name:   n.self.Instance,
		Region: n.Settings.Self.Locality.Region,
	}, others)
}
