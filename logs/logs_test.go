package logs

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const sampleLog = `  26.1 sidecar-a 2026-07-09T03:38:25.020Z [WARN]  node: run-without-answer: id=9c41 attempt=b/7/3 reason=answer-lost took=12ms error="read answer: \"reset\" by peer"
noise
2026-07-09T03:38:25.010Z [WARN]  node: attempt-interrupted: id=9c41 peer=a error=EOF
sidecar-b 2026-07-09T03:38:25.030Z [WARN]  node: request-failed: id=9c41 outcome=unknown reason=answer-lost status=0
sidecar-b 2026-07-09T03:38:25.040Z [WARN]  node: request-failed: id=9c42 outcome=not-run reason=overloaded status=0 tried=a:overloaded,c:draining
sidecar-b 2026-07-09T03:38:25.015Z [WARN]  node: request-failed: id=9c41.77 outcome=not-run reason=overloaded status=0
sidecar-b 2026-07-09T03:38:25.050Z [WARN]  node: request-failed: id=9c43 outcome=done reason="" status=500
`

func ExampleExplain() {
	lines, _, _ := Read(strings.NewReader(sampleLog))
	if err := Explain(os.Stdout, lines, "9c42"); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 03:38:25.040 sidecar-b request-failed id=9c42 outcome=not-run reason=overloaded status=0 tried=a:overloaded,c:draining
	// cause: overloaded, tried a:overloaded c:draining
}

func ExampleSummary() {
	lines, _, _ := Read(strings.NewReader(sampleLog))
	if err := Summary(os.Stdout, lines); err != nil {
		fmt.Println(err)
	}
	// Output:
	//      2 request-failed overloaded
	//      1 request-failed answer-lost
	//      1 request-failed status-500
}

func TestRequestLinesAreInTimeOrderWithCause(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := skipped, 1; got != want {
		t.Errorf("skipped lines: got %d, want %d", got, want)
	}
	found := ForRequest(lines, "9c41")
	var events []string
	for _, l := range found {
		events = append(events, l.Event)
	}
	want := "attempt-interrupted request-failed run-without-answer request-failed"
	if got := strings.Join(events, " "); got != want {
		t.Errorf("events: got %s, want %s", got, want)
	}
	if got, want := found[2].Get("error"), `read answer: "reset" by peer`; got != want {
		t.Errorf("quoted value: got %s, want %s", got, want)
	}
	if got, want := Cause(found, "9c41"), "answer-lost, after attempt-interrupted, request-failed (overloaded), run-without-answer (answer-lost)"; got != want {
		t.Errorf("cause: got %s, want %s", got, want)
	}
	if err := Explain(os.Stderr, lines, "none"); err == nil {
		t.Error("unknown request: got no error")
	}
}

func FuzzParse(f *testing.F) {
	for line := range strings.SplitSeq(sampleLog, "\n") {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		line, ok := Parse(text)
		if ok && line.At.IsZero() && !strings.Contains(text, "0001-01-01") {
			t.Errorf("%q: got a line with a zero time", text)
		}
	})
}

func TestCauseNamesAwaitedNodes(t *testing.T) {
	lines, _, err := Read(strings.NewReader("a 2026-07-09T03:38:25.040Z [WARN]  node: request-failed: id=1 outcome=unknown reason=deadline-exceeded status=0 tried=b:draining awaited=c,d\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := Cause(lines, "1"), "deadline-exceeded, tried b:draining, awaited c d"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
