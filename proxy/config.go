package proxy

import (
	"context"
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/teams"
)

// fanoutTuning sets the number of readers of the store: a region that loses three nodes
// at once still has a reader.
var fanoutTuning = fanout.Tuning{
	Readers:  4,
	Children: 8,
}

// versionHint reports that another node has a version in force.
type versionHint struct {
	version cyclam.Version
	from    cyclam.InstanceName
}

// version returns the version in force, or zero if there is none.
func (n *Node) version() cyclam.Version {
	if t := n.current.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// applyConfig puts a configuration in force if it is newer than the current one, or if it
// is another text of the same version and from a newer era of the store. An invalid
// configuration is logged and ignored. It returns false if the one in force does not cover
// the one that was to be applied.
func (n *Node) applyConfig(spec json.RawMessage, era uint64, source string) bool {
	updated, err := n.buildTable(spec)
	if err != nil {
		n.Log.Error("config-refused", "source", source, "in-force", n.version(), "error", err)
		return false
	}
	config := updated.Config
	text := newConfigText(config.Version, era, spec)
	n.configHistory.mu.Lock()
	before := n.configHistory.last().id
	added := n.configHistory.add(text)
	if added {
		n.current.Store(updated)
		n.spending.setTeams(time.Now(), config.Teams)
	}
	covered := n.configHistory.last().id.covers(text.id)
	n.configHistory.mu.Unlock()
	if !added {
		return covered
	}
	n.callers.raise(config.Limits)
	if before.version == config.Version {
		n.meters.countReissued()
		n.Log.Warn("config-version-reissued", "version", config.Version, "source", source, "old-era", before.era, "new-era", era)
	}
	n.Log.Info("config-in-force",
		"version", config.Version,
		"source", source,
		"bytes", len(spec),
		"routes", len(config.Routes),
		"services", len(config.Services),
		"teams", len(config.Teams),
		"idle-timeout", config.Limits.IdleTimeout,
		"header-timeout", config.Limits.HeaderTimeout,
		"body-bytes", config.Limits.BodyBytes,
		"header-bytes", config.Limits.HeaderBytes,
	)
	return true
}

// buildTable returns the routing table of a configuration. The table's copy of the
// configuration has no credentials.
func (n *Node) buildTable(spec json.RawMessage) (*router.Table, error) {
	config, err := n.Dialect.ParseConfig(spec)
	if err != nil {
		return nil, err
	}
	registry, err := teams.New(config.Teams, n.teamSecret)
	if err != nil {
		return nil, err
	}
	for i := range config.Teams {
		config.Teams[i].Credentials = nil
	}
	return router.New(config).WithTeams(registry), nil
}

// noteVersion signals configHint if another node has a newer version in force. If a
// hint is already pending, this one is dropped.
func (n *Node) noteVersion(version cyclam.Version, from cyclam.InstanceName) {
	if version <= n.version() {
		return
	}
	select {
	case n.configHint <- versionHint{
		version: version,
		from:    from,
	}:
	default:
	}
}

// followConfig keeps the configuration up to date until ctx ends: from the store if the
// node is a reader, otherwise from other nodes.
func (n *Node) followConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.plan().Reader {
			n.followStore(ctx)
		} else {
			n.followPeers(ctx)
		}
	}
	return nil
}

// plan returns where this node gets the configuration from. A node that does not know
// the fleet or has no configuration yet is a reader of the store.
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
			Unreachable: m.unavailable(now),
		})
	}
	return fanoutTuning.PlanFor(fanout.Member{
		Name:   n.self.Instance,
		Region: n.Settings.Self.Locality.Region,
	}, others)
}
