// Package bench measures what distribution takes and costs, at several sizes
// and in several ways.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/inproc"
	"github.com/cyclamensaddle/cyclam/stand/netem"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Distribution is one measurement of distribution; set its fields before Run.
type Distribution struct {
	// Mode is tree, or watch for the baseline of a platform watch per node.
	Mode     string
	Nodes    int
	Services int
	// PerSecond is the rate of changes.
	PerSecond         float64
	Span              time.Duration
	FanOut            int
	Flush             time.Duration
	HeartbeatInterval time.Duration
	Term              time.Duration
	// Event is what happens in the middle: none, hub-loss, cut, herd or churn.
	Event string
	Bin   string
	Port  int
	// Verbose logs the nodes' decisions.
	Verbose bool

	mu       sync.Mutex
	accepted map[cyclam.Version]time.Time
	inForce  map[cyclam.Version]int
	times    *hdrhistogram.Histogram
}

// DistributionRow is what a measurement found.
type DistributionRow struct {
	Mode                      string  `json:"way"`
	Nodes                     int     `json:"nodes"`
	Services                  int     `json:"services"`
	PerSecond                 float64 `json:"changes-per-second"`
	FlushMillis               int64   `json:"flush-ms"`
	BeatMillis                int64   `json:"beat-ms"`
	TermMillis                int64   `json:"term-ms"`
	FanOut                    int     `json:"fan-out"`
	Event                     string  `json:"event"`
	Changes                   int     `json:"changes"`
	P50Millis                 float64 `json:"p50-ms"`
	P99Millis                 float64 `json:"p99-ms"`
	MaxMillis                 float64 `json:"max-ms"`
	Unfinished                int     `json:"not-everywhere"`
	BytesPerSecond            float64 `json:"bytes-per-node-second"`
	BytesPerChange            float64 `json:"bytes-per-node-change"`
	CrossRegionBytesPerSecond float64 `json:"link-bytes-second"`
	CPUPercent                float64 `json:"cpu-percent-per-node"`
	MemoryMB                  float64 `json:"memory-mb-per-node"`
	PlatformReads             float64 `json:"platform-reads-second"`
	PlatformWrites            float64 `json:"platform-writes-second"`
	Watches                   int64   `json:"watches-waiting"`
	JoinMillis                float64 `json:"join-ms"`
	EventMillis               float64 `json:"event-ms"`
}

// The delays of the emulated network, one way.
const (
	centreDelay = time.Millisecond
	regionDelay = 12 * time.Millisecond
)

// Run measures once.
func (s *Distribution) Run(ctx context.Context) (DistributionRow, error) {
	platform := fmt.Sprintf("127.0.0.1:%d", s.Port)
	stop, err := s.startPlatform(platform)
	if err != nil {
		return DistributionRow{}, err
	}
	defer stop()
	if err := s.fill(ctx, store.New(platform)); err != nil {
		return DistributionRow{}, err
	}
	s.accepted = map[cyclam.Version]time.Time{}
	s.inForce = map[cyclam.Version]int{}
	s.times = hdrhistogram.New(1, 600_000_000, 3)
	if s.Mode == "watch" {
		return s.runWatch(ctx, platform)
	}
	return s.runTree(ctx, platform)
}

func (s *Distribution) startPlatform(address string) (func(), error) {
	cmd := exec.Command(filepath.Join(s.Bin, "stand-platform"), "-listen", address)
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	stop := func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	err := fleet.Eventually(5*time.Second, func() error {
		_, err := fleet.Get("http://" + address + "/stats")
		return err
	})
	return stop, err
}

