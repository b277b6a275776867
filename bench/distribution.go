// Package bench measures the latency and the cost of configuration distribution at
// several fleet sizes and in several modes, the latency of calls, and the goodput
// under overload. The command bench runs it, one experiment at a time.
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

// Distribution measures how changes of configuration reach the nodes of a fleet in
// one process. Set its exported fields before Run.
type Distribution struct {
	// Mode is tree, or watch for the baseline in which every node watches the
	// platform.
	Mode     string
	Nodes    int
	Services int
	// PerSecond is the rate of changes; 0 makes none.
	PerSecond float64
	// Span is how long changes are made and measured.
	Span time.Duration
	// FanOut is the maximum number of children per node; children with a role are
	// not counted.
	FanOut            int
	Flush             time.Duration
	HeartbeatInterval time.Duration
	// Term is how long an unchanged claim stays valid.
	Term time.Duration
	// Event is triggered after a third of the span: none, hub-loss, root-loss, cut,
	// herd or churn.
	Event string
	// Bin is the directory of the built programs.
	Bin string
	// Port is the platform's port; the nodes use the ports above it.
	Port int
	// Verbose writes the nodes' logs at level info to standard error.
	Verbose bool

	mu sync.Mutex
	// accepted is when each version came into force on the first node, and inForce
	// on how many nodes it is.
	accepted  map[cyclam.Version]time.Time
	inForce   map[cyclam.Version]int
	latencies *hdrhistogram.Histogram
}

// DistributionRow is the result of one Distribution. Latencies count from a
// version's first node to each further one. The rates and the memory are per node,
// but CrossRegionBytesPerSecond and the platform's rates are for the whole fleet.
// Unfinished is the number of versions that did not reach every node.
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

// One-way delays of the emulated network.
const (
	centreDelay = time.Millisecond
	regionDelay = 12 * time.Millisecond
)

// Run starts the platform and the fleet, makes the changes and returns the result.
func (d *Distribution) Run(ctx context.Context) (DistributionRow, error) {
	platform := fmt.Sprintf("127.0.0.1:%d", d.Port)
	stop, err := d.startPlatform(platform)
	if err != nil {
		return DistributionRow{}, err
	}
	defer stop()
	if err := d.populate(ctx, store.New(platform)); err != nil {
		return DistributionRow{}, err
	}
	d.accepted = map[cyclam.Version]time.Time{}
	d.inForce = map[cyclam.Version]int{}
	d.latencies = hdrhistogram.New(1, 600_000_000, 3)
	if d.Mode == "watch" {
		return d.runWatch(ctx, platform)
	}
	return d.runTree(ctx, platform)
}

func (d *Distribution) startPlatform(address string) (func(), error) {
	cmd := exec.Command(filepath.Join(d.Bin, "stand-platform"), "-listen", address)
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

// populate writes the services, each with a route and a placement rule.
func (d *Distribution) populate(ctx context.Context, platform cyclam.Platform) error {
	for i := range d.Services {
		for _, o := range resources(i, 1000) {
			if _, err := platform.Put(ctx, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// resources returns the service, the route and the placement rule of service i.
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

// recordInForce records that a version came into force on one more node, and its
// latency since the first node.
func (d *Distribution) recordInForce(version cyclam.Version, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, ok := d.accepted[version]
	if !ok {
		d.accepted[version] = at
		first = at
	}
	d.inForce[version]++
	_ = d.latencies.RecordValue(max(1, at.Sub(first).Microseconds()))
}

// reset discards what was recorded while the fleet started.
func (d *Distribution) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = map[cyclam.Version]time.Time{}
	d.inForce = map[cyclam.Version]int{}
	d.latencies.Reset()
}

func (d *Distribution) runTree(ctx context.Context, platform string) (DistributionRow, error) {
	network := &netem.Network{
		CentreDelay: centreDelay,
		RegionDelay: regionDelay,
	}
	tuning := setup.Defaults().Tuning
	tuning.FanOut, tuning.Flush, tuning.HeartbeatInterval, tuning.Term = d.FanOut, d.Flush, d.HeartbeatInterval, d.Term
	tuning.LinkTimeout = 4 * d.HeartbeatInterval
	cluster := &inproc.Cluster{
		Nodes:     d.Nodes,
		Services:  d.Services,
		Port:      d.Port + 1,
		Platform:  platform,
		Upstream:  platform,
		Tuning:    tuning,
		Network:   network,
		Log:       d.logger(),
		OnVersion: func(_ int, version cyclam.Version, at time.Time) { d.recordInForce(version, at) },
	}
	begin := time.Now()
	cluster.Start(ctx)
	defer cluster.Stop()
	if err := cluster.Await(2*time.Minute, 1); err != nil {
		return DistributionRow{}, errors.Wrap(err, "join")
	}
	row := d.newRow()
	row.JoinMillis = millis(time.Since(begin))
	time.Sleep(3 * time.Second)
	d.reset()
	used := startUsage(platform, cluster.Count)
	changes, recoveryTime, err := d.applyChanges(ctx, store.New(platform), cluster, network)
	if err != nil {
		return row, err
	}
	used.finish(&row, d.Nodes, changes)
	row.EventMillis = millis(recoveryTime)
	time.Sleep(2*time.Second + 4*d.Flush)
	d.finish(&row, changes)
	return row, nil
}

func (d *Distribution) newRow() DistributionRow {
	return DistributionRow{
		Mode:        d.Mode,
		Nodes:       d.Nodes,
		Services:    d.Services,
		PerSecond:   d.PerSecond,
		FlushMillis: d.Flush.Milliseconds(),
		BeatMillis:  d.HeartbeatInterval.Milliseconds(),
		TermMillis:  d.Term.Milliseconds(),
		FanOut:      d.FanOut,
		Event:       d.Event,
	}
}

// finish fills in the latencies and the versions that did not reach every node.
func (d *Distribution) finish(row *DistributionRow, changes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row.Changes = changes
	row.P50Millis = float64(d.latencies.ValueAtQuantile(50)) / 1000
	row.P99Millis = float64(d.latencies.ValueAtQuantile(99)) / 1000
	row.MaxMillis = float64(d.latencies.Max()) / 1000
	for _, nodes := range d.inForce {
		if nodes < d.Nodes {
			row.Unfinished++
		}
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// applyChanges writes changes of routes at the configured rate for the span, and
// triggers the event after a third of it. It returns the number of changes and the
// time that the event's recovery took.
func (d *Distribution) applyChanges(ctx context.Context, platform cyclam.Platform, f *inproc.Cluster, network *netem.Network) (int, time.Duration, error) {
	begin := time.Now()
	event := make(chan time.Duration, 1)
	time.AfterFunc(d.Span/3, func() { event <- d.triggerEvent(ctx, f, network) })
	changes := 0
	for time.Since(begin) < d.Span {
		if d.PerSecond == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		o := resources(changes%d.Services, 1001+changes)[1]
		stored, err := platform.Get(ctx, o.Key())
		if err != nil {
			return changes, 0, err
		}
		o.Revision = stored.Revision
		if _, err := platform.Put(ctx, o); err != nil {
			return changes, 0, err
		}
		changes++
		time.Sleep(time.Until(begin.Add(time.Duration(float64(changes) / d.PerSecond * float64(time.Second)))))
	}
	return changes, <-event, nil
}

// logger returns the nodes' logger, which discards everything unless Verbose is set.
func (d *Distribution) logger() hclog.Logger {
	if !d.Verbose {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{
		Output: os.Stderr,
		Level:  hclog.Info,
	})
}
