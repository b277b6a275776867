package setup

import (
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/admit"
	"github.com/cyclamensaddle/cyclam/core"
	"github.com/cyclamensaddle/cyclam/egress"
	"github.com/cyclamensaddle/cyclam/tree"
)

// CoreTuning returns the settings as parameters for package core.
func (s Settings) CoreTuning() core.Tuning {
	t := s.Tuning
	return core.Tuning{
		Tree: tree.Tuning{
			FanOut:            t.FanOut,
			Flush:             t.Flush,
			HeartbeatInterval: t.HeartbeatInterval,
			LinkTimeout:       t.LinkTimeout,
			Grace:             t.Grace,
			Term:              t.Term,
			PlatformRegion:    cyclam.Region(s.Platform.Region),
			Seeds:             s.Seeds,
		},
		Admit: admit.Tuning{
			Slots:      s.Upstream.Slots,
			Queue:      s.Upstream.Queue,
			QueueWait:  s.Upstream.QueueWait,
			ColdStart:  s.Upstream.ColdStart,
			AttemptTTL: t.AttemptTTL,
			KeyTTL:     t.KeyTTL,
		},
		Egress: egress.Tuning{
			MaxSends:   t.MaxSends,
			RetryShare: t.RetryShare,
			RetryBurst: t.RetryBurst,
			Ramp:       t.Ramp,
			EjectBase:  t.EjectBase,
			EjectMax:   t.EjectMax,
			ShedMax:    s.Upstream.QueueWait * 5,
		},
		LeaveWait: t.LeaveWait,
	}
}