// fill declares the services, each with a route and a rule.
func (s *Distribution) fill(ctx context.Context, platform cyclam.Platform) error {
	for i := range s.Services {
		for _, o := range resources(i, 1000) {
			if _, err := platform.Put(ctx, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// resources returns the objects of the i-th service.
func resources(i int, timeoutMillis int) []cyclam.Object {
	name := fmt.Sprintf("service-%04d", i)
	object := func(kind cyclam.Kind, name, spec string) cyclam.Object {
		return cyclam.Object{
			Kind: kind,
			Name: name,
			Spec: json.RawMessage(spec),
		}
	}
	return []cyclam.Object{
		object(cyclam.KindService, name, `{"timeout":"2s"}`),
		object(cyclam.KindRoute, name, fmt.Sprintf(`{"path-prefix":"/%s","service":%q,"timeout":"%dms"}`, name, name, timeoutMillis)),
		object(cyclam.KindPlacementRule, name, fmt.Sprintf(`{"service":%q,"regions":["north","south"]}`, name)),
	}
}

// saw notes that a version is in force on one more node.
func (s *Distribution) saw(version cyclam.Version, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.accepted[version]
	if !ok {
		s.accepted[version] = at
		first = at
	}
	s.inForce[version]++
	_ = s.times.RecordValue(max(1, at.Sub(first).Microseconds()))
}

// reset starts the counts anew, after the fleet has settled.
func (s *Distribution) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = map[cyclam.Version]time.Time{}
	s.inForce = map[cyclam.Version]int{}
	s.times.Reset()
}

func (s *Distribution) runTree(ctx context.Context, platform string) (DistributionRow, error) {
	network := &netem.Network{
		CentreDelay: centreDelay,
		RegionDelay: regionDelay,
	}
	tuning := setup.Defaults().Tuning
	tuning.FanOut, tuning.Flush, tuning.HeartbeatInterval, tuning.Term = s.FanOut, s.Flush, s.HeartbeatInterval, s.Term
	tuning.LinkTimeout = 4 * s.HeartbeatInterval
	fleetOf := &inproc.Cluster{
		Nodes:     s.Nodes,
		Services:  s.Services,
		Port:      s.Port + 1,
		Platform:  platform,
		Upstream:  platform,
		Tuning:    tuning,
		Network:   network,
		Log:       s.logger(),
		OnVersion: func(_ int, version cyclam.Version, at time.Time) { s.saw(version, at) },
	}
	begin := time.Now()
	fleetOf.Start(ctx)
	defer fleetOf.Stop()
	if err := fleetOf.Await(2*time.Minute, 1); err != nil {
		return DistributionRow{}, errors.Wrap(err, "join")
	}
	row := s.row()
	row.JoinMillis = millis(time.Since(begin))
	time.Sleep(3 * time.Second)
	s.reset()
	use := startUse(platform, fleetOf.Count)
	changes, eventTook, err := s.change(ctx, store.New(platform), fleetOf, network)
	if err != nil {
		return row, err
	}
	use.finish(&row, s.Nodes, changes)
	row.EventMillis = millis(eventTook)
	time.Sleep(2*time.Second + 4*s.Flush)
	s.finish(&row, changes)
	return row, nil
}

func (s *Distribution) row() DistributionRow {
	return DistributionRow{
		Mode:        s.Mode,
		Nodes:       s.Nodes,
		Services:    s.Services,
		PerSecond:   s.PerSecond,
		FlushMillis: s.Flush.Milliseconds(),
		BeatMillis:  s.HeartbeatInterval.Milliseconds(),
		TermMillis:  s.Term.Milliseconds(),
		FanOut:      s.FanOut,
		Event:       s.Event,
	}
}

func (s *Distribution) finish(row *DistributionRow, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row.Changes = changes
	row.P50Millis = float64(s.times.ValueAtQuantile(50)) / 1000
	row.P99Millis = float64(s.times.ValueAtQuantile(99)) / 1000
	row.MaxMillis = float64(s.times.Max()) / 1000
	for _, nodes := range s.inForce {
		if nodes < s.Nodes {
			row.Unfinished++
		}
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// change writes changes at the rate, with the event in the middle.
func (s *Distribution) change(ctx context.Context, platform cyclam.Platform, f *inproc.Cluster, network *netem.Network) (int, time.Duration, error) {
	begin := time.Now()
	event := make(chan time.Duration, 1)
	time.AfterFunc(s.Span/3, func() { event <- s.happen(ctx, f, network) })
	changes := 0
	for time.Since(begin) < s.Span {
		if s.PerSecond == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		o := resources(changes%s.Services, 1001+changes)[1]
		stored, err := platform.Get(ctx, o.Key())
		if err != nil {
			return changes, 0, err
		}
		o.Revision = stored.Revision
		if _, err := platform.Put(ctx, o); err != nil {
			return changes, 0, err
		}
		changes++
		time.Sleep(time.Until(begin.Add(time.Duration(float64(changes) / s.PerSecond * float64(time.Second)))))
	}
	return changes, <-event, nil
}

// logger writes the nodes' decisions to standard error where that is asked for.
func (s *Distribution) logger() hclog.Logger {
	if !s.Verbose {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{
		Output: os.Stderr,
		Level:  hclog.Info,
	})
}
