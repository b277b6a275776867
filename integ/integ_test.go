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

// TestHerd kills nine of thirteen nodes at once and starts them again.
func TestHerd(t *testing.T) {
	s := newSite(t)
	want := s.version()
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
	t.Logf("whole again after %s, platform reads %d, writes %d", span.Round(time.Millisecond), after.Reads-before.Reads, after.Writes-before.Writes)
	s.judge(<-s.run(s.Members, 100, time.Second))
}

// TestFrozenRoot freezes the root past its lease, changes a route, and wakes it.
func TestFrozenRoot(t *testing.T) {
	s := newSite(t)
	root := s.holder(cyclam.RoleRoot)
	if err := s.Pause(root.Name); err != nil {
		t.Fatal(err)
	}
	rest := without(s.Members, root.Name)
	s.writeRoute(700)
	if err := s.AwaitVersion(settleLimit, 2, rest); err != nil {
		t.Fatal(err)
	}
	if err := s.Resume(root.Name); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitVersion(settleLimit, 2, s.Members); err != nil {
		t.Fatal(err)
	}
	s.apply(route(800))
	for _, m := range s.Members {
		status, err := s.NodeStatus(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := status.Version, cyclam.Version(3); got != want {
			t.Errorf("%s: got version %d, want %d", m.Name, got, want)
		}
		if status.Role == cyclam.RoleRoot && m.Name == root.Name {
			t.Errorf("%s: got the root, want a former root that knows it", m.Name)
		}
	}
}

// writeRoute applies a change without waiting for it.
func (s *site) writeRoute(millis int) {
	s.t.Helper()
	if out, code := s.operator(route(millis), "apply", "-f", "-"); code != 0 {
		s.t.Fatalf("apply: got exit code %d, want 0: %s", code, out)
	}
}

// TestPlatformDown serves calls while the platform is down, and restarts a node.
func TestPlatformDown(t *testing.T) {
	s := newSite(t)
	if err := s.PlatformFault(objapi.Fault{
		Down: true,
	}); err != nil {
		t.Fatal(err)
	}
	victim := s.Members[8]
	entries := without(s.Members, victim.Name)
	done := s.run(entries, 100, 9*time.Second)
	s.Kill(victim.Name)
	if err := s.StartNode(victim); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitVersion(settleLimit, 1, s.Members); err != nil {
		t.Error(err)
	}
	result := <-done
	s.judge(result)
	if got, want := result.Outcomes["done"], 890; got < want {
		t.Errorf("got %d calls done, want at least %d", got, want)
	}
	if err := s.PlatformFault(objapi.Fault{
		DelayMillis: 300,
	}); err != nil {
		t.Fatal(err)
	}
	s.apply(route(900))
}

// TestLostAnswer loses the answer to the write that makes a version accepted.
func TestLostAnswer(t *testing.T) {
	s := newSite(t)
	if err := s.PlatformFault(objapi.Fault{
		LoseAnswers: 1,
		LoseKind:    cyclam.KindHead,
	}); err != nil {
		t.Fatal(err)
	}
	s.apply(route(600))
	if got, want := s.version(), uint64(2); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// TestOperatorsRace lets two operators write the same object at one revision.
func TestOperatorsRace(t *testing.T) {
	s := newSite(t)
	object, err := s.Object(cyclam.KindRoute, "stock")
	if err != nil {
		t.Fatal(err)
	}
	codes := make(chan int, 2)
	for _, millis := range []int{300, 400} {
		text := strings.Replace(route(millis), `"name"`, fmt.Sprintf(`"revision":%d,"name"`, object.Revision), 1)
		go func() {
			_, code := s.operator(text, "apply", "-f", "-")
			codes <- code
		}()
	}
	if got := <-codes + <-codes; got != oper.ExitConflict {
		t.Errorf("got exit codes that add up to %d, want one 0 and one %d", got, oper.ExitConflict)
	}
}

// TestPlannedStop drains a node and the root under load.
func TestPlannedStop(t *testing.T) {
	s := newSite(t)
	root := s.holder(cyclam.RoleRoot)
	// Bookings may run in the north only, at two upstreams: with both stopped
	// there would be no allowed one.
	plain := s.otherService(without(s.Members, root.Name)[5:], root)
	done := s.run(without(s.Members, root.Name, plain.Name), 200, 6*time.Second)
	time.Sleep(time.Second)
	for _, name := range []string{plain.Name, root.Name} {
		if err := s.Drain(name, settleLimit); err != nil {
			t.Error(err)
		}
	}
	result := <-done
	s.judge(result)
	if got, want := result.Outcomes["unknown"], 0; got != want {
		t.Errorf("got %d calls of unknown outcome, want %d", got, want)
	}
	if got, want := result.Outcomes["done"], len(result.Results); got != want {
		t.Errorf("got %d calls done, want all %d", got, want)
	}
	s.writeRoute(650)
	if err := s.AwaitVersion(settleLimit, 2, without(s.Members, root.Name, plain.Name)); err != nil {
		t.Error(err)
	}
}

// TestFrozenUpstreamNode freezes a node that serves bookings, under load.
func TestFrozenUpstreamNode(t *testing.T) {
	s := newSite(t)
	frozen := s.Member("cutorder-1")
	done := s.run(without(s.Members, frozen.Name), 200, 7*time.Second)
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
	s.judge(result)
}

// TestAllTogether kills, freezes, slows the platform and loses answers at once.
func TestAllTogether(t *testing.T) {
	s := newSite(t)
	root := s.holder(cyclam.RoleRoot)
	rest := without(s.Members, root.Name)
	victims := []fleet.Member{rest[2], rest[7]}
	frozen := rest[5]
	entries := without(rest, victims[0].Name, victims[1].Name, frozen.Name)
	done := s.run(entries, 150, 10*time.Second)
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
	_, _ = s.operator(route(750), "apply", "-f", "-")
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
	s.apply(route(850))
	if err := s.AwaitVersion(settleLimit, s.version(), s.Members); err != nil {
		t.Error(err)
	}
	s.judge(<-done)
}

// TestDemoSamples checks every sample with the command line.
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
