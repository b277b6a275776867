package tree

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// versionsPerCentre bounds a report; the oldest versions are counted together.
const versionsPerCentre = 4

// Report counts the versions in force at this node and below it.
func (s State) Report() cyclam.Report {
	counts := map[cyclam.DataCentre]map[cyclam.Version]int{
		s.Self.Locality.DataCentre: {s.Conf.Version: 1},
	}
	s.each(func(l link) {
		if l.child && l.joined {
			merge(counts, l.report)
		}
	})
	var report cyclam.Report
	for centre, versions := range counts {
		report.Centres = append(report.Centres, cyclam.CentreReport{
			DataCentre: centre,
			Versions:   bounded(versions),
		})
	}
	slices.SortFunc(report.Centres, func(a, b cyclam.CentreReport) int {
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
	return report
}

func merge(counts map[cyclam.DataCentre]map[cyclam.Version]int, report cyclam.Report) {
	for _, centre := range report.Centres {
		if counts[centre.DataCentre] == nil {
			counts[centre.DataCentre] = map[cyclam.Version]int{}
		}
		for _, v := range centre.Versions {
			counts[centre.DataCentre][v.Version] += v.Nodes
		}
	}
}

// bounded lists the newest versions first and adds the rest to the oldest kept.
func bounded(versions map[cyclam.Version]int) []cyclam.VersionCount {
	var out []cyclam.VersionCount
	for version, nodes := range versions {
		out = append(out, cyclam.VersionCount{
			Version: version,
			Nodes:   nodes,
		})
	}
	slices.SortFunc(out, func(a, b cyclam.VersionCount) int {
		if a.Version > b.Version {
			return -1
		}
		return 1
	})
	if len(out) <= versionsPerCentre {
		return out
	}
	last := &out[versionsPerCentre-1]
	for _, v := range out[versionsPerCentre:] {
		last.Nodes += v.Nodes
		last.Version = v.Version
	}
	return out[:versionsPerCentre]
}

// reportUp sends the parent the counts when they have changed.
func (s State) reportUp() (State, []cyclam.Effect) {
	l, ok := s.links.Get(s.parent)
	if !ok {
		return s, nil
	}
	report := s.Report()
	if same(report, s.reported) {
		return s, nil
	}
	s.reported = report
	return s, []cyclam.Effect{send(l, report)}
}

func same(a, b cyclam.Report) bool {
	return slices.EqualFunc(a.Centres, b.Centres, func(x, y cyclam.CentreReport) bool {
		return x.DataCentre == y.DataCentre && slices.Equal(x.Versions, y.Versions)
	})
}
