package oper

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

// runCommand executes one command on a platform and returns its output and exit code.
func runCommand(platform cyclam.Platform, input string, args ...string) (string, int) {
	var out bytes.Buffer
	app := &App{
		In:       strings.NewReader(input),
		Out:      &out,
		Err:      &out,
		Platform: platform,
	}
	code := app.Run(context.Background(), append([]string{"cyclamensaddle"}, args...))
	return out.String(), code
}

// newSampleStore returns a platform that holds the resources of the harrowgate sample.
func newSampleStore(t *testing.T) *objapi.Store {
	t.Helper()
	store := objapi.NewStore()
	if out, code := runCommand(store, "", "apply", "-f", "../samples/harrowgate/resources.json"); code != 0 {
		t.Fatal(out)
	}
	return store
}

// TestCommands runs each command and checks its exit code and output, mostly with
// invalid arguments and input, such as a new operator would give.
func TestCommands(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(settings, []byte(`{"instance":"a","regoin":"north"}`), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		input string
		args  []string
		code  int
		want  string
	}{
		"unknown command":   {"", []string{"frobnicate"}, ExitUsage, `unknown command "frobnicate"`},
		"version":           {"", []string{"version"}, 0, "cyclamensaddle " + Version},
		"get all":           {"", []string{"get"}, 0, "placement-rule"},
		"get one":           {"", []string{"get", "route", "stock"}, 0, `"path-prefix": "/stock"`},
		"get as JSON":       {"", []string{"get", "service", "-o", "json"}, 0, `"name": "stockview"`},
		"get unknown kind":  {"", []string{"get", "pod"}, ExitUsage, `unknown kind "pod"`},
		"get missing":       {"", []string{"get", "route", "none"}, ExitFailed, "object not found"},
		"bad flag":          {"", []string{"get", "--colour"}, ExitUsage, "colour"},
		"bad format":        {"", []string{"get", "-o", "xml"}, ExitUsage, `got "xml", want table or json`},
		"apply nothing":     {"", []string{"apply"}, ExitUsage, "no file given"},
		"apply bad JSON":    {`{"kind":`, []string{"apply", "-f", "-"}, ExitRefused, "malformed JSON"},
		"apply kind":        {`{"kind":"pod","name":"x","spec":{}}`, []string{"apply", "-f", "-"}, ExitRefused, "pod/x: kind: unknown kind pod"},
		"apply extra field": {`{"kind":"service","name":"x","spec":{},"sepc":1}`, []string{"apply", "-f", "-"}, ExitRefused, "service/x: sepc: unknown field"},
		"apply bad field":   {`{"kind":"service","name":"x","spec":{"timeout":5}}`, []string{"apply", "-f", "-"}, ExitRefused, "service/x: spec.timeout: got the number 5, want a duration"},
		"apply bad route":   {`{"kind":"route","name":"x","spec":{"path-prefix":"/x","service":"none"}}`, []string{"apply", "-f", "-"}, ExitRefused, `route/x: spec.service: got "none"`},
		"apply stale":       {`{"kind":"service","name":"stockview","revision":99,"spec":{}}`, []string{"apply", "-f", "-"}, ExitConflict, "file says revision 99"},
		"dry run":           {`{"kind":"service","name":"new","spec":{}}`, []string{"apply", "-f", "-", "--dry-run"}, 0, "1 objects would be written"},
		"delete needed":     {"", []string{"delete", "service/stockview"}, ExitRefused, "route/stock: spec.service"},
		"delete together":   {"", []string{"delete", "service/millcerts", "route/certs"}, 0, "route/certs deleted"},
		"delete dry run":    {"", []string{"delete", "--dry-run", "route/certs"}, 0, "1 objects would be deleted"},
		"delete missing":    {"", []string{"delete", "route/none"}, ExitFailed, "object not found"},
		"delete what":       {"", []string{"delete", "stock"}, ExitUsage, `got "stock", want KIND/NAME`},
		"check settings":    {"", []string{"check", "--settings", settings}, ExitRefused, "regoin: unknown field"},
		"check nothing":     {"", []string{"check"}, ExitUsage, "nothing to check"},
		"node settings":     {"", []string{"node", "--settings", settings}, ExitRefused, "upstream: missing"},
		"node no file":      {"", []string{"node", "--settings", "none.json"}, ExitUsage, "none.json"},
		"status":            {"", []string{"status"}, 0, "version 0 in force on 0 of 0 nodes"},
		"wait too long":     {"", []string{"status", "--wait", "--timeout", "50ms"}, ExitTimeout, "accepted 0 of 7 objects"},
		"watch":             {"", []string{"watch", "--for", "20ms"}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := runCommand(newSampleStore(t), test.input, test.args...)
			if code != test.code || !strings.Contains(out, test.want) {
				t.Errorf("got code %d and %q, want code %d and %q", code, out, test.code, test.want)
			}
		})
	}
}

// TestPlatformUnreachable checks that the error for a platform that does not answer
// names the step and the peer.
func TestPlatformUnreachable(t *testing.T) {
	out, code := runCommand(nil, "", "get", "--platform", "127.0.0.1:1")
	if code != ExitUnavailable || !strings.Contains(out, "list at 127.0.0.1:1: ") {
		t.Errorf("got code %d and %q, want %d with step and peer", code, out, ExitUnavailable)
	}
}

// TestRefusedChangeWritesNothing checks that a file with one valid and one invalid
// object leaves the stored revision unchanged.
func TestRefusedChangeWritesNothing(t *testing.T) {
	store := newSampleStore(t)
	before, _ := store.List(context.Background(), cyclam.OperatorKinds()...)
	_, code := runCommand(store, `{"kind":"service","name":"good","spec":{}} {"kind":"route","name":"bad","spec":{}}`, "apply", "-f", "-")
	after, _ := store.List(context.Background(), cyclam.OperatorKinds()...)
	if code != ExitRefused || before.Revision != after.Revision {
		t.Errorf("got code %d, revision %d, want %d, revision %d", code, after.Revision, ExitRefused, before.Revision)
	}
}

func FuzzDecodeObjects(f *testing.F) {
	data, _ := os.ReadFile("../samples/harrowgate/resources.json")
	f.Add(data)
	f.Add([]byte(`[{}] {"kind":1}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if objects, err := decodeObjects(data); err == nil {
			checkObjects(objects)
		}
	})
}

func TestGCPercent(t *testing.T) {
	for live, want := range map[uint64]int{0: 50, 1 << 20: 1000, 16 << 20: 300, 50 << 20: 50, 200 << 20: 50} {
		if got := gcPercent(live); got != want {
			t.Errorf("%d bytes live: got %d, want %d", live, got, want)
		}
	}
}
