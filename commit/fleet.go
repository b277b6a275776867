package commit

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// FleetStatusName is the name of the status object of the whole fleet.
const FleetStatusName = "fleet"

// fleetStatusInterval is the minimum interval between writes of the fleet's status.
const fleetStatusInterval = 500 * time.Millisecond

// FleetStatus is the value of the fleet's status object.
type FleetStatus struct {
	// Version is the accepted version.
	Version cyclam.Version `json:"version"`
	Nodes   int            `json:"nodes"`
	InForce int            `json:"in-force"`
	// Converged is the time from acceptance until the version was in force on all
	// nodes; empty until then, and if the time is unknown.
	Converged   string         `json:"converged,omitempty"`
	DataCentres []CentreStatus `json:"data-centres"`
}

// CentreStatus is the status of the nodes of one data centre.
type CentreStatus struct {
	DataCentre string         `json:"data-centre"`
	Nodes      int            `json:"nodes"`
	InForce    int            `json:"in-force"`
	Oldest     cyclam.Version `json:"oldest"`
}

// convergence tracks the roll-out of the accepted version over the fleet.
type convergence struct {
	version     cyclam.Version
	acceptedAt  time.Time
	duration    time.Duration
	lastWritten FleetStatus
	nextWrite   time.Time
}

func (c convergence) withAccepted(now time.Time, version cyclam.Version) convergence {
	c.version = version
	c.acceptedAt = now
	c.duration = 0
	return c
}

// withInherited tracks a version that an earlier root accepted; its time of
// acceptance is unknown to this process.
func (c convergence) withInherited(version cyclam.Version) convergence {
	c.version = version
	c.duration = unknownConvergenceTime
	return c
}

// unknownConvergenceTime marks a convergence time that cannot be determined.
const unknownConvergenceTime time.Duration = -1

// WithReport applies the report aggregated over the whole tree. It emits Converged once
// the accepted version is in force on all nodes, and writes the fleet's status when it
// has changed.
func (s State) WithReport(now time.Time, version cyclam.Version, report cyclam.Report) (State, []cyclam.Effect) {
	if s.phase == phaseIdle || version == 0 {
		return s, nil
	}
	if s.convergence.version < version {
		s.convergence = s.convergence.withInherited(version)
	}
	var effects []cyclam.Effect
	status := summarise(version, report)
	if status.Nodes == status.InForce && s.convergence.duration == 0 {
		s.convergence.duration = max(now.Sub(s.convergence.acceptedAt), time.Nanosecond)
		effects = append(effects, cyclam.Converged{
			Version: version,
			Took:    s.convergence.duration,
			Nodes:   status.Nodes,
		})
	}
	if status.Nodes == status.InForce && s.convergence.duration > 0 {
		status.Converged = s.convergence.duration.Round(time.Microsecond).String()
	}
	if now.Before(s.convergence.nextWrite) || equal(status, s.convergence.lastWritten) {
		return s, effects
	}
	s.convergence.lastWritten = status
	s.convergence.nextWrite = now.Add(fleetStatusInterval)
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
