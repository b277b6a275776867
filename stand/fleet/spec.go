// Package fleet runs a whole deployment as separate processes on one machine:
// the platform stand-in, upstream stand-ins, and a node beside each.
package fleet

import (
	"encoding/json"
	"os"
	"strconv"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Spec describes a deployment.
type Spec struct {
	Name           string          `json:"name"`
	PlatformRegion string          `json:"platform-region"`
	DataCentres    []DataCentre    `json:"data-centres"`
	Services       []Service       `json:"services"`
	LookupPath     string          `json:"lookup-path"`
	BookingPath    string          `json:"booking-path"`
	ChangedRoute   json.RawMessage `json:"changed-route"`
	ChangedPath    string          `json:"changed-path"`
	ChangedService string          `json:"changed-service"`
	Tuning         map[string]any  `json:"tuning"`
	// Upstream overrides settings of the upstreams.
	Upstream map[string]any `json:"upstream"`
	// Wait makes the upstream stand-ins queue without a bound.
	Wait bool `json:"wait"`
	// Delay is the upstream stand-ins' service time, such as 50ms.
	Delay string `json:"delay"`
}

// DataCentre is one data centre.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Service is one service and the data centres of its upstreams.
type Service struct {
	Name        string   `json:"name"`
	Upstreams   []string `json:"upstreams"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}

// ReadSpec reads a deployment's description.
func ReadSpec(path string) (Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, errors.Wrap(err, "read deployment")
	}
	var spec Spec
	return spec, errors.Wrap(json.Unmarshal(data, &spec), "decode deployment")
}

// Member is one instance with all its addresses.
type Member struct {
	Name     string
	Service  Service
	Locality cyclam.Locality
	Calls    string
	Data     string
	Control  string
	Admin    string
	Upstream string
}

// portsPerMember is how many ports an instance uses.
const portsPerMember = 5

// Members lists the deployment's instances with ports from a base upwards; the
// base itself is the platform's.
func (s Spec) Members(base int) []Member {
	regions := map[string]string{}
	for _, centre := range s.DataCentres {
		regions[centre.Name] = centre.Region
	}
	var members []Member
	for _, service := range s.Services {
		for i, centre := range service.Upstreams {
			first := base + 1 + portsPerMember*len(members)
			members = append(members, Member{
				Name:    service.Name + "-" + strconv.Itoa(i+1),
				Service: service,
				Locality: cyclam.Locality{
					Region:     cyclam.Region(regions[centre]),
					DataCentre: cyclam.DataCentre(centre),
				},
				Calls:    local(first),
				Data:     local(first + 1),
				Control:  local(first + 2),
				Admin:    local(first + 3),
				Upstream: local(first + 4),
			})
		}
	}
	return members
}

func local(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
