package poison

import (
	"fmt"
	"maps"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// epoch is a time at which the tests begin.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(target string) Fingerprint {
	return FingerprintOf("GET", "mesh.example", target, nil)
}

// Requests that differ in any part are different ones; who sends them makes no difference.
func TestFingerprint(t *testing.T) {
	known := map[Fingerprint]string{}
	for _, c := range []struct {
		method, host, target, body string
	}{
		{method: "GET", host: "a.example", target: "/x", body: ""},
		{method: "POST", host: "a.example", target: "/x", body: ""},
		{method: "GET", host: "b.example", target: "/x", body: ""},
		{method: "GET", host: "a.example", target: "/y", body: ""},
		{method: "GET", host: "a.example", target: "/x?page=1", body: ""},
		{method: "GET", host: "a.example", target: "/x", body: "body"},
		{method: "GET", host: "a.example", target: "/", body: "xbody"},
		{method: "GETa", host: ".example", target: "/x", body: ""},
	} {
		f := FingerprintOf(c.method, c.host, c.target, []byte(c.body))
		if other, taken := known[f]; taken {
			t.Errorf("fingerprint of %v: got that of %s", c, other)
		}
		known[f] = fmt.Sprint(c)
	}
}

// What the upstreams of several instances did under a request adds up.
func TestVerdict(t *testing.T) {
	guilty, beside := fingerprint("/guilty"), fingerprint("/beside")
	type step struct {
		instance cyclam.InstanceName
		running  []Fingerprint
		trial    Fingerprint
		answered Fingerprint
	}
	for name, c := range map[string]struct {
		steps []step
		want  map[Fingerprint]Level
	}{
		"one crash": {
			steps: []step{{instance: "a", running: []Fingerprint{guilty}}},
			want:  map[Fingerprint]Level{guilty: Allowed},
		},
		"two crashes": {
			steps: []step{{instance: "a", running: []Fingerprint{guilty}}, {instance: "b", running: []Fingerprint{guilty}}},
			want:  map[Fingerprint]Level{guilty: Suspected},
		},
		"three crashes, the last in a trial": {
			steps: []step{
				{instance: "a", running: []Fingerprint{guilty}},
				{instance: "b", running: []Fingerprint{guilty}},
				{instance: "a", trial: guilty},
			},
			want: map[Fingerprint]Level{guilty: Banned},
		},
		"three crashes while nothing else ran, without a trial": {
			steps: []step{
				{instance: "a", running: []Fingerprint{beside}},
				{instance: "b", running: []Fingerprint{beside}},
				{instance: "c", running: []Fingerprint{beside}},
			},
			want: map[Fingerprint]Level{beside: Suspected},
		},
		"and an answer in the trial": {
			steps: []step{
				{instance: "a", running: []Fingerprint{beside}},
				{instance: "b", running: []Fingerprint{beside}},
				{instance: "c", running: []Fingerprint{beside}},
				{instance: "b", answered: beside},
			},
			want: map[Fingerprint]Level{beside: Allowed},
		},
		"and a crash in the trial": {
			steps: []step{
				{instance: "a", running: []Fingerprint{guilty}},
				{instance: "b", running: []Fingerprint{guilty}},
				{instance: "c", running: []Fingerprint{guilty}},
				{instance: "b", trial: guilty},
			},
			want: map[Fingerprint]Level{guilty: Banned},
		},
		"always together": {
			steps: []step{
				{instance: "a", running: []Fingerprint{guilty, beside}},
				{instance: "b", running: []Fingerprint{guilty, beside}},
				{instance: "c", running: []Fingerprint{guilty, beside}},
				{instance: "d", running: []Fingerprint{guilty, beside}},
			},
			want: map[Fingerprint]Level{guilty: Suspected, beside: Suspected},
		},
		"one of them alone": {
			steps: []step{
				{instance: "a", running: []Fingerprint{guilty, beside}},
				{instance: "b", running: []Fingerprint{guilty, beside}},
				{instance: "c", trial: guilty},
				{instance: "c", answered: beside},
			},
			want: map[Fingerprint]Level{guilty: Banned, beside: Allowed},
		},
		"answered in between": {
			steps: []step{
				{instance: "a", running: []Fingerprint{beside}},
				{instance: "b", running: []Fingerprint{beside}},
				{instance: "c", answered: beside},
				{instance: "a", running: []Fingerprint{beside}},
			},
			want: map[Fingerprint]Level{beside: Allowed},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			for i, s := range c.steps {
				now := epoch.Add(time.Duration(i) * time.Second)
				switch {
				case len(s.running) > 0:
					table = table.WithCrash(now, s.instance, s.running)
				case s.trial != 0:
					table = table.WithTrialCrash(now, s.instance, s.trial)
				default:
					table, _ = table.WithAnswer(now, s.instance, s.answered)
				}
			}
			for f, want := range c.want {
				if got := table.Verdict(epoch.Add(time.Minute), f).Level; got != want {
					t.Errorf("level of %v: got %v, want %v", f, got, want)
				}
			}
		})
	}
}

