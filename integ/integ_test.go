package integ

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/oper"
	"github.com/cyclamensaddle/cyclam/stand/fleet"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

// TestMassRestart kills nine of thirteen nodes at once and restarts them: all nodes must
// attach to the tree and hold the accepted version again in time.
func TestMassRestart(t *testing.T) {
	s := startSystem(t)
	want := s.newestVersion()
	before, _ := s.PlatformStats()
	for _, m := range s.Members[:9] {
		s.Kill(m.Name)
	}
	begin := time.Now()
	for _, m := range s.Members[:9] {
		if err := s.StartNode(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AwaitVersion(settleLimit, want, s.Members); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitAttached(settleLimit, s.Members); err != nil {
		t.Fatal(err)
	}
	span := time.Since(begin)
	after, _ := s.PlatformStats()
	t.Logf("recovered after %s, platform reads %d, writes %d", span.Round(time.Millisecond), after.Reads-before.Reads, after.Writes-before.Writes)
	s.checkResults(<-s.startLoad(s.Members, 100, time.Second))
}

// TestFrozenRoot pauses the root beyond its lease, changes a route, and resumes it: the
// former root must follow its successor and not go back to an older version.
func TestFrozenRoot(t *testing.T) {
	s := startSystem(t)
	root := s.memberWithRole(cyclam.RoleRoot)
	if err := s.Pause(root.Name); err != nil {
		t.Fatal(err)
	}
	rest := without(s.Members, root.Name)
	s.applyRouteTimeout(700)
	if err := s.AwaitVersion(settleLimit, 2, rest); err != nil {
		t.Fatal(err)
	}
	if err := s.Resume(root.Name); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitVersion(settleLimit, 2, s.Members); err != nil {
		t.Fatal(err)
	}
	s.applyAndWait(routeWithTimeout(800))
	for _, m := range s.Members {
		status, err := s.NodeStatus(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := status.Version, cyclam.Version(3); got != want {
			t.Errorf("%s: got version %d, want %d", m.Name, got, want)
		}
		if status.Role == cyclam.RoleRoot && m.Name == root.Name {
			t.Errorf("%s: got role root after resume, want it to have lost the role", m.Name)
		}
	}
}

// applyRouteTimeout applies the stock route with a timeout, without waiting until it is in
// force.
func (s *system) applyRouteTimeout(millis int) {
	s.t.Helper()
	if out, code := s.runCLI(routeWithTimeout(millis), "apply", "-f", "-"); code != 0 {
		s.t.Fatalf("apply: got exit code %d, want 0: %s", code, out)
	}
}

// TestPlatformDown restarts a node while the platform is down: calls must still be served,
// and the node must get the configuration from its peers. A change must also get through a
// slow platform.
func TestPlatformDown(t *testing.T) {
	s := startSystem(t)
	if err := s.PlatformFault(objapi.Fault{
		Down: true,
	}); err != nil {
		t.Fatal(err)
	}
	victim := s.Members[8]
	entries := without(s.Members, victim.Name)
	done := s.startLoad(entries, 100, 9*time.Second)
	s.Kill(victim.Name)
	if err := s.StartNode(victim); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitVersion(settleLimit, 1, s.Members); err != nil {
		t.Error(err)
	}
	result := <-done
	s.checkResults(result)
	if got, want := result.Outcomes["done"], 890; got < want {
		t.Errorf("got %d calls done, want at least %d", got, want)
	}
	if err := s.PlatformFault(objapi.Fault{
		DelayMillis: 300,
	}); err != nil {
		t.Fatal(err)
	}
	s.applyAndWait(routeWithTimeout(900))
}

// TestLostHeadWriteAnswer loses the answer to the write of the head, which makes a version
// accepted: the version must take effect once.
func TestLostHeadWriteAnswer(t *testing.T) {
	s := startSystem(t)
	if err := s.PlatformFault(objapi.Fault{
		LoseAnswers: 1,
		LoseKind:    cyclam.KindHead,
	}); err != nil {
		t.Fatal(err)
	}
	s.applyAndWait(routeWithTimeout(600))
	if got, want := s.newestVersion(), uint64(2); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// TestConflictingApply applies two changes of an object at the same revision: one must
// succeed and the other fail with a conflict.
func TestConflictingApply(t *testing.T) {
	s := startSystem(t)
	object, err := s.Object(cyclam.KindRoute, "stock")
	if err != nil {
		t.Fatal(err)
	}
	codes := make(chan int, 2)
	for _, millis := range []int{300, 400} {
		text := strings.Replace(routeWithTimeout(millis), `"name"`, fmt.Sprintf(`"revision":%d,"name"`, object.Revision), 1)
		go func() {
			_, code := s.runCLI(text, "apply", "-f", "-")
			codes <- code
		}()
	}
	if got := <-codes + <-codes; got != oper.ExitConflict {
		t.Errorf("got exit codes that add up to %d, want one 0 and one %d", got, oper.ExitConflict)
	}
}

// TestPlannedStop drains a node and the root under load: every call must be done, and the
// next change must come into force without them.
func TestPlannedStop(t *testing.T) {
	s := startSystem(t)
	root := s.memberWithRole(cyclam.RoleRoot)
	// Bookings may run in the north only, at two upstreams. With both stopped no allowed
	// upstream would be left, so the second node to stop is of another service.
	nonRoot := s.memberOfOtherService(without(s.Members, root.Name)[5:], root)
	done := s.startLoad(without(s.Members, root.Name, nonRoot.Name), 200, 6*time.Second)
	time.Sleep(time.Second)
	for _, name := range []string{nonRoot.Name, root.Name} {
		if err := s.Drain(name, settleLimit); err != nil {
			t.Error(err)
		}
	}
	result := <-done
	s.checkResults(result)
	if got, want := result.Outcomes["unknown"], 0; got != want {
		t.Errorf("got %d calls of unknown outcome, want %d", got, want)
	}
	if got, want := result.Outcomes["done"], len(result.Results); got != want {
		t.Errorf("got %d calls done, want all %d", got, want)
	}
	s.applyRouteTimeout(650)
	if err := s.AwaitVersion(settleLimit, 2, without(s.Members, root.Name, nonRoot.Name)); err != nil {
		t.Error(err)
	}
}

// TestFrozenUpstreamNode pauses a node that serves bookings, under load: when it resumes,
// it must not run a booking twice nor one that was reported not run.
func TestFrozenUpstreamNode(t *testing.T) {
	s := startSystem(t)
	frozen := s.Member("cutorder-1")
	done := s.startLoad(without(s.Members, frozen.Name), 200, 7*time.Second)
	time.Sleep(time.Second)
	if err := s.Pause(frozen.Name); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	if err := s.Resume(frozen.Name); err != nil {
		t.Fatal(err)
	}
	result := <-done
	time.Sleep(time.Second)
	s.checkResults(result)
}

// TestCombinedFaults kills the root and two nodes, pauses another, slows the platform and
// loses answers, all under load and with changes.
func TestCombinedFaults(t *testing.T) {
	s := startSystem(t)
	root := s.memberWithRole(cyclam.RoleRoot)
	rest := without(s.Members, root.Name)
	victims := []fleet.Member{rest[2], rest[7]}
	frozen := rest[5]
	entries := without(rest, victims[0].Name, victims[1].Name, frozen.Name)
	done := s.startLoad(entries, 150, 10*time.Second)
	if err := s.PlatformFault(objapi.Fault{
		DelayMillis: 200,
		LoseAnswers: 3,
	}); err != nil {
		t.Fatal(err)
	}
	s.Kill(root.Name)
	for _, m := range victims {
		s.Kill(m.Name)
	}
	if err := s.Pause(frozen.Name); err != nil {
		t.Fatal(err)
	}
	_, _ = s.runCLI(routeWithTimeout(750), "apply", "-f", "-")
	time.Sleep(5 * time.Second)
	if err := s.Resume(frozen.Name); err != nil {
		t.Fatal(err)
	}
	for _, m := range append(victims, root) {
		if err := s.StartNode(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.PlatformFault(objapi.Fault{}); err != nil {
		t.Fatal(err)
	}
	s.applyAndWait(routeWithTimeout(850))
	if err := s.AwaitVersion(settleLimit, s.newestVersion(), s.Members); err != nil {
		t.Error(err)
	}
	s.checkResults(<-done)
}

// TestDemoSamples validates every sample with the check command.
func TestDemoSamples(t *testing.T) {
	for _, name := range []string{"harrowgate", "hanbit"} {
		dir := filepath.Join("..", "samples", name)
		app := &oper.App{
			In:  strings.NewReader(""),
			Out: &bytes.Buffer{},
			Err: &bytes.Buffer{},
		}
		code := app.Run(context.Background(), []string{"cyclamensaddle", "check", "--settings", filepath.Join(dir, "node.json"), "-f", filepath.Join(dir, "resources.json")})
		if code != 0 {
			t.Errorf("%s: got exit code %d, want 0: %s", name, code, app.Err)
		}
	}
}
