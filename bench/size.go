package bench

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

// Size measures a node process, the root, that holds the view of a large fleet. A
// single emulated peer announces all other nodes to it.
type Size struct {
	// Endpoints is the number of announced nodes.
	Endpoints int
	Services  int
	// Span is the length of each of the three phases: idle, changes and churn.
	Span time.Duration
	// Bin is the directory of the built programs.
	Bin string
	// Port is the first port to use.
	Port int
}

// SizeRow is the resource use of a node of a large fleet. Percentages are shares of
// one core.
type SizeRow struct {
	Endpoints      int     `json:"endpoints"`
	Services       int     `json:"services"`
	AcceptMillis   float64 `json:"first-version-ms"`
	LearnCPUMillis float64 `json:"learn-cpu-ms"`
	LearnBytes     int     `json:"learn-bytes"`
	MemoryMB       float64 `json:"memory-mb"`
	IdlePercent    float64 `json:"idle-cpu-percent"`
	ChangePercent  float64 `json:"change-cpu-percent"`
	ChangeMillis   float64 `json:"change-to-peer-p50-ms"`
	ChurnPercent   float64 `json:"churn-cpu-percent"`
	PeakMemoryMB   float64 `json:"peak-memory-mb"`
}

// announceBatch is how many endpoints the peer announces in one message.
const announceBatch = 500

// The specified rates of configuration changes and of announcements.
const (
	changesPerSecond       = 0.34
	announcementsPerSecond = 0.15
)

// Run starts the node, announces the endpoints and measures the phases.
func (s *Size) Run(ctx context.Context) (SizeRow, error) {
	f, m, err := s.start(ctx)
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return SizeRow{}, err
	}
	row := SizeRow{
		Endpoints: s.Endpoints,
		Services:  s.Services,
	}
	begin := time.Now()
	if err := f.AwaitVersion(time.Minute, 1, f.Members); err != nil {
		return row, err
	}
	row.AcceptMillis = millis(time.Since(begin))
	if err := s.awaitQuiescence(f); err != nil {
		return row, err
	}
	p, err := connectPeer(ctx, m.Control)
	if err != nil {
		return row, err
	}
	if err := s.announce(f, m, p, &row); err != nil {
		return row, err
	}
	row.MemoryMB = f.MemoryMB(m.Name)
	row.IdlePercent = s.measureCPU(f, m, &row, func(time.Duration) error { return nil }, p)
	client := store.New(f.Platform)
	changes := 0
	row.ChangePercent = s.measureCPU(f, m, &row, func(at time.Duration) error {
		if float64(changes) > at.Seconds()*changesPerSecond {
			return nil
		}
		changes++
		p.drain()
		begin := time.Now()
		if err := s.writeChange(ctx, client, changes); err != nil {
			return err
		}
		return p.await(begin)
	}, p)
	row.ChangeMillis = millis(p.medianDelay())
	announced := 0
	row.ChurnPercent = s.measureCPU(f, m, &row, func(at time.Duration) error {
		if float64(announced) > at.Seconds()*announcementsPerSecond {
			return nil
		}
		announced++
		return p.send(cyclam.News{
			Endpoints: []cyclam.Endpoint{s.endpoint(announced, uint64(announced+1))},
		})
	}, p)
	return row, nil
}

// quiescenceTimeout limits the wait until the statuses of all objects are written.
const quiescenceTimeout = 3 * time.Minute

// awaitQuiescence waits until the node writes at most 10 objects in 2 s, which its
// claims alone account for.
func (s *Size) awaitQuiescence(f *fleet.Fleet) error {
	return fleet.Eventually(quiescenceTimeout, func() error {
		before, err := f.PlatformStats()
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		after, err := f.PlatformStats()
		if err == nil && after.Writes-before.Writes > 10 {
			err = errors.New("object statuses are still being written")
		}
		return err
	})
}

// start starts a platform that holds all services, and one node.
func (s *Size) start(ctx context.Context) (*fleet.Fleet, fleet.Member, error) {
	dir, err := os.MkdirTemp("", "cyclamensaddle-size-")
	if err != nil {
		return nil, fleet.Member{}, err
	}
	f := &fleet.Fleet{
		Bin:  s.Bin,
		Dir:  dir,
		Port: s.Port,
		Spec: fleet.Spec{
			PlatformRegion: "north",
			DataCentres: []fleet.DataCentre{{
				Name:   "north-a",
				Region: "north",
			}},
			Services: []fleet.Service{{
				Name:        "service-0000",
				Upstreams:   []string{"north-a"},
				Slots:       12,
				Connections: 120,
			}},
		},
	}
	if err := f.Prepare(); err != nil {
		return f, fleet.Member{}, err
	}
	populator := &Distribution{
		Services: s.Services,
	}
	if err := populator.populate(ctx, store.New(f.Platform)); err != nil {
		return f, fleet.Member{}, err
	}
	return f, f.Members[0], f.StartMembers()
}

// endpoint returns the announcement of the other node i.
func (s *Size) endpoint(i int, sequence uint64) cyclam.Endpoint {
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(fmt.Sprintf("upstream-%05d", i)),
			Incarnation: 1,
		},
		Sequence: sequence,
		State:    cyclam.EndpointReady,
		Service:  cyclam.ServiceName(fmt.Sprintf("service-%04d", i%s.Services)),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(fmt.Sprintf("region-%d", i%5)),
			DataCentre: cyclam.DataCentre(fmt.Sprintf("centre-%02d", i%14)),
		},
		Data:    fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250),
		Control: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250),
		Slots:   12,
		Parent:  "peer",
	}
}

