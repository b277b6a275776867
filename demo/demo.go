// Package demo runs a sample deployment as separate processes, in normal operation and
// under faults, and checks the guarantees of the mesh. It runs in cmd/demo and takes
// about half a minute.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cyclamensaddle/cyclam/oper"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stress"
	"github.com/pkg/errors"
)

// Demo is one run of the demo. Its fields are set before Run.
type Demo struct {
	// Samples is the directory with the files of the deployment.
	Samples string
	// Bin is the directory with the built programs.
	Bin string
	// Port is the first port to use.
	Port int
	// Out receives the progress and the results.
	Out io.Writer

	fleet    *fleet.Fleet
	failures []string
	job      int
}

// The durations and rates of the run, and the limits that it checks.
const (
	loadDuration     = 12 * time.Second
	loadPerSecond    = 300
	latencyDuration  = 6 * time.Second
	latencyPerSecond = 200
	startTimeout     = 15 * time.Second
	convergenceGoal  = 10 * time.Second
	addedLatencyGoal = 370 * time.Microsecond
)

// Run starts the deployment, runs all steps and stops it. It returns an error if a step
// or a check failed; the logs are then kept.
func (d *Demo) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "cyclamensaddle-demo-")
	if err != nil {
		return errors.Wrap(err, "create directory for logs")
	}
	spec, err := fleet.ReadSpec(filepath.Join(d.Samples, "fleet.json"))
	if err != nil {
		return err
	}
	d.fleet = &fleet.Fleet{
		Spec: spec,
		Bin:  d.Bin,
		Dir:  dir,
		Port: d.Port,
	}
	defer d.fleet.Stop()
	d.printf("%s: starting", spec.Name)
	for _, step := range []func(context.Context) error{
		d.start, d.apply, d.checkServing, d.checkRefusal, d.runUnderLoad, d.measureAddedLatency, d.report,
	} {
		if err := step(ctx); err != nil {
			return errors.Wrapf(err, "step failed, logs are in %s", dir)
		}
	}
	if len(d.failures) > 0 {
		return errors.Errorf("%d checks failed, logs are in %s:\n  %s", len(d.failures), dir, strings.Join(d.failures, "\n  "))
	}
	d.printf("all checks passed")
	return os.RemoveAll(dir)
}

func (d *Demo) printf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// expect records a failed check if ok is false.
func (d *Demo) expect(ok bool, format string, args ...any) {
	if !ok {
		d.failures = append(d.failures, fmt.Sprintf(format, args...))
	}
}

// runOperator runs a command of the command line in this process, and returns its output
// and exit code.
func (d *Demo) runOperator(ctx context.Context, input string, args ...string) (string, int) {
	var out bytes.Buffer
	app := &oper.App{
		In:  strings.NewReader(input),
		Out: &out,
		Err: &out,
	}
	argv := append([]string{"cyclamensaddle", args[0], "--platform", d.fleet.Platform}, args[1:]...)
	code := app.Run(ctx, argv)
	return out.String(), code
}

func (d *Demo) start(context.Context) error {
	begin := time.Now()
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.fleet.AwaitAttached(startTimeout, d.fleet.Members); err != nil {
		return err
	}
	d.printf("%d nodes joined the distribution tree after %s", len(d.fleet.Members), time.Since(begin).Round(time.Millisecond))
	return nil
}

