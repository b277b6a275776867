// Package conf holds sets of resources: how objects are parsed, checked
// together, hashed, changed by deltas, cut into chunks, and accepted.
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

// NameLimit is the longest object name in bytes.
const NameLimit = 63

var nameShape = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

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

// DefaultTimeout bounds a call where neither route nor service says otherwise.
const DefaultTimeout = 2 * time.Second

// Parse reads an operator's object; every problem found is returned.
func Parse(object cyclam.Object) (cyclam.Resource, []cyclam.Problem) {
	p := &parser{
		object: object.Key().String(),
	}
	p.name("name", object.Name)
	var resource cyclam.Resource
	switch object.Kind {
	case cyclam.KindService:
		resource = p.service(object)
	case cyclam.KindRoute:
		resource = p.route(object)
	case cyclam.KindPlacementRule:
		resource = p.rule(object)
	default:
		p.fail("kind", "unknown kind "+string(object.Kind)+", want service, route or placement-rule")
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

func (p *parser) fail(path, reason string) {
	p.problems = append(p.problems, cyclam.Problem{
		Object: p.object,
		Path:   path,
		Reason: reason,
	})
}

func (p *parser) name(path, name string) {
	if len(name) > NameLimit || !nameShape.MatchString(name) {
		p.fail(path, "got \""+name+"\", want up to 63 lower-case letters, digits, dots and hyphens")
	}
}

func (p *parser) decode(object cyclam.Object, into any) {
	for _, fault := range strict.Decode(object.Spec, into) {
		p.fail("spec."+fault.Path, fault.Reason)
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
		p.fail("spec.path-prefix", "got \""+spec.PathPrefix+"\", want a path that starts with /")
	}
	for _, method := range spec.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) {
			p.fail("spec.idempotent-methods", "got \""+method+"\", want an upper-case method")
		}
	}
	return cyclam.Route{
		Name:              object.Name,
		PathPrefix:        trimPrefix(spec.PathPrefix),
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
		p.name("spec.regions", region)
		rule.Regions = append(rule.Regions, cyclam.Region(region))
	}
	for _, centre := range spec.DataCentres {
		p.name("spec.data-centres", centre)
		rule.DataCentres = append(rule.DataCentres, cyclam.DataCentre(centre))
	}
	if len(rule.Regions) == 0 && len(rule.DataCentres) == 0 {
		p.fail("spec", "allows nothing, want regions or data-centres")
	}
	return rule
}

func trimPrefix(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimRight(prefix, "/")
	}
	return prefix
}

// Encode writes a resource as the object that Parse reads; the same resource
// always gives the same bytes.
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
