package commit

import (
	"encoding/json"
	"strings"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
)

// ObjectStatus is the value of the status object of an operator's object.
type ObjectStatus struct {
	Object   string          `json:"object"`
	Revision uint64          `json:"revision"`
	State    conf.Decision   `json:"state"`
	Version  cyclam.Version  `json:"version"`
	Problems []StatusProblem `json:"problems,omitempty"`
}

// StatusProblem is one reason for which an object was refused.
type StatusProblem struct {
	Object string `json:"object"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// StatusName returns the name of the status object of an operator's object.
func StatusName(key cyclam.Key) string {
	return strings.ReplaceAll(key.String(), "/", ".")
}

// ledger remembers what the status objects say, so that only changes of them
// are written.
type ledger struct {
	said *immutable.Map[string, string]
}

func newLedger() ledger {
	return ledger{
		said: immutable.NewMap[string, string](nil),
	}
}

// withList takes in the status objects that are stored.
func (l ledger) withList(objects []cyclam.Object) ledger {
	for _, object := range objects {
		var status ObjectStatus
		if object.Kind != cyclam.KindStatus || json.Unmarshal(object.Spec, &status) != nil {
			continue
		}
		l.said = l.said.Set(object.Name, status.print())
	}
	return l
}

// print returns what matters of a status but for the version, which stays that
// of the object's own acceptance.
func (o ObjectStatus) print() string {
	o.Version = 0
	data, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "encode status"))
	}
	return string(data)
}

// statuses returns the writes that bring the objects' statuses up to date.
func (s State) statuses(rulings []conf.ObjectDecision, version cyclam.Version) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, r := range rulings {
		status := ObjectStatus{
			Object:   r.Object.String(),
			Revision: r.Revision,
			State:    r.Decision,
			Version:  version,
		}
		for _, p := range r.Problems {
			status.Problems = append(status.Problems, StatusProblem(p))
		}
		name := StatusName(r.Object)
		if said, ok := s.ruled.said.Get(name); ok && said == status.print() {
			continue
		}
		s.ruled.said = s.ruled.said.Set(name, status.print())
		effects = append(effects, cyclam.WriteStatus{
			Name:  name,
			Value: status,
		})
	}
	return s, effects
}
