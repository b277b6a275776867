package codec

import (
	"math"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

func decode(in *wire.Message) (cyclam.Message, error) {
	switch m := in.GetKind().(type) {
	case *wire.Message_Hello:
		return decodeHello(m.Hello)
	case *wire.Message_Welcome:
		return decodeWelcome(m.Welcome)
	case *wire.Message_Redirect:
		return cyclam.Redirect{
			Try: m.Redirect.GetTry(),
		}, nil
	case *wire.Message_Beat:
		b := m.Beat
		return cyclam.Beat{
			Path:    instanceNames(b.GetPath()),
			Role:    cyclam.Role(b.GetRole()),
			Version: cyclam.Version(b.GetVersion()),
			Total:   b.GetTotal(),
		}, nil
	case *wire.Message_Sums:
		return cyclam.Sums{
			Sums: m.Sums.GetSums(),
		}, nil
	case *wire.Message_News:
		endpoints, err := decodeAll(m.News.GetEndpoints(), DecodeEndpoint)
		return cyclam.News{
			Endpoints: endpoints,
		}, err
	case *wire.Message_Deltas:
		deltas, err := decodeAll(m.Deltas.GetDeltas(), decodeDelta)
		return cyclam.Deltas{
			Deltas: deltas,
		}, err
	case *wire.Message_Full:
		return decodeFull(m.Full)
	case *wire.Message_Pull:
		return cyclam.Pull{
			Version: cyclam.Version(m.Pull.GetVersion()),
			Whole:   m.Pull.GetWhole(),
		}, nil
	case *wire.Message_Report:
		return decodeReport(m.Report)
	default:
		return nil, errors.New("decode message: unknown kind")
	}
}

func decodeAll[A, B any](in []A, convert func(A) (B, error)) ([]B, error) {
	out := make([]B, 0, len(in))
	for _, a := range in {
		b, err := convert(a)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func instanceNames(in []string) []cyclam.InstanceName {
	return mapSlice(in, func(s string) cyclam.InstanceName { return cyclam.InstanceName(s) })
}

func decodeHello(m *wire.Hello) (cyclam.Message, error) {
	self, err := DecodeEndpoint(m.GetSelf())
	if err != nil {
		return nil, errors.Wrap(err, "decode hello")
	}
	return cyclam.Hello{
		Self:    self,
		Role:    cyclam.Role(m.GetRole()),
		Want:    cyclam.Role(m.GetWant()),
		Version: cyclam.Version(m.GetVersion()),
		Sums:    m.GetSums(),
	}, nil
}

func decodeWelcome(m *wire.Welcome) (cyclam.Message, error) {
	self, err := DecodeEndpoint(m.GetSelf())
	if err != nil {
		return nil, errors.Wrap(err, "decode welcome")
	}
	return cyclam.Welcome{
		Self:    self,
		Path:    instanceNames(m.GetPath()),
		Version: cyclam.Version(m.GetVersion()),
		Sums:    m.GetSums(),
	}, nil
}

// DecodeEndpoint decodes an endpoint. It returns an error if the instance or the
// service is empty or the state is unknown.
func DecodeEndpoint(m *wire.Endpoint) (cyclam.Endpoint, error) {
	if m.GetInstance() == "" || m.GetService() == "" {
		return cyclam.Endpoint{}, errors.New("decode endpoint: instance or service is empty")
	}
	state := cyclam.EndpointState(m.GetState())
	if m.GetState() > math.MaxUint8 || state < cyclam.EndpointReady || state > cyclam.EndpointGone {
		return cyclam.Endpoint{}, errors.Errorf("decode endpoint %s: unknown state %d", m.GetInstance(), m.GetState())
	}
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(m.GetInstance()),
			Incarnation: cyclam.Incarnation(m.GetIncarnation()),
		},
		Sequence: m.GetSequence(),
		State:    state,
		Service:  cyclam.ServiceName(m.GetService()),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(m.GetRegion()),
			DataCentre: cyclam.DataCentre(m.GetDataCentre()),
		},
		Data:    m.GetData(),
		Control: m.GetControl(),
		Slots:   m.GetSlots(),
		Parent:  cyclam.InstanceName(m.GetParent()),
		Release: m.GetRelease(),
	}, nil
}

