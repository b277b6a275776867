// Package conf holds the configuration as immutable sets of resources: it parses
// objects, validates sets, computes digests, applies deltas and snapshots, and splits
// sets into chunks for storage. Every node runs it when a configuration arrives; the
// root also uses it to decide which of the operators' changes to accept.
package conf

import (
	"encoding/json"
	"regexp"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/strict"
	"github.com/pkg/errors"
)

// NameLimit is the maximum length of an object name in bytes.
const NameLimit = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

type serviceSpec struct {
	Timeout time.Duration `json:"timeout" min:"1ms" max:"10m"`
}

type routeSpec struct {
	PathPrefix        string        `json:"path-prefix" required:"true"`
	Service           string        `json:"service" required:"true"`
	Timeout           time.Duration `json:"timeout" min:"1ms" max:"10m"`
	IdempotentMethods []string      `json:"idempotent-methods"`
}

type ruleSpec struct {
	Service     string   `json:"service" required:"true"`
	Regions     []string `json:"regions"`
	DataCentres []string `json:"data-centres"`
}

// DefaultTimeout is the timeout of a call if neither its route nor its service sets
// one.
const DefaultTimeout = 2 * time.Second

// Parse decodes and validates an operator's object. It returns the resource, or all
// problems found.
func Parse(object cyclam.Object) (cyclam.Resource, []cyclam.Problem) {
	p := &parser{
		object: object.Key().String(),
	}
	p.checkName("name", object.Name)
	var resource cyclam.Resource
	switch object.Kind {
	case cyclam.KindService:
		resource = p.service(object)
	case cyclam.KindRoute:
		resource = p.route(object)
	case cyclam.KindPlacementRule:
		resource = p.rule(object)
	default:
		p.addProblem("kind", "unknown kind "+string(object.Kind)+", want service, route or placement-rule")
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return resource, nil
}

type parser struct {
	object   string
	problems []cyclam.Problem
}

func (p *parser) addProblem(path, reason string) {
	p.problems = append(p.problems, cyclam.Problem{
		Object: p.object,
		Path:   path,
		Reason: reason,
	})
}

func (p *parser) checkName(path, name string) {
	if len(name) > NameLimit || !namePattern.MatchString(name) {
		p.addProblem(path, "got \""+name+"\", want up to 63 lower-case letters, digits, dots and hyphens")
	}
}

func (p *parser) decode(object cyclam.Object, into any) {
	for _, fault := range strict.Decode(object.Spec, into) {
		p.addProblem("spec."+fault.Path, fault.Reason)
	}
}

func (p *parser) service(object cyclam.Object) cyclam.Resource {
	spec := serviceSpec{
		Timeout: DefaultTimeout,
	}
	p.decode(object, &spec)
	return cyclam.Service{
		Name:    cyclam.ServiceName(object.Name),
		Timeout: spec.Timeout,
	}
}

func (p *parser) route(object cyclam.Object) cyclam.Resource {
	spec := routeSpec{
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
	}
	p.decode(object, &spec)
	if spec.PathPrefix != "" && !strings.HasPrefix(spec.PathPrefix, "/") {
		p.addProblem("spec.path-prefix", "got \""+spec.PathPrefix+"\", want a path that starts with /")
	}
	for _, method := range spec.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) {
			p.addProblem("spec.idempotent-methods", "got \""+method+"\", want an upper-case method")
		}
	}
	return cyclam.Route{
		Name:              object.Name,
		PathPrefix:        trimTrailingSlashes(spec.PathPrefix),
		Service:           cyclam.ServiceName(spec.Service),
		Timeout:           spec.Timeout,
		IdempotentMethods: spec.IdempotentMethods,
	}
}

func (p *parser) rule(object cyclam.Object) cyclam.Resource {
	spec := ruleSpec{}
	p.decode(object, &spec)
	rule := cyclam.PlacementRule{
		Name:    object.Name,
		Service: cyclam.ServiceName(spec.Service),
	}
	for _, region := range spec.Regions {
		p.checkName("spec.regions", region)
		rule.Regions = append(rule.Regions, cyclam.Region(region))
	}
	for _, centre := range spec.DataCentres {
		p.checkName("spec.data-centres", centre)
		rule.DataCentres = append(rule.DataCentres, cyclam.DataCentre(centre))
	}
	if len(rule.Regions) == 0 && len(rule.DataCentres) == 0 {
		p.addProblem("spec", "allows nothing, want regions or data-centres")
	}
	return rule
}

func trimTrailingSlashes(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimRight(prefix, "/")
	}
	return prefix
}

// Encode encodes a resource as the object that Parse decodes. The encoding is
// deterministic, as digests and chunk names depend on it.
func Encode(resource cyclam.Resource) cyclam.Object {
	key := resource.Key()
	return cyclam.Object{
		Kind: key.Kind,
		Name: key.Name,
		Spec: encodeSpec(resource),
	}
}

func encodeSpec(resource cyclam.Resource) json.RawMessage {
	fields := map[string]any{}
	switch r := resource.(type) {
	case cyclam.Service:
		fields["timeout"] = r.Timeout.String()
	case cyclam.Route:
		fields["path-prefix"] = r.PathPrefix
		fields["service"] = r.Service
		fields["idempotent-methods"] = r.IdempotentMethods
		if r.Timeout > 0 {
			fields["timeout"] = r.Timeout.String()
		}
	case cyclam.PlacementRule:
		fields["service"] = r.Service
		if len(r.Regions) > 0 {
			fields["regions"] = r.Regions
		}
		if len(r.DataCentres) > 0 {
			fields["data-centres"] = r.DataCentres
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		panic(errors.Wrap(err, "encode "+resource.Key().String()))
	}
	return data
}
