package codec

import (
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

func encode(message cyclam.Message) (*wire.Message, error) {
	switch m := message.(type) {
	case cyclam.Hello:
		hello := &wire.Hello{
			Self:    EncodeEndpoint(m.Self),
			Role:    string(m.Role),
			Want:    string(m.Want),
			Version: uint64(m.Version),
			Sums:    m.Sums,
		}
		return &wire.Message{
			Kind: &wire.Message_Hello{
				Hello: hello,
			},
		}, nil
	case cyclam.Welcome:
		welcome := &wire.Welcome{
			Self:    EncodeEndpoint(m.Self),
			Path:    toStrings(m.Path),
			Version: uint64(m.Version),
			Sums:    m.Sums,
		}
		return &wire.Message{
			Kind: &wire.Message_Welcome{
				Welcome: welcome,
			},
		}, nil
	case cyclam.Redirect:
		return &wire.Message{
			Kind: &wire.Message_Redirect{
				Redirect: &wire.Redirect{
					Try: m.Try,
				},
			},
		}, nil
	case cyclam.Beat:
		beat := &wire.Beat{
			Path:    toStrings(m.Path),
			Role:    string(m.Role),
			Version: uint64(m.Version),
			Total:   m.Total,
		}
		return &wire.Message{
			Kind: &wire.Message_Beat{
				Beat: beat,
			},
		}, nil
	case cyclam.Sums:
		return &wire.Message{
			Kind: &wire.Message_Sums{
				Sums: &wire.Sums{
					Sums: m.Sums,
				},
			},
		}, nil
	case cyclam.News:
		return &wire.Message{
			Kind: &wire.Message_News{
				News: &wire.News{
					Endpoints: mapSlice(m.Endpoints, EncodeEndpoint),
				},
			},
		}, nil
	case cyclam.Deltas:
		return &wire.Message{
			Kind: &wire.Message_Deltas{
				Deltas: &wire.Deltas{
					Deltas: mapSlice(m.Deltas, encodeDelta),
				},
			},
		}, nil
	case cyclam.Full:
		full := &wire.Full{
			Version:   uint64(m.Snapshot.Version),
			Resources: mapSlice(m.Snapshot.Resources, encodeResource),
			Result:    m.Snapshot.Result[:],
		}
		return &wire.Message{
			Kind: &wire.Message_Full{
				Full: full,
			},
		}, nil
	case cyclam.Pull:
		return &wire.Message{
			Kind: &wire.Message_Pull{
				Pull: &wire.Pull{
					Version: uint64(m.Version),
					Whole:   m.Whole,
				},
			},
		}, nil
	case cyclam.Report:
		return &wire.Message{
			Kind: &wire.Message_Report{
				Report: encodeReport(m),
			},
		}, nil
	default:
		return nil, errors.Errorf("encode message: type %T has no wire form", message)
	}
}

func mapSlice[A, B any](in []A, convert func(A) B) []B {
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = convert(a)
	}
	return out
}

func toStrings[T ~string](in []T) []string {
	return mapSlice(in, func(t T) string { return string(t) })
}

// EncodeEndpoint returns the wire form of an endpoint.
func EncodeEndpoint(e cyclam.Endpoint) *wire.Endpoint {
	return &wire.Endpoint{
		Instance:    string(e.Instance),
		Incarnation: uint64(e.Incarnation),
		Sequence:    e.Sequence,
		State:       uint32(e.State),
		Service:     string(e.Service),
		Region:      string(e.Locality.Region),
		DataCentre:  string(e.Locality.DataCentre),
		Data:        e.Data,
		Control:     e.Control,
		Slots:       e.Slots,
		Parent:      string(e.Parent),
		Release:     e.Release,
	}
}

// encodeResource returns the wire form of a resource, with the spec that package
// conf encodes.
func encodeResource(resource cyclam.Resource) *wire.Resource {
	object := conf.Encode(resource)
	return &wire.Resource{
		Kind: string(object.Kind),
		Name: object.Name,
		Spec: object.Spec,
	}
}

// encodeKey returns a resource without a spec, which is the wire form of a key.
func encodeKey(key cyclam.Key) *wire.Resource {
	return &wire.Resource{
		Kind: string(key.Kind),
		Name: key.Name,
	}
}

func encodeDelta(d cyclam.Delta) *wire.Delta {
	return &wire.Delta{
		From:    uint64(d.From),
		To:      uint64(d.To),
		Upserts: mapSlice(d.Upserts, encodeResource),
		Deletes: mapSlice(d.Deletes, encodeKey),
		Result:  d.Result[:],
	}
}

func encodeReport(r cyclam.Report) *wire.Report {
	return &wire.Report{
		Centres: mapSlice(r.Centres, func(c cyclam.CentreReport) *wire.CentreReport {
			return &wire.CentreReport{
				DataCentre: string(c.DataCentre),
				Versions: mapSlice(c.Versions, func(v cyclam.VersionCount) *wire.VersionCount {
					return &wire.VersionCount{
						Version: uint64(v.Version),
						Nodes:   uint64(v.Nodes),
					}
				}),
			}
		}),
	}
}

// EncodeAttempt returns the wire form of an attempt's identity.
func EncodeAttempt(a cyclam.AttemptID) *wire.Attempt {
	return &wire.Attempt{
		Instance:    string(a.Sender.Instance),
		Incarnation: uint64(a.Sender.Incarnation),
		Number:      a.Number,
	}
}