func decodeResource(m *wire.Resource) (cyclam.Resource, error) {
	object := cyclam.Object{
		Kind: cyclam.Kind(m.GetKind()),
		Name: m.GetName(),
		Spec: m.GetSpec(),
	}
	resource, problems := conf.Parse(object)
	if len(problems) > 0 {
		return nil, errors.New("decode resource: " + problems[0].String())
	}
	return resource, nil
}

func decodeKey(m *wire.Resource) (cyclam.Key, error) {
	key := cyclam.Key{
		Kind: cyclam.Kind(m.GetKind()),
		Name: m.GetName(),
	}
	if !key.Kind.IsOperator() {
		return cyclam.Key{}, errors.Errorf("decode key: unknown kind %q", m.GetKind())
	}
	return key, nil
}

func decodeDigest(data []byte) (cyclam.Digest, error) {
	var digest cyclam.Digest
	if len(data) != len(digest) {
		return digest, errors.Errorf("decode digest: got %d bytes, want %d", len(data), len(digest))
	}
	copy(digest[:], data)
	return digest, nil
}

func decodeDelta(m *wire.Delta) (cyclam.Delta, error) {
	upserts, err := decodeAll(m.GetUpserts(), decodeResource)
	if err != nil {
		return cyclam.Delta{}, err
	}
	deletes, err := decodeAll(m.GetDeletes(), decodeKey)
	if err != nil {
		return cyclam.Delta{}, err
	}
	result, err := decodeDigest(m.GetResult())
	return cyclam.Delta{
		From:    cyclam.Version(m.GetFrom()),
		To:      cyclam.Version(m.GetTo()),
		Upserts: upserts,
		Deletes: deletes,
		Result:  result,
	}, err
}

func decodeFull(m *wire.Full) (cyclam.Message, error) {
	resources, err := decodeAll(m.GetResources(), decodeResource)
	if err != nil {
		return nil, err
	}
	result, err := decodeDigest(m.GetResult())
	return cyclam.Full{
		Snapshot: cyclam.Snapshot{
			Version:   cyclam.Version(m.GetVersion()),
			Resources: resources,
			Result:    result,
		},
	}, err
}

func decodeReport(m *wire.Report) (cyclam.Message, error) {
	report := cyclam.Report{}
	for _, c := range m.GetCentres() {
		centre := cyclam.CentreReport{
			DataCentre: cyclam.DataCentre(c.GetDataCentre()),
		}
		for _, v := range c.GetVersions() {
			if v.GetNodes() > math.MaxInt32 {
				return nil, errors.Errorf("decode report: got %d nodes, out of range", v.GetNodes())
			}
			centre.Versions = append(centre.Versions, cyclam.VersionCount{
				Version: cyclam.Version(v.GetVersion()),
				Nodes:   int(v.GetNodes()),
			})
		}
		report.Centres = append(report.Centres, centre)
	}
	return report, nil
}

// DecodeAttempt decodes an attempt's identity. It returns an error if the
// instance is empty.
func DecodeAttempt(m *wire.Attempt) (cyclam.AttemptID, error) {
	if m.GetInstance() == "" {
		return cyclam.AttemptID{}, errors.New("decode attempt: instance is empty")
	}
	sender := cyclam.Identity{
		Instance:    cyclam.InstanceName(m.GetInstance()),
		Incarnation: cyclam.Incarnation(m.GetIncarnation()),
	}
	return cyclam.AttemptID{
		Sender: sender,
		Number: m.GetNumber(),
	}, nil
}
