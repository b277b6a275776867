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

// The addedLatency step sends the same lookups straight to an upstream and
// through the nodes, in one run and in turns.
func (d *Demo) addedLatency(ctx context.Context) error {
	entry, err := d.farEntry()
	if err != nil {
		return err
	}
	direct, through := stress.NewResult(), stress.NewResult()
	upstream := d.fleet.Members[0]
	warm := d.latencyRun(entry, upstream, time.Second)
	warm.Do(ctx)
	run := d.latencyRun(entry, upstream, latencySpan)
	result := run.Do(ctx)
	for _, e := range result.Results {
		target := through
		if e.Call.Address == upstream.Upstream {
			target = direct
		}
		if e.Outcome == "done" {
			_ = target.Latencies.RecordValue(max(1, e.Latency.Microseconds()))
		}
	}
	d.say("direct: p50 %s, p99 %s; through two nodes: p50 %s, p99 %s",
		direct.Quantile(50), direct.Quantile(99), through.Quantile(50), through.Quantile(99))
	added := through.Quantile(99) - direct.Quantile(99)
	verdict := "meets"
	if added > addedGoal {
		verdict = "misses"
	}
	d.say("added: p50 %s, p99 %s; this %s the goal of %s at p99",
		through.Quantile(50)-direct.Quantile(50), added, verdict, addedGoal)
	return nil
}

// farEntry returns a node of another service, so that calls take two hops.
func (d *Demo) farEntry() (fleet.Member, error) {
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
		PerSecond: latencyRate,
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

// report prints what distribution took and cost.
func (d *Demo) report(ctx context.Context) error {
	out, code := d.operator(ctx, "", "status")
	if code != 0 {
		return errors.Errorf("status: exit code %d: %s", code, out)
	}
	d.say("status: %s", strings.SplitN(out, "\n", 2)[0])
	var total, across float64
	for _, m := range d.fleet.Members {
		values, err := scrape(m)
		if err != nil {
			return err
		}
		total += values["control_bytes_out"]
		across += values["control_bytes_cross_region"]
	}
	took, err := d.convergence()
	if err != nil {
		return err
	}
	d.expect(took > 0 && took < convergeGoal, "convergence took %s, want less than %s", took, convergeGoal)
	d.say("convergence time: at most %s from acceptance until in force on every node", took)
	d.say("control bytes: %.0f in all, %.0f across the link", total, across)
	platform, err := d.fleet.PlatformStats()
	if err != nil {
		return err
	}
	d.say("platform: %d reads, %d writes, %d watches waiting", platform.Reads, platform.Writes, platform.Waiting)
	return nil
}

// convergence returns the longest convergence time that any root has logged;
// the logs outlive a root that was killed.
func (d *Demo) convergence() (time.Duration, error) {
	var longest time.Duration
	for _, m := range d.fleet.Members {
		data, err := os.ReadFile(filepath.Join(d.fleet.Dir, m.Name+".log"))
		if err != nil {
			return 0, errors.Wrap(err, "read log")
		}
		for _, match := range tookField.FindAllSubmatch(data, -1) {
			took, err := time.ParseDuration(string(match[1]))
			if err != nil {
				return 0, errors.Wrap(err, "read log")
			}
			longest = max(longest, took)
		}
	}
	return longest, nil
}

var tookField = regexp.MustCompile(`version-in-force-everywhere.* took=(\S+)`)

// scrape reads a node's metrics.
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
