package proxy

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/poison"
	"github.com/cyclamensaddle/cyclam/wire"
)

// The requests that ran when a process ended must be found however its end shows: at once,
// late, after the next process has reported itself, or not at all but by that.
func TestRequestsAtTheEndOfAProcess(t *testing.T) {
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		what string
		job  string
		ms   int
		// givenUp is set if the node has cut the run.
		givenUp bool
		// want are the requests that are found to have run at the end.
		want []string
	}
	for name, steps := range map[string][]step{
		"seen at once": {
			{what: "send", job: "a"},
			{what: "send", job: "b"},
			{what: "lose", job: "a", ms: 100},
			{what: "end", ms: 101, want: []string{"a", "b"}},
			{what: "lose", job: "b", ms: 102},
			{what: "replace", ms: 4000},
		},
		"given up shortly before": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 50, givenUp: true},
			{what: "send", job: "b", ms: 60},
			{what: "lose", job: "b", ms: 100},
			{what: "end", ms: 101, want: []string{"a", "b"}},
		},
		"given up long before": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 50},
			{what: "send", job: "b", ms: 1500},
			{what: "lose", job: "b", ms: 1600},
			{what: "end", ms: 1601, want: []string{"b"}},
		},
		"beside the one that ran alone": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 50, givenUp: true},
			{what: "send", job: "alone", ms: 400},
			{what: "lose", job: "alone", ms: 450},
			{what: "end", ms: 451, want: []string{"alone"}},
		},
		"alone and back before it was missed": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 50, givenUp: true},
			{what: "send", job: "alone", ms: 400},
			{what: "lose", job: "alone", ms: 450},
			{what: "replace", ms: 2000, want: []string{"alone"}},
		},
		"back before it was missed": {
			{what: "send", job: "a"},
			{what: "send", job: "b"},
			{what: "lose", job: "a", ms: 100},
			{what: "replace", ms: 150, want: []string{"a", "b"}},
			{what: "lose", job: "b", ms: 151},
			{what: "end", ms: 152},
		},
		"silent end": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 1200, givenUp: true},
			{what: "replace", ms: 5000, want: []string{"a"}},
		},
		"lost answer": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 100},
			{what: "send", job: "b", ms: 1400},
			{what: "answer", job: "b", ms: 1500},
			{what: "replace", ms: 1900},
		},
		"planned replacement": {
			{what: "send", job: "a"},
			{what: "answer", job: "a", ms: 100},
			{what: "replace", ms: 900},
		},
		"twice before it reports itself": {
			{what: "send", job: "a"},
			{what: "lose", job: "a", ms: 100},
			{what: "end", ms: 101, want: []string{"a"}},
			{what: "send", job: "b", ms: 2000},
			{what: "lose", job: "b", ms: 2100},
			{what: "end", ms: 2101, want: []string{"b"}},
			{what: "replace", ms: 4000},
		},
		"copies of one request": {
			{what: "send", job: "a"},
			{what: "send", job: "a again"},
			{what: "lose", job: "a", ms: 100},
			{what: "end", ms: 101, want: []string{"a"}},
		},
		"not run": {
			{what: "send", job: "a"}, {what: "refuse", job: "a", ms: 10}, {what: "end", ms: 20},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := &crashWatch{}
			jobs := map[string]*job{}
			names := map[poison.Fingerprint]string{}
			for _, s := range steps {
				target := s.job
				if target == "a again" {
					target = "a"
				}
				j, ok := jobs[s.job]
				if !ok {
					j = newJob(context.Background(), &wire.Offer{
						Target: []byte(target),
					}, cyclam.AttemptID{}, at(s.ms))
					j.alone = s.job == "alone"
					jobs[s.job] = j
					names[j.fingerprint()] = target
				}
				var found []poison.Fingerprint
				// Runs begin after the epoch of the watch.
				now := at(s.ms + 1)
				switch s.what {
				case "send":
					w.noteSent(j, now)
				case "lose":
					w.noteLost(j, now, s.givenUp)
				case "answer":
					w.noteAnswered(j)
				case "refuse":
					w.noteNotRun(j)
				case "end":
					found = w.noteEnd(now).running
				case "replace":
					found = w.noteReplaced(now).running
				}
				var got []string
				for _, f := range found {
					got = append(got, names[f])
				}
				slices.Sort(got)
				if !slices.Equal(got, s.want) {
					t.Errorf("%s %s after %d ms: got %v, want %v", s.what, s.job, s.ms, got, s.want)
				}
			}
		})
	}
}

// A burst of callers that leave must not displace the requests that were running when the
// process ended.
func TestManyGivenUpBeforeTheEnd(t *testing.T) {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	w := &crashWatch{}
	run := func(target string) *job {
		j := newJob(context.Background(), &wire.Offer{
			Target: []byte(target),
		}, cyclam.AttemptID{}, now)
		now = now.Add(time.Millisecond)
		w.noteSent(j, now)
		return j
	}
	guilty := run("guilty")
	for i := range 2 * maxLostRuns {
		w.noteLost(run(strconv.Itoa(i)), now, true)
	}
	w.noteLost(guilty, now, false)
	got := w.noteEnd(now).running
	if !slices.Contains(got, guilty.fingerprint()) || len(got) != maxGivenUp+1 {
		t.Errorf("got %d requests, want %d with the one that was running", len(got), maxGivenUp+1)
	}
}
