package commit

import (
	"encoding/json"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
)

// ObjectStatus is the value of the status object that belongs to an operator's
// object.
type ObjectStatus struct {
	Object   string          `json:"object"`
	Revision uint64          `json:"revision"`
	State    conf.Decision   `json:"state"`
	Version  cyclam.Version  `json:"version"`
	Problems []StatusProblem `json:"problems,omitempty"`
}

// StatusProblem is one reason for which an object was rejected or has to wait.
type StatusProblem struct {
	Object string `json:"object"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// StatusName returns the name of the status object that belongs to an operator's
// object.
func StatusName(key cyclam.Key) string {
	return strings.ReplaceAll(key.String(), "/", ".")
}

// statusCache holds the fingerprints of the stored status objects by name, so that
// only changed statuses are written.
type statusCache struct {
	stored *immutable.Map[string, string]
}

func newStatusCache() statusCache {
	return statusCache{
		stored: immutable.NewMap[string, string](nil),
	}
}

// withList adds the stored status objects of a list.
func (c statusCache) withList(objects []cyclam.Object) statusCache {
	for _, object := range objects {
		var status ObjectStatus
		if object.Kind != cyclam.KindStatus || json.Unmarshal(object.Spec, &status) != nil {
			continue
		}
		c.stored = c.stored.Set(object.Name, status.fingerprint())
	}
	return c
}

// fingerprint returns the encoded status without its version. A new version alone does
// not rewrite a status, which keeps the version in which the object was accepted.
func (o ObjectStatus) fingerprint() string {
	o.Version = 0
	data, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "encode status"))
	}
	return string(data)
}

// statusWrites returns the writes of the statuses that the decisions have changed.
func (s State) statusWrites(decisions []conf.ObjectDecision, version cyclam.Version) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, d := range decisions {
		status := ObjectStatus{
			Object:   d.Object.String(),
			Revision: d.Revision,
			State:    d.Decision,
			Version:  version,
		}
		for _, p := range d.Problems {
			status.Problems = append(status.Problems, StatusProblem(p))
		}
		name := StatusName(d.Object)
		if stored, ok := s.published.stored.Get(name); ok && stored == status.fingerprint() {
			continue
		}
		s.published.stored = s.published.stored.Set(name, status.fingerprint())
		effects = append(effects, cyclam.WriteStatus{
			Name:  name,
			Value: status,
		})
	}
	return s, effects
}
