package proxy

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// linkUnit is the wire's unit of a link's rate, in bytes a second.
const linkUnit = 1000

// failingUnit is the part of the wire's share of failed answers.
const failingUnit = 1000

func encodeLoad(l cyclam.Load, incarnation cyclam.Incarnation) *wire.Load {
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
		LinkKbps:      uint32(l.LinkRate / linkUnit),
	}
}

func decodeLoad(l *wire.Load) cyclam.Load {
	return cyclam.Load{
		Running:     int(l.GetRunning()),
		Waiting:     int(l.GetWaiting()),
		Limit:       int(l.GetLimit()),
		ServiceTime: time.Duration(l.GetServiceTimeUs()) * time.Microsecond,
		Failing:     float64(l.GetFailing()) / failingUnit,
		Leaving:     l.GetLeaving(),
		Version:     cyclam.Version(l.GetVersion()),
		SendBacklog: time.Duration(l.GetSendingUs()) * time.Microsecond,
		LinkRate:    float64(l.GetLinkKbps()) * linkUnit,
	}
}

const (
	// passOnAge is the age up to which a load is passed on to other nodes.
	passOnAge = time.Second
	// passOnMost bounds the loads in one message to some 3 KB; which of more are
	// left out changes from message to message.
	passOnMost = 64
	// failingNotable is the share of failed answers from which others are told.
	failingNotable = 0.05
)

// sendingNotable is the same for what waits to be sent.
const sendingNotable = 50 * time.Millisecond

// notable reports whether a load would change a choice: what is not told counts
// as idle.
func notable(l cyclam.Load) bool {
	return l.Leaving || l.SendBacklog > sendingNotable || l.Failing > failingNotable || 2*(l.Running+l.Waiting) >= l.Limit
}

// loads returns the own load and those of other nodes that are fresh and matter.
// In a large fleet two nodes seldom talk, so that views of each other are old.
func (n *Node) loads() []*wire.NodeLoad {
	told := []*wire.NodeLoad{
		{
			Instance: string(n.self.Instance),
			Load:     n.load(),
		},
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, m := range n.fleet.members {
		age := now.Sub(m.view.LoadAt)
		if age > passOnAge || !notable(m.view.Load) {
			continue
		}
		told = append(told, &wire.NodeLoad{
			Instance: string(name),
			Load:     encodeLoad(m.view.Load, m.view.Endpoint.Incarnation),
			AgeUs:    age.Microseconds(),
		})
		if len(told) == passOnMost {
			break
		}
	}
	return told
}

// hearLoads takes in loads that are newer than what is known of the same process.
func (n *Node) hearLoads(told []*wire.NodeLoad) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range told {
		m, ok := n.fleet.members[cyclam.InstanceName(t.GetInstance())]
		if !ok || m.view.Endpoint.Incarnation != cyclam.Incarnation(t.GetLoad().GetIncarnation()) {
			continue
		}
		at := now.Add(-max(0, time.Duration(t.GetAgeUs())*time.Microsecond))
		if at.After(m.view.LoadAt) {
			m.view.Load = decodeLoad(t.GetLoad())
			m.view.LoadAt = at
		}
	}
}
