package proxy

import (
	"cmp"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/cyclamensaddle/cyclam/wire"
)

// maxRunReports bounds the reports of each release in one message.
const maxRunReports = 8

// encodeRollouts returns what this node knows of rollouts, and whether it knows all.
func (n *Node) encodeRollouts() ([]*wire.Rollout, bool) {
	if !n.followsRollouts() {
		return nil, false
	}
	fenced := n.isFenced(n.Settings.Self.Service)
	now := time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	var list []*wire.Rollout
	for _, s := range n.rollouts.services {
		if fenced && s.Service == n.Settings.Self.Service {
			s.fenced[n.self] = true
		}
		w := &wire.Rollout{
			Service:       string(s.Service),
			Release:       s.Release,
			Order:         s.Order,
			Era:           s.Era,
			Revision:      s.Revision,
			Name:          s.Key.Name,
			DurationUs:    s.Duration.Microseconds(),
			AgeUs:         now.Sub(s.since).Microseconds(),
			StatusOrder:   s.Status.Order,
			StatusRelease: s.Status.Release,
			From:          s.Status.From,
			Stage:         uint32(s.Status.Stage),
			Step:          uint32(s.Status.Step),
			Reason:        s.Status.Reason,
			Halted:        s.halted,
		}
		if !s.Stage().IsFinal() {
			w.Reports = s.encodeReports(n.self)
		}
		list = append(list, w)
	}
	return list, n.rollouts.known
}

// encodeReports returns the reports of this node and of some others of each release, and the
// nodes that are fenced.
func (s *rolloutState) encodeReports(self cyclam.Identity) []*wire.RunReport {
	all := s.evidence.All()
	var sources []canary.Source
	for from := range all {
		sources = append(sources, from)
	}
	slices.SortFunc(sources, func(a, b canary.Source) int {
		if a.Identity == self || b.Identity == self {
			return cmp.Compare(btoi(b.Identity == self), btoi(a.Identity == self))
		}
		return cmp.Compare(canary.Hash(s.Order, a.Instance), canary.Hash(s.Order, b.Instance))
	})
	var reports []*wire.RunReport
	told := map[cyclam.Identity]bool{}
	sent := map[bool]int{}
	for _, from := range sources {
		if sent[from.New] >= maxRunReports {
			continue
		}
		sent[from.New]++
		told[from.Identity] = true
		reports = append(reports, &wire.RunReport{
			Instance:    string(from.Instance),
			Incarnation: uint64(from.Incarnation),
			Fresh:       from.New,
			Fenced:      s.fenced[from.Identity],
			Tallies:     encodeTallies(all[from]),
		})
	}
	for identity := range s.fenced {
		if !told[identity] {
			reports = append(reports, &wire.RunReport{
				Instance:    string(identity.Instance),
				Incarnation: uint64(identity.Incarnation),
				Fenced:      true,
			})
		}
	}
	return reports
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func encodeTallies(report canary.Report) []*wire.RunTally {
	var tallies []*wire.RunTally
	for slot, t := range report {
		w := &wire.RunTally{
			Route:  slot.Route,
			Window: uint32(slot.Window + 1),
			Runs:   t.Runs,
			Failed: t.Failed,
		}
		first := slices.IndexFunc(t.Times[:], func(count uint32) bool { return count > 0 })
		if first >= 0 {
			last := len(t.Times)
			for last > first && t.Times[last-1] == 0 {
				last--
			}
			w.FirstTime, w.Times = uint32(first), slices.Clone(t.Times[first:last])
		}
		tallies = append(tallies, w)
	}
	return tallies
}

func decodeTallies(tallies []*wire.RunTally) canary.Report {
	report := canary.Report{}
	for _, w := range tallies {
		t := canary.Tally{
			Runs:   w.GetRuns(),
			Failed: w.GetFailed(),
		}
		if first := int(w.GetFirstTime()); first < len(t.Times) {
			copy(t.Times[first:], w.GetTimes())
		}
		report[canary.Slot{
			Route:  w.GetRoute(),
			Window: int(w.GetWindow()) - 1,
		}] = t
	}
	return report
}

// learnRollouts merges what another node knows of rollouts.
func (n *Node) learnRollouts(list []*wire.Rollout, known bool) {
	if !n.followsRollouts() || len(list) == 0 && !known {
		return
	}
	for _, w := range list {
		if w.GetStage() > uint32(cyclam.RolloutRolledBack) || w.GetService() == "" || w.GetOrder() == "" {
			continue
		}
		n.learnRollout(w)
	}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	n.rollouts.known = n.rollouts.known || known
}

func (n *Node) learnRollout(w *wire.Rollout) {
	r := decodeRollout(w, n.Rollouts.RolloutKind())
	n.applyRollout(r, microseconds(w.GetAgeUs()), "node")
	n.rollouts.mu.Lock()
	s := n.rollouts.services[r.Service]
	same := s != nil && s.Order == r.Order && !s.Stage().IsFinal()
	if same {
		for _, report := range w.GetReports() {
			s.learnReport(report, n.self)
		}
	}
	n.rollouts.mu.Unlock()
	if !same {
		return
	}
	if w.GetHalted() != "" {
		n.haltRollout(r.Service, r.Order, w.GetHalted())
	}
	n.judgeRollout(r.Service)
}

func (s *rolloutState) learnReport(w *wire.RunReport, self cyclam.Identity) {
	from := cyclam.Identity{
		Instance:    cyclam.InstanceName(w.GetInstance()),
		Incarnation: cyclam.Incarnation(w.GetIncarnation()),
	}
	if from == self {
		return
	}
	if w.GetFenced() {
		s.fenced[from] = true
	}
	source := canary.Source{
		Identity: from,
		New:      w.GetFresh(),
	}
	if len(w.GetTallies()) > 0 && s.evidence.HasRoom(source) {
		s.evidence = s.evidence.With(source, decodeTallies(w.GetTallies()))
	}
}

func decodeRollout(w *wire.Rollout, kind cyclam.Kind) cyclam.Rollout {
	return cyclam.Rollout{
		Key: cyclam.Key{
			Kind: kind,
			Name: w.GetName(),
		},
		Position: cyclam.Position{
			Era:      w.GetEra(),
			Revision: w.GetRevision(),
		},
		Order:    w.GetOrder(),
		Service:  cyclam.ServiceName(w.GetService()),
		Release:  w.GetRelease(),
		Duration: microseconds(w.GetDurationUs()),
		Status: cyclam.RolloutStatus{
			Order:   w.GetStatusOrder(),
			Release: w.GetStatusRelease(),
			From:    w.GetFrom(),
			Stage:   cyclam.RolloutStage(w.GetStage()),
			Step:    int(w.GetStep()),
			Reason:  w.GetReason(),
		},
	}
}
