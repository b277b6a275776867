package proxy

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// linkRateUnit is the unit of Load.link_kbps on the wire, in bytes per second.
const linkRateUnit = 1000

// failingUnit converts the share of failed answers to the wire's thousandths.
const failingUnit = 1000

// maxSlowdown bounds the slowdown in a load, so that times by it stay in the range of a duration.
const maxSlowdown = 10_000

// slowdownUnit converts the slowdown to the wire's hundredths.
const slowdownUnit = 100

// encodeLoad returns the message for a load and the notice of the same upstream, which
// carries the rate limit.
func encodeLoad(l cyclam.Load, incarnation cyclam.Incarnation, notice *wire.UpstreamNotice) *wire.Load {
	return &wire.Load{
		Running:       uint32(l.Running),
		Waiting:       uint32(l.Waiting),
		Limit:         uint32(l.Limit),
		ServiceTimeUs: uint32(l.ServiceTime.Microseconds()),
		Failing:       uint32(l.Failing * failingUnit),
		Leaving:       l.Leaving,
		Version:       uint64(l.Version),
		Incarnation:   uint64(incarnation),
		SendingUs:     uint32(l.SendBacklog.Microseconds()),
		ReceivingUs:   uint32(l.ReceiveBacklog.Microseconds()),
		LinkKbps:      uint32(l.LinkRate / linkRateUnit),
		Notice:        notice,
		LimitKnown:    l.RateLimit.Known(),
		StartDelayUs:  uint32(l.StartDelay.Microseconds()),
		Slowdown:      uint32(math.Round(l.Slowdown * slowdownUnit)),
	}
}

func decodeRateLimit(l *wire.Load) cyclam.RateLimit {
	switch {
	case l.GetNotice().GetLimited():
		return cyclam.RateLimitOf(l.Notice.RateLimit)
	case l.GetLimitKnown():
		return cyclam.NoRateLimit()
	default:
		return cyclam.RateLimit{}
	}
}

func decodeLoad(l *wire.Load) cyclam.Load {
	return cyclam.Load{
		Running:        int(l.GetRunning()),
		Waiting:        int(l.GetWaiting()),
		Limit:          int(l.GetLimit()),
		ServiceTime:    microseconds(int64(l.GetServiceTimeUs())),
		Failing:        float64(l.GetFailing()) / failingUnit,
		Leaving:        l.GetLeaving(),
		Version:        cyclam.Version(l.GetVersion()),
		SendBacklog:    microseconds(int64(l.GetSendingUs())),
		ReceiveBacklog: microseconds(int64(l.GetReceivingUs())),
		LinkRate:       float64(l.GetLinkKbps()) * linkRateUnit,
		RateLimit:      decodeRateLimit(l),
		StartDelay:     microseconds(int64(l.GetStartDelayUs())),
		Slowdown:       min(float64(l.GetSlowdown())/slowdownUnit, maxSlowdown),
	}
}

const (
	// gossipMaxAge is the age up to which another node's load is passed on.
	gossipMaxAge = time.Second
	// gossipMaxLoads limits the loads in one message to about 3 KB. If more qualify,
	// random map order varies which of them are left out.
	gossipMaxLoads = 64
	// notableFailing is the share of failed answers above which a load is passed on.
	notableFailing = 0.05
)

// binding reports whether a load tells that the node is to get nothing, or no more than a
// limit. It is passed on to everybody.
func binding(l cyclam.Load) bool {
	_, limited := l.RateLimit.PerSecond()
	return limited || l.Leaving
}

// audience describes to whom loads are sent.
type audience struct {
	// region is the receiver's; empty if it is not known.
	region cyclam.Region
	// brief is set if the receiver wants no loads of other nodes but those that bind it.
	brief bool
}

// farMaxLoads limits the loads in one message to another region, most of whose nodes send
// nothing here.
const farMaxLoads = 8

// maxLoads returns how many loads a message holds at most besides those that bind the receiver.
func (n *Node) maxLoads(to audience) int {
	switch {
	case to.brief:
		return 1
	case n.isFar(to):
		return farMaxLoads
	default:
		return gossipMaxLoads
	}
}

// isFar reports whether the receiver is of another region.
func (n *Node) isFar(to audience) bool {
	return to.region != "" && to.region != n.Settings.Self.Locality.Region
}

// notableBacklog is the backlog of a link above which a load is passed on.
const notableBacklog = 50 * time.Millisecond

// notable reports whether a load would affect which node is picked. Nodes whose
// load is not reported count as idle.
func notable(l cyclam.Load) bool {
	_, limited := l.RateLimit.PerSecond()
	return limited || l.Leaving || max(l.SendBacklog, l.ReceiveBacklog) > notableBacklog || l.Failing > notableFailing || 2*(l.Running+l.Waiting) >= l.Limit
}

// gossipLoads returns this node's load and the recent, notable loads of other nodes that are
// of use to the receiver, which knows those of its own region better.
// In a large fleet two given nodes rarely exchange messages, so that without gossip
// their views of each other would be stale.
func (n *Node) gossipLoads(to audience) []*wire.NodeLoad {
	reports := []*wire.NodeLoad{
		{
			Instance: string(n.self.Instance),
			Load:     n.load(),
		},
	}
	most, far := n.maxLoads(to), n.isFar(to)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, m := range n.fleet.members {
		age := now.Sub(m.view.LoadAt)
		switch {
		case len(reports) >= gossipMaxLoads:
			return reports
		case age > gossipMaxAge, !notable(m.view.Load):
			continue
		case binding(m.view.Load):
		case len(reports) >= most, far && m.view.Endpoint.Locality.Region == to.region:
			continue
		}
		reports = append(reports, &wire.NodeLoad{
			Instance: string(name),
			Load:     encodeLoad(m.view.Load, m.view.Endpoint.Incarnation, n.fleet.noticeFor(name, now)),
			AgeUs:    age.Microseconds(),
		})
	}
	return reports
}

// mergeLoads applies reported loads that are newer than the known load of the same
// process.
func (n *Node) mergeLoads(reports []*wire.NodeLoad) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range reports {
		m, ok := n.fleet.members[cyclam.InstanceName(r.GetInstance())]
		if !ok || m.view.Endpoint.Incarnation != cyclam.Incarnation(r.GetLoad().GetIncarnation()) {
			continue
		}
		m.noteClock(r.GetLoad(), now)
		at := now.Add(-max(0, microseconds(r.GetAgeUs())))
		if at.After(m.view.LoadAt) {
			m.view = m.view.WithLoad(at, decodeLoad(r.GetLoad()))
			if m.view.Load.Leaving {
				m.settleFinished()
			}
			// The time in a notice counts from the message, not from the load.
			n.fleet.updateNotice(cyclam.InstanceName(r.GetInstance()), r.GetLoad(), now)
		}
	}
}
