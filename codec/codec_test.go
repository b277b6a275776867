package codec

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/protobuf/proto"
)

var endpoint = cyclam.Endpoint{
	Identity: cyclam.Identity{
		Instance:    "stockview-1",
		Incarnation: 5,
	},
	Sequence: 2,
	State:    cyclam.EndpointLeaving,
	Service:  "stockview",
	Locality: cyclam.Locality{
		Region:     "north",
		DataCentre: "north-a",
	},
	Data:    "127.0.0.1:1",
	Control: "127.0.0.1:2",
	Slots:   12,
	Parent:  "stockview-2",
}

// sampleMessages holds one message of each kind.
func sampleMessages() []cyclam.Message {
	service := cyclam.Service{
		Name:    "stockview",
		Timeout: time.Second,
	}
	route := cyclam.Route{
		Name:              "stock",
		PathPrefix:        "/stock",
		Service:           "stockview",
		IdempotentMethods: []string{"GET"},
	}
	return []cyclam.Message{
		cyclam.Hello{
			Self:    endpoint,
			Role:    cyclam.RoleHub,
			Want:    cyclam.RoleLead,
			Version: 3,
			Sums:    []uint64{1, 2},
		},
		cyclam.Welcome{
			Self:    endpoint,
			Path:    []cyclam.InstanceName{"a", "b"},
			Version: 3,
			Sums:    []uint64{1},
		},
		cyclam.Redirect{
			Try: []string{"127.0.0.1:3"},
		},
		cyclam.Beat{
			Path:    []cyclam.InstanceName{"a"},
			Role:    cyclam.RoleHub,
			Version: 3,
			Total:   9,
		},
		cyclam.Sums{
			Sums: []uint64{4},
		},
		cyclam.News{
			Endpoints: []cyclam.Endpoint{endpoint},
		},
		cyclam.Deltas{
			Deltas: []cyclam.Delta{{
				From:    1,
				To:      2,
				Upserts: []cyclam.Resource{service, route},
				Deletes: []cyclam.Key{{
					Kind: cyclam.KindRoute,
					Name: "old",
				}},
				Result: cyclam.Digest{1},
			}},
		},
		cyclam.Full{
			Snapshot: cyclam.Snapshot{
				Version:   2,
				Resources: []cyclam.Resource{service, route},
				Result:    cyclam.Digest{2},
			},
		},
		cyclam.Pull{
			Version: 2,
			Whole:   true,
		},
		cyclam.Report{
			Centres: []cyclam.CentreReport{{
				DataCentre: "north-a",
				Versions: []cyclam.VersionCount{{
					Version: 2,
					Nodes:   4,
				}},
			}},
		},
	}
}

func TestRoundTrip(t *testing.T) {
	want := sampleMessages()
	envelope, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(envelope)
	if err != nil {
		t.Fatal(err)
	}
	for i := range want {
		if !reflect.DeepEqual(got[i], want[i]) {
			t.Errorf("got %#v, want %#v", got[i], want[i])
		}
	}
}

// FuzzUnpack decodes arbitrary bytes, as from a faulty peer: they must give an
// error or messages that can be packed again.
func FuzzUnpack(f *testing.F) {
	envelope, _ := Pack(sampleMessages())
	data, _ := proto.Marshal(envelope)
	f.Add(data)
	plain, _ := proto.Marshal(&wire.Envelope{
		Content: &wire.Envelope_Packed{
			Packed: []byte("not zstd"),
		},
	})
	f.Add(plain)
	f.Fuzz(func(t *testing.T, data []byte) {
		var envelope wire.Envelope
		if proto.Unmarshal(data, &envelope) != nil {
			return
		}
		messages, err := Unpack(&envelope)
		if err != nil {
			return
		}
		if _, err := Pack(messages); err != nil {
			t.Errorf("got %v, want messages that can be packed again", err)
		}
	})
}

// BenchmarkPack packs one configuration delta as it is sent on a link.
func BenchmarkPack(b *testing.B) {
	message := sampleMessages()[6:7]
	for b.Loop() {
		if _, err := Pack(message); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFull packs and unpacks the full configuration of 2,800 services.
func BenchmarkFull(b *testing.B) {
	var resources []cyclam.Resource
	for i := range 2800 {
		name := fmt.Sprintf("service-%04d", i)
		service := cyclam.ServiceName(name)
		resources = append(resources,
			cyclam.Service{
				Name:    service,
				Timeout: 2 * time.Second,
			},
			cyclam.Route{
				Name:              name,
				PathPrefix:        "/" + name,
				Service:           service,
				IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
			},
			cyclam.PlacementRule{
				Name:    name,
				Service: service,
				Regions: []cyclam.Region{"north", "south"},
			},
		)
	}
	messages := []cyclam.Message{cyclam.Full{
		Snapshot: cyclam.Snapshot{
			Version:   1,
			Resources: resources,
		},
	}}
	var envelope *wire.Envelope
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			envelope, _ = Pack(messages)
		}
		b.ReportMetric(float64(proto.Size(envelope)), "bytes")
	})
	b.Run("unpack", func(b *testing.B) {
		for b.Loop() {
			if _, err := Unpack(envelope); err != nil {
				b.Fatal(err)
			}
		}
	})
}