// A ban ends with a trial; a crash in it begins a longer one at once.
func TestBanEnds(t *testing.T) {
	f := fingerprint("/guilty")
	var table Table
	for range banCrashes {
		table = table.WithTrialCrash(epoch, "a", f)
	}
	if got, want := table.Verdict(epoch.Add(banTime/2), f).Remaining, banTime/2; got != want {
		t.Errorf("rest of the ban: got %v, want %v", got, want)
	}
	after := epoch.Add(banTime)
	if got, want := table.Verdict(after, f).Level, Suspected; got != want {
		t.Errorf("level after the ban: got %v, want %v", got, want)
	}
	again := table.WithTrialCrash(after, "b", f)
	if got, want := again.Verdict(after, f).Remaining, 2*banTime; got != want {
		t.Errorf("second ban: got %v, want %v", got, want)
	}
	answered, changed := table.WithAnswer(after, "b", f)
	if got, want := answered.Verdict(after, f).Level, Allowed; got != want || !changed {
		t.Errorf("level after an answer: got %v (changed %v), want %v", got, changed, want)
	}
	if _, changed := table.WithoutExpired(after); changed {
		t.Error("after the ban: got the request forgotten, want it remembered")
	}
	if got, changed := again.WithoutExpired(after.Add(2*banTime + keptFor + time.Second)); !got.Empty() || !changed {
		t.Errorf("long after the last ban: got %d requests, want none", len(got.records))
	}
}

// Reports may arrive several times, in any order, through any instance.
func TestReportsMerge(t *testing.T) {
	f := fingerprint("/guilty")
	var a, b, c Table
	a = a.WithCrash(epoch, "a", []Fingerprint{f}).WithCrash(epoch, "a", []Fingerprint{f})
	b = b.WithCrash(epoch, "b", []Fingerprint{f})
	for _, reports := range [][]Report{b.All(9), a.All(9), a.All(9), b.All(9)} {
		c, _ = c.WithReports(epoch, reports...)
	}
	if got, want := c.records[f].total, uint64(3); got != want {
		t.Errorf("crashes: got %d, want %d", got, want)
	}
	if _, changed := c.WithReports(epoch, a.All(9)...); changed != nil {
		t.Errorf("known reports: got %v as changed, want none", changed)
	}
}

// A flood of different requests must neither fill the memory nor displace a ban.
func TestTableIsBounded(t *testing.T) {
	banned := fingerprint("/guilty")
	var table Table
	for range banCrashes {
		table = table.WithTrialCrash(epoch, "a", banned)
	}
	for i := range 3 * maxRecords {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		table = table.WithCrash(now, "a", []Fingerprint{fingerprint(fmt.Sprint("/other/", i))})
	}
	if got, want := len(table.records), maxRecords; got != want {
		t.Errorf("requests remembered: got %d, want %d", got, want)
	}
	if got, want := table.Verdict(epoch.Add(time.Minute), banned).Level, Banned; got != want {
		t.Errorf("level of the banned request: got %v, want %v", got, want)
	}
	if got, want := table.All(1)[0].Fingerprint, banned; got != want {
		t.Errorf("first request reported: got %v, want %v", got, want)
	}
}

// Processes end for many reasons, so that what was lost once is not passed on all the time.
func TestRepeated(t *testing.T) {
	once, twice, cleared := fingerprint("/once"), fingerprint("/twice"), fingerprint("/cleared")
	var table Table
	table = table.WithCrash(epoch, "a", []Fingerprint{once, twice, cleared})
	table = table.WithCrash(epoch, "b", []Fingerprint{twice, cleared})
	table, _ = table.WithAnswer(epoch, "c", cleared)
	got := map[Fingerprint]int{}
	for _, r := range table.Repeated(9) {
		got[r.Fingerprint]++
	}
	want := map[Fingerprint]int{
		twice:   2,
		cleared: 3,
	}
	if !maps.Equal(got, want) {
		t.Errorf("reports by request: got %v, want %v", got, want)
	}
}

// Reports are stored as text, which may come from elsewhere.
func TestReportsText(t *testing.T) {
	var table Table
	table = table.WithCrash(epoch, "a", []Fingerprint{0xfedcba9876543210, 1})
	table, _ = table.WithAnswer(epoch, "a", 1)
	text := FormatReports(table.Own("a", 9))
	if want := "fedcba9876543210:1:0:0 1:1:1:0"; text != want {
		t.Errorf("text: got %q, want %q", text, want)
	}
	reports, err := ParseReports("a", text)
	if err != nil || len(reports) != 2 || reports[0] != table.Own("a", 1)[0] {
		t.Errorf("read back: got %v (%v), want %v", reports, err, table.Own("a", 9))
	}
	for _, odd := range []string{"1", "1:2", "1:2:3:4:5", "x:1:0:0", "1:-1:0:0", "1:4294967296:0:0", "10000000000000000:1:0:0"} {
		if got, err := ParseReports("a", odd); err == nil {
			t.Errorf("%q: got %v, want an error", odd, got)
		}
	}
}
