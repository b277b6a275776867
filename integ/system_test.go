// Package integ tries the promises on real processes: kills, freezes, platform
// outages, lost answers, operators that race, and planned stops under load.
package integ

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/oper"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stress"
)

// settleLimit is the stated time in which a change is in force everywhere.
const settleLimit = 10 * time.Second

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cyclamensaddle-bin-")
	if err != nil {
		panic(err)
	}
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// site is a running deployment of Harrowgate.
type site struct {
	*fleet.Fleet
	t   *testing.T
	job int
}

var nextPort = 23000

func newSite(t *testing.T) *site { return newTracedSite(t, nil) }

func newTracedSite(t *testing.T, trace map[string]any) *site {
	t.Helper()
	spec, err := fleet.ReadSpec("../samples/harrowgate/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t,
		Fleet: &fleet.Fleet{
			Spec:  spec,
			Bin:   bin,
			Dir:   t.TempDir(),
			Trace: trace,
			Port:  nextPort,
		},
	}
	nextPort += 100
	t.Cleanup(s.Stop)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitAttached(settleLimit, s.Members); err != nil {
		t.Fatal(err)
	}
	if out, code := s.operator("", "apply", "-f", "../samples/harrowgate/resources.json", "--wait", "--timeout", "10s"); code != 0 {
		t.Fatalf("got exit code %d, want 0: %s", code, out)
	}
	return s
}

func (s *site) operator(input string, args ...string) (string, int) {
	var out bytes.Buffer
	app := &oper.App{
		In:  strings.NewReader(input),
		Out: &out,
		Err: &out,
	}
	code := app.Run(context.Background(), append([]string{"cyclamensaddle", args[0], "--platform", s.Platform}, args[1:]...))
	return out.String(), code
}

func (s *site) apply(text string) {
	s.t.Helper()
	if out, code := s.operator(text, "apply", "-f", "-", "--wait", "--timeout", "10s"); code != 0 {
		s.t.Fatalf("apply: got exit code %d, want 0: %s", code, out)
	}
}

func route(millis int) string {
	return fmt.Sprintf(`{"kind":"route","name":"stock","spec":{"path-prefix":"/stock","service":"stockview","timeout":"%dms"}}`, millis)
}

// holder returns the member that holds a role.
func (s *site) holder(role cyclam.Role) fleet.Member {
	s.t.Helper()
	for _, m := range s.Members {
		if status, err := s.NodeStatus(m); err == nil && status.Role == role {
			return m
		}
	}
	s.t.Fatalf("got no holder of %s, want one", role)
	return fleet.Member{}
}

// version returns the newest version that any node holds.
func (s *site) version() uint64 {
	var newest uint64
	for _, m := range s.Members {
		if status, err := s.NodeStatus(m); err == nil {
			newest = max(newest, uint64(status.Version))
		}
	}
	return newest
}

// run sends lookups and bookings to some members for a while.
func (s *site) run(entries []fleet.Member, rate float64, span time.Duration) chan *stress.Result {
	run := &stress.Run{
		PerSecond: rate,
		Span:      span,
		Timeout:   3 * time.Second,
		Next: func(i int) stress.Call {
			s.job++
			c := stress.Call{
				Method:  "GET",
				Address: entries[i%len(entries)].Calls,
				Path:    s.Spec.LookupPath,
				Job:     fmt.Sprint("job-", s.job),
			}
			if i%2 == 0 {
				c.Method, c.Path = "POST", s.Spec.BookingPath
			}
			c.Headers = map[string]string{"X-Request-Timeout": "1s", "X-Delay": "20ms"}
			return c
		},
	}
	done := make(chan *stress.Result, 1)
	go func() { done <- run.Do(context.Background()) }()
	return done
}

// judge compares what callers were told with what the upstreams ran.
func (s *site) judge(result *stress.Result) {
	s.t.Helper()
	jobs, err := s.Jobs()
	if err != nil {
		s.t.Fatal(err)
	}
	for job, e := range result.Results {
		booking := e.Call.Method == "POST"
		if booking && jobs[job] > 1 {
			s.t.Errorf("booking %s: got %d runs, want at most 1", job, jobs[job])
		}
		if e.Outcome == "not-run" && booking && jobs[job] > 0 {
			s.t.Errorf("booking %s was called not run (%s): got %d runs, want 0", job, e.Reason, jobs[job])
		}
		if e.Outcome == "done" && (!e.Complete || jobs[job] == 0) {
			s.t.Errorf("%s was called done: whole %v, runs %d", job, e.Complete, jobs[job])
		}
		if e.Outcome == "no-answer" {
			s.t.Errorf("%s at %s: got no answer (%v), want one", job, e.Call.Address, e.Err)
		}
	}
	s.t.Logf("%s; %v", result.Line(), result.Reasons)
}

// otherService returns the first member of another service than a member's.
func (s *site) otherService(among []fleet.Member, than fleet.Member) fleet.Member {
	s.t.Helper()
	for _, m := range among {
		if m.Service.Name != than.Service.Name {
			return m
		}
	}
	s.t.Fatalf("got no member of another service than %s, want one", than.Service.Name)
	return fleet.Member{}
}

func without(members []fleet.Member, out ...string) []fleet.Member {
	var left []fleet.Member
	for _, m := range members {
		if !strings.Contains(" "+strings.Join(out, " ")+" ", " "+m.Name+" ") {
			left = append(left, m)
		}
	}
	return left
}
