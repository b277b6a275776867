// Package fleet runs a deployment as separate processes on one machine: the
// platform stand-in, upstream stand-ins, and one node for each upstream. The demo,
// the benchmarks and the integration tests start their deployments with it.
package fleet

import (
	"encoding/json"
	"os"
	"strconv"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Spec describes a deployment, as fleet.json of a sample holds it.
type Spec struct {
	Name string `json:"name"`
	// PlatformRegion is the region in which the nodes place the platform.
	PlatformRegion string          `json:"platform-region"`
	DataCentres    []DataCentre    `json:"data-centres"`
	Services       []Service       `json:"services"`
	LookupPath     string          `json:"lookup-path"`
	BookingPath    string          `json:"booking-path"`
	ChangedRoute   json.RawMessage `json:"changed-route"`
	ChangedPath    string          `json:"changed-path"`
	ChangedService string          `json:"changed-service"`
	Tuning         map[string]any  `json:"tuning"`
	// Upstream overrides entries of the upstream section of the nodes' settings.
	Upstream map[string]any `json:"upstream"`
	// Wait makes the upstream stand-ins queue work beyond their slots without a
	// limit instead of refusing it.
	Wait bool `json:"wait"`
	// Delay is the upstream stand-ins' service time, such as 50ms; 1ms if empty.
	Delay string `json:"delay"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Service is a service with one upstream for each entry of Upstreams, which names
// the upstream's data centre. Slots and Connections limit each upstream.
type Service struct {
	Name        string   `json:"name"`
	Upstreams   []string `json:"upstreams"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}

// ReadSpec reads a Spec from a JSON file.
func ReadSpec(path string) (Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, errors.Wrap(err, "read deployment")
	}
	var spec Spec
	return spec, errors.Wrap(json.Unmarshal(data, &spec), "decode deployment")
}

// Member is an instance: a node and its upstream, each address as host:port.
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

// portsPerMember covers calls, data, control, admin and the upstream.
const portsPerMember = 5

// Members lists the deployment's instances. Their ports start at base+1; base is
// the platform's port.
func (s Spec) Members(base int) []Member {
	regions := map[string]string{}
	for _, centre := range s.DataCentres {
		regions[centre.Name] = centre.Region
	}
	var members []Member
	for _, service := range s.Services {
		for i, centre := range service.Upstreams {
			firstPort := base + 1 + portsPerMember*len(members)
			members = append(members, Member{
				Name:    service.Name + "-" + strconv.Itoa(i+1),
				Service: service,
				Locality: cyclam.Locality{
					Region:     cyclam.Region(regions[centre]),
					DataCentre: cyclam.DataCentre(centre),
				},
				Calls:    loopback(firstPort),
				Data:     loopback(firstPort + 1),
				Control:  loopback(firstPort + 2),
				Admin:    loopback(firstPort + 3),
				Upstream: loopback(firstPort + 4),
			})
		}
	}
	return members
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
