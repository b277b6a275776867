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

// TestMain fixes the seed and the number of histories where no flag does.
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

// traced prints what happens in a history, for the study of a failing seed.
var traced = flag.Bool("proof.trace", false, "print what happens")

var began time.Time

func tracef(format string, args ...any) {
	if *traced {
		fmt.Printf("%8s "+format+"\n", append([]any{time.Since(began).Round(time.Millisecond)}, args...)...)
	}
}

// check plays histories of some kinds of steps.
func check(t *testing.T, kinds ...[]string) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt, slices.Concat(kinds...), 12*time.Second)
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = s.play() })
		if len(broken) > 0 {
			rt.Fatalf("%s", strings.Join(broken, "\n"))
		}
	})
}

// TestConfiguration tries promises 1, 2, 3 and 9.
func TestConfiguration(t *testing.T) { check(t, trouble, changes) }

// TestRequests tries promises 4 to 8 and placement.
func TestRequests(t *testing.T) { check(t, trouble, traffic, traffic, []string{"apply"}) }

// TestEverything tries all promises at once.
func TestEverything(t *testing.T) { check(t, trouble, changes, traffic) }
