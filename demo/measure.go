package demo

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stress"
	"github.com/pkg/errors"
)

// measureAddedLatency sends the same lookups alternately to an upstream directly and
// through two nodes, in one run, and prints the difference in latency.
func (d *Demo) measureAddedLatency(ctx context.Context) error {
	entry, err := d.otherServiceEntry()
	if err != nil {
		return err
	}
	direct, through := stress.NewResult(), stress.NewResult()
	upstream := d.fleet.Members[0]
	warm := d.latencyRun(entry, upstream, time.Second)
	warm.Do(ctx)
	run := d.latencyRun(entry, upstream, latencyDuration)
	result := run.Do(ctx)
	for _, res := range result.Results {
		target := through
		if res.Call.Address == upstream.Upstream {
			target = direct
		}
		if res.Outcome == "done" {
			_ = target.Latencies.RecordValue(max(1, res.Latency.Microseconds()))
		}
	}
	d.printf("direct: p50 %s, p99 %s; through two nodes: p50 %s, p99 %s",
		direct.Quantile(50), direct.Quantile(99), through.Quantile(50), through.Quantile(99))
	added := through.Quantile(99) - direct.Quantile(99)
	verdict := "meets"
	if added > addedLatencyGoal {
		verdict = "misses"
	}
	d.printf("added: p50 %s, p99 %s; this %s the goal of %s at p99",
		through.Quantile(50)-direct.Quantile(50), added, verdict, addedLatencyGoal)
	return nil
}

// otherServiceEntry returns a node of another service in the same data centre, so that
// lookups through it take two hops.
func (d *Demo) otherServiceEntry() (fleet.Member, error) {
	first := d.fleet.Members[0]
	for _, m := range d.fleet.Members {
		if m.Service.Name != first.Service.Name && m.Locality == first.Locality {
			return m, nil
		}
	}
	return fleet.Member{}, errors.New("no node of another service in " + string(first.Locality.DataCentre))
}

func (d *Demo) latencyRun(entry, upstream fleet.Member, span time.Duration) *stress.Run {
	return &stress.Run{
		PerSecond: latencyPerSecond,
		FromSend:  true,
		Span:      span,
		Timeout:   2 * time.Second,
		Next: func(i int) stress.Call {
			c := d.lookup(entry)
			if i%2 == 0 {
				c.Address = upstream.Upstream
			}
			c.Headers = map[string]string{"X-Delay": "0s"}
			return c
		},
	}
}

// report prints the convergence time, the control traffic and the platform's load, and
// checks the convergence time.
func (d *Demo) report(ctx context.Context) error {
	out, code := d.runOperator(ctx, "", "status")
	if code != 0 {
		return errors.Errorf("status: exit code %d: %s", code, out)
	}
	d.printf("status: %s", strings.SplitN(out, "\n", 2)[0])
	var totalBytes, crossRegionBytes float64
	for _, m := range d.fleet.Members {
		values, err := scrape(m)
		if err != nil {
			return err
		}
		totalBytes += values["control_bytes_out"]
		crossRegionBytes += values["control_bytes_cross_region"]
	}
	took, err := d.convergence()
	if err != nil {
		return err
	}
	d.expect(took > 0 && took < convergenceGoal, "convergence took %s, want more than zero and less than %s", took, convergenceGoal)
	d.printf("convergence time: at most %s from acceptance until in force on every node", took)
	d.printf("control bytes: %.0f in total, %.0f between regions", totalBytes, crossRegionBytes)
	platform, err := d.fleet.PlatformStats()
	if err != nil {
		return err
	}
	d.printf("platform: %d reads, %d writes, %d open watches", platform.Reads, platform.Writes, platform.Waiting)
	return nil
}

// convergence returns the longest convergence time in the logs of all nodes. It reads
// the logs because a root's metrics are lost when it is killed.
func (d *Demo) convergence() (time.Duration, error) {
	var longest time.Duration
	for _, m := range d.fleet.Members {
		data, err := os.ReadFile(filepath.Join(d.fleet.Dir, m.Name+".log"))
		if err != nil {
			return 0, errors.Wrap(err, "read log")
		}
		for _, match := range convergencePattern.FindAllSubmatch(data, -1) {
			took, err := time.ParseDuration(string(match[1]))
			if err != nil {
				return 0, errors.Wrap(err, "read log")
			}
			longest = max(longest, took)
		}
	}
	return longest, nil
}

var convergencePattern = regexp.MustCompile(`version-in-force-everywhere.* took=(\S+)`)

// scrape reads a node's metrics and returns them by name.
func scrape(m fleet.Member) (map[string]float64, error) {
	body, err := fleet.Get("http://" + m.Admin + "/metrics")
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for line := range strings.SplitSeq(string(body), "\n") {
		name, text, ok := strings.Cut(line, " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, nil
}
