// Package demo runs a whole deployment through an ordinary and a bad day in
// half a minute, and reports whether every promise held.
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

// Demo is one run; set its fields before Run.
type Demo struct {
	// Samples is the folder with the deployment's files.
	Samples string
	// Bin is the folder with the built programs.
	Bin string
	// Port is the first port to use.
	Port int
	Out  io.Writer

	fleet  *fleet.Fleet
	broken []string
	job    int
}

// The spans of the run.
const (
	loadSpan     = 12 * time.Second
	loadRate     = 300
	latencySpan  = 6 * time.Second
	latencyRate  = 200
	startLimit   = 15 * time.Second
	convergeGoal = 10 * time.Second
	addedGoal    = 370 * time.Microsecond
)

// Run does everything; it returns an error if a promise broke.
func (d *Demo) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "cyclamensaddle-demo-")
	if err != nil {
		return errors.Wrap(err, "make folder")
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
	d.say("%s: starting", spec.Name)
	for _, step := range []func(context.Context) error{
		d.start, d.apply, d.serve, d.refuse, d.badDay, d.addedLatency, d.report,
	} {
		if err := step(ctx); err != nil {
			return errors.Wrapf(err, "logs are in %s", dir)
		}
	}
	if len(d.broken) > 0 {
		return errors.Errorf("%d promises broke, logs are in %s:\n  %s", len(d.broken), dir, strings.Join(d.broken, "\n  "))
	}
	d.say("every promise held")
	return os.RemoveAll(dir)
}