func (d *Demo) apply(ctx context.Context) error {
	out, code := d.runOperator(ctx, "", "apply", "-f", filepath.Join(d.Samples, "resources.json"), "--wait")
	if code != 0 {
		return errors.Errorf("apply: exit code %d: %s", code, out)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	d.printf("resources applied: %s", lines[len(lines)-1])
	return nil
}

// lookup returns an idempotent call with a new job.
func (d *Demo) lookup(entry fleet.Member) stress.Call {
	return d.call("GET", entry, d.fleet.Spec.LookupPath)
}

// booking returns a non-idempotent call with a new job.
func (d *Demo) booking(entry fleet.Member) stress.Call {
	return d.call("POST", entry, d.fleet.Spec.BookingPath)
}

func (d *Demo) call(method string, entry fleet.Member, path string) stress.Call {
	d.job++
	return stress.Call{
		Method:  method,
		Address: entry.Calls,
		Path:    path,
		Job:     fmt.Sprintf("%s-%d", strings.ToLower(method), d.job),
	}
}

// checkServing sends a lookup and a booking to every node, and checks that each is done
// and that no job ran more than once.
func (d *Demo) checkServing(context.Context) error {
	run := &stress.Run{
		Timeout: 2 * time.Second,
	}
	for _, m := range d.fleet.Members {
		for _, c := range []stress.Call{d.lookup(m), d.booking(m)} {
			result := run.Send(c, time.Now())
			d.expect(result.Outcome == "done" && result.Complete, "%s %s at %s: %s %s %v", c.Method, c.Path, m.Name, result.Outcome, result.Reason, result.Err)
		}
	}
	jobs, err := d.fleet.Jobs()
	if err != nil {
		return err
	}
	for job, times := range jobs {
		d.expect(times == 1, "%s ran %d times", job, times)
	}
	d.printf("a lookup and a booking at each of %d nodes: %d jobs ran", len(d.fleet.Members), len(jobs))
	return nil
}

// checkRefusal applies a route to a service that does not exist, and checks that the
// command line refuses it.
func (d *Demo) checkRefusal(ctx context.Context) error {
	out, code := d.runOperator(ctx, `{"kind":"route","name":"bad","spec":{"path-prefix":"/bad","service":"missing"}}`, "apply", "-f", "-")
	d.expect(code == oper.ExitRefused, "invalid route: exit code %d: %s", code, out)
	d.printf("invalid route refused: %s", lastLine(out))
	return nil
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.TrimSpace(lines[len(lines)-1])
}

// runUnderLoad sends lookups and bookings at a constant rate while a route is changed,
// one node is killed and another is drained. The calls enter at the other nodes.
func (d *Demo) runUnderLoad(ctx context.Context) error {
	members := d.fleet.Members
	killed, drained := d.fleet.Members[1], d.fleet.Members[6]
	entries := exclude(members, killed, drained)
	run := &stress.Run{
		PerSecond: loadPerSecond,
		Span:      loadDuration,
		Timeout:   3 * time.Second,
		Next: func(i int) stress.Call {
			entry := entries[i%len(entries)]
			if i%3 == 0 {
				return d.booking(entry)
			}
			return d.lookup(entry)
		},
	}
	done := make(chan *stress.Result, 1)
	go func() { done <- run.Do(ctx) }()
	if err := d.disrupt(ctx, killed, drained); err != nil {
		return err
	}
	result := <-done
	d.printf("under load with a kill and a drain: %s", result.Summary())
	d.checkResults(result)
	return d.checkJobs(result)
}

// exclude returns the members that are not in excluded, compared by name.
func exclude(members []fleet.Member, excluded ...fleet.Member) []fleet.Member {
	var kept []fleet.Member
	for _, m := range members {
		keep := true
		for _, o := range excluded {
			keep = keep && m.Name != o.Name
		}
		if keep {
			kept = append(kept, m)
		}
	}
	return kept
}

// disrupt changes a route, kills one node, drains another and restarts both.
func (d *Demo) disrupt(ctx context.Context, killed, drained fleet.Member) error {
	time.Sleep(time.Second)
	out, code := d.runOperator(ctx, string(d.fleet.Spec.ChangedRoute), "apply", "-f", "-", "--wait")
	if code != 0 {
		return errors.Errorf("apply changed route: exit code %d: %s", code, out)
	}
	d.printf("route changed under load: %s", lastLine(out))
	if err := d.checkChangedRoute(); err != nil {
		return err
	}
	d.fleet.Kill(killed.Name)
	d.printf("killed %s", killed.Name)
	time.Sleep(2 * time.Second)
	begin := time.Now()
	if err := d.fleet.Drain(drained.Name, 10*time.Second); err != nil {
		d.expect(false, "drain of %s: %v", drained.Name, err)
	}
	d.printf("drained %s in %s", drained.Name, time.Since(begin).Round(time.Millisecond))
	for _, m := range []fleet.Member{killed, drained} {
		if err := d.fleet.StartNode(m); err != nil {
			return err
		}
	}
	begin = time.Now()
	if err := d.fleet.AwaitVersion(startTimeout, 2, d.fleet.Members); err != nil {
		return err
	}
	d.printf("both nodes have restarted with the current version after %s", time.Since(begin).Round(time.Millisecond))
	return nil
}

// checkChangedRoute checks that the changed route is in force at every node.
func (d *Demo) checkChangedRoute() error {
	run := &stress.Run{
		Timeout: 2 * time.Second,
	}
	for _, m := range d.fleet.Members {
		result := run.Send(d.call("GET", m, d.fleet.Spec.ChangedPath), time.Now())
		d.expect(result.Outcome == "done" && result.Complete, "changed route at %s: %s %s %v", m.Name, result.Outcome, result.Reason, result.Err)
	}
	return nil
}

// checkResults checks that every call got a response, that no response of a call
// done was truncated or belonged to another call, and that at least 99% of the calls
// were done.
func (d *Demo) checkResults(result *stress.Result) {
	d.expect(len(result.Invalid) == 0, "%d responses were truncated or belonged to another call", len(result.Invalid))
	for job, res := range result.Results {
		d.expect(res.Outcome != "no-answer", "%s: no response: %v", job, res.Err)
	}
	total := 0
	for _, count := range result.Outcomes {
		total += count
	}
	d.printf("  reasons: %s", reasonsText(result.Reasons))
	d.expect(result.Outcomes["done"]*100 >= total*99, "only %d of %d calls were done", result.Outcomes["done"], total)
}

func reasonsText(reasons map[string]int) string {
	if len(reasons) == 0 {
		return "none"
	}
	data, _ := json.Marshal(reasons)
	return string(data)
}

// checkJobs compares the outcomes that callers received with the jobs that the upstreams
// ran: a call done has run, a booking not run has not, and no booking ran twice.
func (d *Demo) checkJobs(result *stress.Result) error {
	jobs, err := d.fleet.Jobs()
	if err != nil {
		return err
	}
	repeated := 0
	for job, res := range result.Results {
		booking := res.Call.Method == "POST"
		if booking && jobs[job] > 1 {
			repeated++
		}
		d.expect(!booking || res.Outcome != "not-run" || jobs[job] == 0, "%s was reported as not run and ran %d times", job, jobs[job])
		d.expect(res.Outcome != "done" || jobs[job] > 0, "%s was reported as done and did not run", job)
	}
	d.expect(repeated == 0, "%d bookings ran twice", repeated)
	d.printf("bookings run twice: %d", repeated)
	return nil
}
