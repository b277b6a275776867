package simnet

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and number of scenarios unless flags set them, so that
// runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// traceEnabled prints the steps and log events of each scenario, to debug a failing
// seed.
var traceEnabled = flag.Bool("proof.trace", false, "print the steps and log events of each scenario")

var traceStart time.Time

func tracef(format string, args ...any) {
	if *traceEnabled {
		fmt.Printf("%8s "+format+"\n", append([]any{time.Since(traceStart).Round(time.Millisecond)}, args...)...)
	}
}

// checkScenarios runs random scenarios of at least 12 s, drawn from the given kinds of
// steps, and fails on the first that violates a guarantee.
func checkScenarios(t *testing.T, kinds ...[]string) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt, slices.Concat(kinds...), 12*time.Second)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = s.play() })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// TestConfiguration checks guarantees 1, 2, 3 and 9 (configuration versions) under
// faults and configuration changes.
func TestConfiguration(t *testing.T) { checkScenarios(t, faults, changes) }

// TestRequests checks guarantees 4 to 8 (calls and shutdown) and placement under faults
// and traffic. Traffic is listed twice to make its steps more frequent.
func TestRequests(t *testing.T) { checkScenarios(t, faults, traffic, traffic, []string{"apply"}) }

// TestEverything checks all guarantees under faults, configuration changes and traffic.
func TestEverything(t *testing.T) { checkScenarios(t, faults, changes, traffic) }
