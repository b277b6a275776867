package tree

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// versionsPerCentre bounds the size of a report: it is how many versions are
// reported per data centre. The oldest ones are counted together.
const versionsPerCentre = 4

// Report counts the nodes by data centre and version in force, for this node and
// its subtree.
func (s State) Report() cyclam.Report {
	counts := map[cyclam.DataCentre]map[cyclam.Version]int{
		s.Self.Locality.DataCentre: {s.Conf.Version: 1},
	}
	s.eachLink(func(l link) {
		if l.child && l.joined {
			addReport(counts, l.report)
		}
	})
	var report cyclam.Report
	for centre, versions := range counts {
		report.Centres = append(report.Centres, cyclam.CentreReport{
			DataCentre: centre,
			Versions:   newestVersions(versions),
		})
	}
	slices.SortFunc(report.Centres, func(a, b cyclam.CentreReport) int {
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
	return report
}

// addReport adds the counts of a child's report.
func addReport(counts map[cyclam.DataCentre]map[cyclam.Version]int, report cyclam.Report) {
	for _, centre := range report.Centres {
		if counts[centre.DataCentre] == nil {
			counts[centre.DataCentre] = map[cyclam.Version]int{}
		}
		for _, v := range centre.Versions {
			counts[centre.DataCentre][v.Version] += v.Nodes
		}
	}
}

// newestVersions returns the counts with the newest version first. Versions beyond
// versionsPerCentre are merged into the last entry, under the oldest version.
func newestVersions(versions map[cyclam.Version]int) []cyclam.VersionCount {
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

// reportUp sends the report to the parent if it has changed.
func (s State) reportUp() (State, []cyclam.Effect) {
	l, ok := s.links.Get(s.parent)
	if !ok {
		return s, nil
	}
	report := s.Report()
	if equalReports(report, s.reported) {
		return s, nil
	}
	s.reported = report
	return s, []cyclam.Effect{sendEffect(l, report)}
}

func equalReports(a, b cyclam.Report) bool {
	return slices.EqualFunc(a.Centres, b.Centres, func(x, y cyclam.CentreReport) bool {
		return x.DataCentre == y.DataCentre && slices.Equal(x.Versions, y.Versions)
	})
}
