package commit

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// FleetStatusName is the name of the status object of the fleet as a whole.
const FleetStatusName = "fleet"

// fleetPause is the shortest time between two writes of the fleet's status.
const fleetPause = 500 * time.Millisecond

// FleetStatus is the value of the fleet's status object.
type FleetStatus struct {
	// Version is the accepted version.
	Version cyclam.Version `json:"version"`
	Nodes   int            `json:"nodes"`
	InForce int            `json:"in-force"`
	// Converged is how long the version took to be in force everywhere; empty
	// while it is not.
	Converged   string         `json:"converged,omitempty"`
	DataCentres []CentreStatus `json:"data-centres"`
}

// CentreStatus is one data centre's part of the fleet's status.
type CentreStatus struct {
	DataCentre string         `json:"data-centre"`
	Nodes      int            `json:"nodes"`
	InForce    int            `json:"in-force"`
	Oldest     cyclam.Version `json:"oldest"`
}

// fleet follows how far the accepted version has spread.
type fleet struct {
	version cyclam.Version
	since   time.Time
	took    time.Duration
	written FleetStatus
	next    time.Time
}

func (f fleet) accepted(now time.Time, version cyclam.Version) fleet {
	f.version = version
	f.since = now
	f.took = 0
	return f
}

// inherited follows a version that an earlier root accepted, whose time of
// acceptance is not known here.
func (f fleet) inherited(version cyclam.Version) fleet {
	f.version = version
	f.took = unknownTook
	return f
}

// unknownTook stands for a convergence time that cannot be told.
const unknownTook time.Duration = -1

// WithReport takes in the report over the whole tree and tells when the accepted
// version is in force everywhere.
func (s State) WithReport(now time.Time, version cyclam.Version, report cyclam.Report) (State, []cyclam.Effect) {
	if s.phase == phaseIdle || version == 0 {
		return s, nil
	}
	if s.fleet.version < version {
		s.fleet = s.fleet.inherited(version)
	}
	var effects []cyclam.Effect
	status := summarise(version, report)
	if status.Nodes == status.InForce && s.fleet.took == 0 {
		s.fleet.took = max(now.Sub(s.fleet.since), time.Nanosecond)
		effects = append(effects, cyclam.Converged{
			Version: version,
			Took:    s.fleet.took,
			Nodes:   status.Nodes,
		})
	}
	if status.Nodes == status.InForce && s.fleet.took > 0 {
		status.Converged = s.fleet.took.Round(time.Microsecond).String()
	}
	if now.Before(s.fleet.next) || equal(status, s.fleet.written) {
		return s, effects
	}
	s.fleet.written = status
	s.fleet.next = now.Add(fleetPause)
	return s, append(effects, cyclam.WriteStatus{
		Name:  FleetStatusName,
		Value: status,
	})
}

func summarise(version cyclam.Version, report cyclam.Report) FleetStatus {
	status := FleetStatus{
		Version: version,
	}
	for _, centre := range report.Centres {
		c := CentreStatus{
			DataCentre: string(centre.DataCentre),
			Oldest:     version,
		}
		for _, v := range centre.Versions {
			c.Nodes += v.Nodes
			c.Oldest = min(c.Oldest, v.Version)
			if v.Version >= version {
				c.InForce += v.Nodes
			}
		}
		status.Nodes += c.Nodes
		status.InForce += c.InForce
		status.DataCentres = append(status.DataCentres, c)
	}
	return status
}

func equal(a, b FleetStatus) bool {
	return a.Version == b.Version && a.Converged == b.Converged && slices.Equal(a.DataCentres, b.DataCentres)
}