func (d *Demo) say(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// expect records a promise that broke.
func (d *Demo) expect(held bool, format string, args ...any) {
	if !held {
		d.broken = append(d.broken, fmt.Sprintf(format, args...))
	}
}

// operator runs an operator's command in this process, as a shell would.
func (d *Demo) operator(ctx context.Context, input string, args ...string) (string, int) {
	var out bytes.Buffer
	app := &oper.App{
		In:  strings.NewReader(input),
		Out: &out,
		Err: &out,
	}
	full := append([]string{"cyclamensaddle", args[0], "--platform", d.fleet.Platform}, args[1:]...)
	code := app.Run(ctx, full)
	return out.String(), code
}

func (d *Demo) start(context.Context) error {
	begin := time.Now()
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.fleet.AwaitAttached(startLimit, d.fleet.Members); err != nil {
		return err
	}
	d.say("%d nodes joined one tree after %s", len(d.fleet.Members), time.Since(begin).Round(time.Millisecond))
	return nil
}

func (d *Demo) apply(ctx context.Context) error {
	out, code := d.operator(ctx, "", "apply", "-f", filepath.Join(d.Samples, "resources.json"), "--wait")
	if code != 0 {
		return errors.Errorf("apply: exit code %d: %s", code, out)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	d.say("resources applied: %s", lines[len(lines)-1])
	return nil
}

// lookup and booking make calls with jobs of their own.
func (d *Demo) lookup(entry fleet.Member) stress.Call {
	return d.call("GET", entry, d.fleet.Spec.LookupPath)
}

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

// serve sends a lookup and a booking to every node.
func (d *Demo) serve(context.Context) error {
	run := &stress.Run{
		Timeout: 2 * time.Second,
	}
	for _, m := range d.fleet.Members {
		for _, c := range []stress.Call{d.lookup(m), d.booking(m)} {
			e := run.Send(c, time.Now())
			d.expect(e.Outcome == "done" && e.Complete, "%s %s at %s: %s %s %v", c.Method, c.Path, m.Name, e.Outcome, e.Reason, e.Err)
		}
	}
	jobs, err := d.fleet.Jobs()
	if err != nil {
		return err
	}
	for job, times := range jobs {
		d.expect(times == 1, "%s ran %d times", job, times)
	}
	d.say("a lookup and a booking at each of %d nodes: %d jobs ran", len(d.fleet.Members), len(jobs))
	return nil
}

// refuse applies a bad change past the command line's own check, and sees that
// the old version stays in force.
func (d *Demo) refuse(ctx context.Context) error {
	out, code := d.operator(ctx, `{"kind":"route","name":"bad","spec":{"path-prefix":"/bad","service":"missing"}}`, "apply", "-f", "-")
	d.expect(code == oper.ExitRefused, "bad route: exit code %d: %s", code, out)
	d.say("bad route refused: %s", lastLine(out))
	return nil
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.TrimSpace(lines[len(lines)-1])
}

// badDay changes a route, kills a node and drains another under load.
func (d *Demo) badDay(ctx context.Context) error {
	lookups := d.fleet.Members
	victim, leaver := d.fleet.Members[1], d.fleet.Members[6]
	entries := except(lookups, victim, leaver)
	run := &stress.Run{
		PerSecond: loadRate,
		Span:      loadSpan,
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
	if err := d.events(ctx, victim, leaver); err != nil {
		return err
	}
	result := <-done
	d.say("under load with a kill and a drain: %s", result.Summary())
	d.judge(result)
	return d.countJobs(result)
}

func except(members []fleet.Member, out ...fleet.Member) []fleet.Member {
	var left []fleet.Member
	for _, m := range members {
		keep := true
		for _, o := range out {
			keep = keep && m.Name != o.Name
		}
		if keep {
			left = append(left, m)
		}
	}
	return left
}

func (d *Demo) events(ctx context.Context, victim, leaver fleet.Member) error {
	time.Sleep(time.Second)
	out, code := d.operator(ctx, string(d.fleet.Spec.ChangedRoute), "apply", "-f", "-", "--wait")
	if code != 0 {
		return errors.Errorf("change of a route: exit code %d: %s", code, out)
	}
	d.say("route changed under load: %s", lastLine(out))
	if err := d.changedRoute(); err != nil {
		return err
	}
	d.fleet.Kill(victim.Name)
	d.say("killed %s", victim.Name)
	time.Sleep(2 * time.Second)
	begin := time.Now()
	if err := d.fleet.Drain(leaver.Name, 10*time.Second); err != nil {
		d.expect(false, "drain of %s: %v", leaver.Name, err)
	}
	d.say("drained %s in %s", leaver.Name, time.Since(begin).Round(time.Millisecond))
	for _, m := range []fleet.Member{victim, leaver} {
		if err := d.fleet.StartNode(m); err != nil {
			return err
		}
	}
	begin = time.Now()
	if err := d.fleet.AwaitVersion(startLimit, 2, d.fleet.Members); err != nil {
		return err
	}
	d.say("both are back with the current version after %s", time.Since(begin).Round(time.Millisecond))
	return nil
}

// changedRoute sees that the changed route is in force at every node.
func (d *Demo) changedRoute() error {
	run := &stress.Run{
		Timeout: 2 * time.Second,
	}
	for _, m := range d.fleet.Members {
		e := run.Send(d.call("GET", m, d.fleet.Spec.ChangedPath), time.Now())
		d.expect(e.Outcome == "done" && e.Complete, "changed route at %s: %s %s %v", m.Name, e.Outcome, e.Reason, e.Err)
	}
	return nil
}

// judge checks the answers of a run.
func (d *Demo) judge(result *stress.Result) {
	d.expect(len(result.Invalid) == 0, "%d answers were not whole or another's", len(result.Invalid))
	for job, e := range result.Results {
		d.expect(e.Outcome != "no-answer", "%s: no answer: %v", job, e.Err)
	}
	total := 0
	for _, count := range result.Outcomes {
		total += count
	}
	d.say("  reasons: %s", reasonsText(result.Reasons))
	d.expect(result.Outcomes["done"]*100 >= total*99, "only %d of %d calls were done", result.Outcomes["done"], total)
}

func reasonsText(reasons map[string]int) string {
	if len(reasons) == 0 {
		return "none"
	}
	data, _ := json.Marshal(reasons)
	return string(data)
}

// countJobs compares what callers were told with what the upstreams ran.
func (d *Demo) countJobs(result *stress.Result) error {
	jobs, err := d.fleet.Jobs()
	if err != nil {
		return err
	}
	twice := 0
	for job, e := range result.Results {
		booking := e.Call.Method == "POST"
		if booking && jobs[job] > 1 {
			twice++
		}
		d.expect(!booking || e.Outcome != "not-run" || jobs[job] == 0, "%s was called not run and ran %d times", job, jobs[job])
		d.expect(e.Outcome != "done" || jobs[job] > 0, "%s was called done and did not run", job)
	}
	d.expect(twice == 0, "%d bookings ran twice", twice)
	d.say("bookings run twice: %d", twice)
	return nil
}
