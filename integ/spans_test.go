package integ

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stress"
)

// span is the part of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// TestSpans checks that the exported spans of one call form a chain from the caller's trace
// context down to the upstream.
func TestSpans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	s := startTracedSystem(t, map[string]any{"ratio": 1, "file": file})
	entry, service := s.Member("millcerts-1"), s.Member("stockview-1")
	const trace = "0af7651916cd43dd8448eb211c80319c"
	run := &stress.Run{
		Timeout: 2 * time.Second,
	}
	exchange := run.Send(stress.Call{
		Method:  "GET",
		Address: entry.Calls,
		Path:    s.Spec.LookupPath,
		Job:     "traced",
		Headers: map[string]string{"traceparent": "00-" + trace + "-b7ad6b7169203331-01"},
	}, time.Now())
	if exchange.Outcome != "done" {
		t.Fatalf("got %s (%s), want done", exchange.Outcome, exchange.Reason)
	}
	for _, m := range s.Members {
		if m.Service.Name == service.Service.Name || m.Name == entry.Name {
			if err := s.Drain(m.Name, settleLimit); err != nil {
				t.Fatal(err)
			}
		}
	}
	byName := readSpans(t, file, trace)
	parent := "b7ad6b7169203331"
	for _, name := range []string{"call", "attempt", "work", "upstream"} {
		got, ok := byName[name]
		if !ok || got.Parent.SpanID != parent {
			t.Fatalf("%s: got parent %q, want a span below %q", name, got.Parent.SpanID, parent)
		}
		parent = got.SpanContext.SpanID
	}
}

// readSpans returns the spans of a trace by name.
func readSpans(t *testing.T, path, trace string) map[string]span {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	byName := map[string]span{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var s span
		if err := json.Unmarshal(lines.Bytes(), &s); err == nil && s.SpanContext.TraceID == trace {
			byName[s.Name] = s
		}
	}
	return byName
}