// announce sends all endpoints to the node and waits until it knows them. It
// records the CPU time and the bytes that this took.
func (s *Size) announce(f *fleet.Fleet, m fleet.Member, p *peer, row *SizeRow) error {
	before := f.CPU(m.Name)
	var batch []cyclam.Endpoint
	for i := 1; i <= s.Endpoints; i++ {
		batch = append(batch, s.endpoint(i, 1))
		if len(batch) < announceBatch && i < s.Endpoints {
			continue
		}
		if err := p.send(cyclam.News{
			Endpoints: batch,
		}); err != nil {
			return err
		}
		batch = nil
	}
	err := fleet.Eventually(time.Minute, func() error {
		status, err := f.NodeStatus(m)
		if err == nil && status.Endpoints < s.Endpoints {
			err = errors.Errorf("knows %d endpoints", status.Endpoints)
		}
		return err
	})
	row.LearnCPUMillis = millis(f.CPU(m.Name) - before)
	row.LearnBytes = p.sentBytes
	return err
}

// measureCPU calls step every 100 ms for the span, sends the peer's heartbeats
// every 500 ms, and returns the node's CPU use in percent of a core.
func (s *Size) measureCPU(f *fleet.Fleet, m fleet.Member, row *SizeRow, step func(time.Duration) error, p *peer) float64 {
	begin, cpu := time.Now(), f.CPU(m.Name)
	for i := 0; time.Since(begin) < s.Span; i++ {
		if i%5 == 0 {
			_ = p.send(cyclam.Beat{
				Version: cyclam.Version(p.latest.Load()),
			})
		}
		if err := step(time.Since(begin)); err != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
		row.PeakMemoryMB = max(row.PeakMemoryMB, f.MemoryMB(m.Name))
	}
	return (f.CPU(m.Name) - cpu).Seconds() / time.Since(begin).Seconds() * 100
}

// writeChange writes the i-th change, a new timeout of a route.
func (s *Size) writeChange(ctx context.Context, client cyclam.Platform, i int) error {
	o := resources(i%s.Services, 2000+i)[1]
	stored, err := client.Get(ctx, o.Key())
	if err != nil {
		return err
	}
	o.Revision = stored.Revision
	_, err = client.Put(ctx, o)
	return err
}

// peer is an emulated child of the node, through which the rest of the fleet is
// announced.
type peer struct {
	stream    grpc.BidiStreamingClient[wire.Envelope, wire.Envelope]
	sentBytes int
	arrivals  chan time.Time
	latest    atomic.Uint64
	delays    *hdrhistogram.Histogram
}

// drain discards the arrivals of versions received so far.
func (p *peer) drain() {
	for len(p.arrivals) > 0 {
		<-p.arrivals
	}
}

// await waits up to 10 s for the next version and records its delay since begin.
func (p *peer) await(begin time.Time) error {
	select {
	case at := <-p.arrivals:
		return p.delays.RecordValue(max(1, at.Sub(begin).Microseconds()))
	case <-time.After(10 * time.Second):
		return errors.New("no version arrived within 10 s")
	}
}

// medianDelay returns the median time from the write of a change to its arrival at
// the peer.
func (p *peer) medianDelay() time.Duration {
	return time.Duration(p.delays.ValueAtQuantile(50)) * time.Microsecond
}

// observe records the arrival of a version.
func (p *peer) observe(version cyclam.Version) {
	p.latest.Store(uint64(version))
	p.arrivals <- time.Now()
}

// connectPeer links a peer to the node at an address and waits up to 10 s for its
// welcome.
func connectPeer(ctx context.Context, address string) (*peer, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	stream, err := wire.NewPeerClient(conn).Link(ctx)
	if err != nil {
		return nil, err
	}
	p := &peer{
		stream:   stream,
		arrivals: make(chan time.Time, 1000),
		delays:   hdrhistogram.New(1, 60_000_000, 3),
	}
	self := cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    "peer",
			Incarnation: 1,
		},
		Sequence: 1,
		State:    cyclam.EndpointReady,
		Service:  "service-0000",
		Locality: cyclam.Locality{
			Region:     "north",
			DataCentre: "north-a",
		},
		Control: "10.1.255.1:7002",
	}
	if err := p.send(cyclam.Hello{
		Self: self,
	}); err != nil {
		return nil, err
	}
	go p.receive()
	select {
	case <-p.arrivals:
		return p, nil
	case <-time.After(10 * time.Second):
		return nil, errors.New("no welcome from the node within 10 s")
	}
}

func (p *peer) send(message cyclam.Message) error {
	envelope, err := codec.Pack([]cyclam.Message{message})
	if err != nil {
		return err
	}
	p.sentBytes += proto.Size(envelope)
	return p.stream.Send(envelope)
}

func (p *peer) receive() {
	for {
		envelope, err := p.stream.Recv()
		if err != nil {
			return
		}
		messages, err := codec.Unpack(envelope)
		if err != nil {
			return
		}
		for _, message := range messages {
			switch m := message.(type) {
			case cyclam.Welcome:
				p.observe(m.Version)
			case cyclam.Deltas:
				p.observe(m.Deltas[len(m.Deltas)-1].To)
			}
		}
	}
}
