package proxy

import (
	"context"
	"slices"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/rcrowley/go-metrics"
)

// Answers must be kept while their senders may resume the attempts, and no longer; beyond
// the limit, those that have been read go first. A refusal needs no job to be repeated.
func TestRetainedAnswers(t *testing.T) {
	const mib = 1 << 20
	type testJob struct {
		refused bool
		settled bool
		// reading is set if a reader is attached, read if one has read the last reply.
		reading bool
		read    bool
		bytes   int
		// age is the time since the end; left is the time to the deadline.
		age  time.Duration
		left time.Duration
	}
	tests := []struct {
		name    string
		jobs    []testJob
		kept    []int
		refused []int
	}{
		{name: "before the deadline", jobs: []testJob{{age: 2 * time.Second, left: time.Second}}, kept: []int{0}},
		{name: "past the deadline", jobs: []testJob{{age: 2 * time.Second, left: -time.Millisecond}}},
		{name: "being read", jobs: []testJob{{age: 2 * time.Second, left: -time.Second, reading: true}}, kept: []int{0}},
		{name: "read just now", jobs: []testJob{{read: true, age: time.Second, left: time.Second}}, kept: []int{0}},
		{name: "read long ago", jobs: []testJob{{read: true, age: 2 * time.Second, left: time.Second}}, kept: []int{0}},
		{name: "read, past the deadline", jobs: []testJob{{read: true, age: time.Second, left: -time.Millisecond}}},
		{name: "not needed any more", jobs: []testJob{{settled: true, left: time.Second}}},
		{name: "refused just now", jobs: []testJob{{refused: true, left: time.Second}}, kept: []int{0}},
		{name: "refused", jobs: []testJob{{refused: true, age: time.Second, left: time.Second}}, refused: []int{0}},
		{
			name: "beyond the limit, read ones first",
			jobs: []testJob{
				{bytes: 5 * mib, age: 3 * time.Second, left: time.Second},
				{bytes: 3 * mib, age: time.Second, left: time.Second, read: true},
				{bytes: 2 * mib, age: 2 * time.Second, left: time.Second},
			},
			kept: []int{0, 2},
		},
		{
			name: "beyond the limit, oldest first",
			jobs: []testJob{
				{bytes: 5 * mib, age: time.Second, left: time.Second},
				{bytes: 5 * mib, age: 2 * time.Second, left: time.Second},
			},
			kept: []int{0},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			n := &Node{
				jobs:   map[cyclam.AttemptID]*job{},
				meters: newMeters(metrics.NewRegistry()),
			}
			for i, spec := range test.jobs {
				attempt := cyclam.AttemptID{
					Number: uint64(i),
				}
				j := newJob(context.Background(), &wire.Offer{}, attempt, now)
				j.deadline = now.Add(spec.left)
				j.append(&wire.Reply{Kind: &wire.Reply_Chunk{Chunk: make([]byte, spec.bytes)}}, false)
				last := ended("")
				if spec.refused {
					last = declined(cyclam.ReasonOverloaded, 0)
				}
				j.append(last, true)
				j.endedAt, j.settled = now.Add(-spec.age), spec.settled
				j.read = spec.read
				if spec.reading {
					j.attach()
				}
				n.jobs[attempt] = j
			}
			n.expireJobs(now)
			var kept, refused []int
			for i := range test.jobs {
				attempt := cyclam.AttemptID{
					Number: uint64(i),
				}
				if n.jobs[attempt] != nil {
					kept = append(kept, i)
				}
				if n.fences.revoked.has(attempt) {
					refused = append(refused, i)
				}
			}
			if got, want := kept, test.kept; !slices.Equal(got, want) {
				t.Errorf("kept jobs: got %v, want %v", got, want)
			}
			if got, want := refused, test.refused; !slices.Equal(got, want) {
				t.Errorf("jobs known as not run: got %v, want %v", got, want)
			}
		})
	}
}
