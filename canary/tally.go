package canary

import (
	"maps"
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

const (
	// window is the time by which answers are counted, since the order: a fault that comes
	// late must not be hidden by what was good before.
	window = 2 * time.Second
	// windows is how many of them are kept beside the sum of all.
	windows = 2
)

// Tally counts the answers of one upstream on one route. All counts only rise.
type Tally struct {
	// Runs counts all runs and Failed those that failed.
	Runs   uint32
	Failed uint32
	// Times counts the good answers by their time, in half octaves from firstBucket on.
	Times [buckets]uint32
}

const (
	buckets     = 24
	firstBucket = 4 * time.Millisecond
)

// Bucket returns the index in Tally.Times of a run that took this long.
func Bucket(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(buckets-1, int(2*math.Log2(float64(took)/float64(firstBucket))))
}

func (t Tally) plus(o Tally) Tally {
	t.Runs += o.Runs
	t.Failed += o.Failed
	for i, n := range o.Times {
		t.Times[i] += n
	}
	return t
}

// max returns the higher counts of two states of the same tally.
func (t Tally) max(o Tally) Tally {
	t.Runs, t.Failed = max(t.Runs, o.Runs), max(t.Failed, o.Failed)
	for i, n := range o.Times {
		t.Times[i] = max(t.Times[i], n)
	}
	return t
}

// median returns the bucket of the median answer; false if there are too few.
func (t Tally) median() (int, bool) {
	total := uint32(0)
	for _, n := range t.Times {
		total += n
	}
	seen := uint32(0)
	for i, n := range t.Times {
		if seen += n; 2*seen >= total && total >= fewAnswers {
			return i, true
		}
	}
	return 0, false
}

// since counts the answers from a bucket on.
func (t Tally) since(bucket int) uint32 {
	count := uint32(0)
	for i := bucket; i < buckets; i++ {
		count += t.Times[i]
	}
	return count
}

// Slot is the route and the window of a tally. Window allWindows holds the sum of all.
type Slot struct {
	Route  string
	Window int
}

const allWindows = -1

// Source is the process that has counted: a restarted node counts anew.
type Source struct {
	cyclam.Identity
	// New is set if the upstream runs the release of the order.
	New bool
}

// Run is one run at an upstream.
type Run struct {
	Route  string
	Took   time.Duration
	Failed bool
	// Cold is set if the upstream was still warming up: its time does not count.
	Cold bool
	// Cut is set if the run was ended before its answer, which would have taken longer.
	Cut bool
}

// Report is what one node has counted since an order.
type Report map[Slot]Tally

// With returns the report after a run that ended at a time since the order.
func (r Report) With(age time.Duration, run Run) Report {
	next := maps.Clone(r)
	if next == nil {
		next = Report{}
	}
	now := int(age / window)
	for slot := range next {
		if slot.Window != allWindows && slot.Window <= now-windows {
			delete(next, slot)
		}
	}
	for _, w := range []int{allWindows, now} {
		slot := Slot{
			Route:  run.Route,
			Window: w,
		}
		t := next[slot]
		t.Runs++
		switch {
		case run.Failed:
			t.Failed++
		case !run.Cold:
			t.Times[Bucket(run.Took)]++
		}
		next[slot] = t
	}
	return next
}

// Evidence holds the reports of all nodes on one order. It is immutable.
type Evidence struct {
	reports map[Source]Report
}

// maxSources bounds the reports that are kept of each release.
const maxSources = 24

// With returns the evidence with the report of a node, which may be older than what is known.
func (e Evidence) With(from Source, report Report) Evidence {
	merged := maps.Clone(e.reports[from])
	if merged == nil {
		merged = Report{}
	}
	newest := 0
	for slot, t := range report {
		merged[slot] = merged[slot].max(t)
	}
	for slot := range merged {
		newest = max(newest, slot.Window)
	}
	for slot := range merged {
		if slot.Window != allWindows && slot.Window <= newest-windows {
			delete(merged, slot)
		}
	}
	e.reports = maps.Clone(e.reports)
	if e.reports == nil {
		e.reports = map[Source]Report{}
	}
	e.reports[from] = merged
	return e
}

// HasRoom reports whether a report of this node is of use: those of a few upstreams of each
// release tell enough.
func (e Evidence) HasRoom(from Source) bool {
	if _, known := e.reports[from]; known {
		return true
	}
	held := 0
	for s := range e.reports {
		if s.New == from.New {
			held++
		}
	}
	return held < maxSources
}

// Countable returns the run as it is counted. One that was cut, such as by the answer to a hedged
// attempt, counts as slow if it had already taken long; otherwise nothing can be told from it, and
// it returns false.
func (e Evidence) Countable(run Run) (Run, bool) {
	if !run.Cut {
		return run, true
	}
	var former Tally
	for from, report := range e.reports {
		if !from.New {
			former = former.plus(report[Slot{
				Route:  run.Route,
				Window: allWindows,
			}])
		}
	}
	usual, known := former.median()
	if !known || run.Cold || Bucket(run.Took) < usual+cutBuckets {
		return run, false
	}
	run.Cut = false
	run.Took = max(run.Took, timeOf(usual+slowBuckets))
	return run, true
}

// cutBuckets is how many half octaves above the usual time a run counts as slow that was cut: the
// answer would have taken longer.
const cutBuckets = 3

// timeOf returns a time in a bucket.
func timeOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2((float64(bucket)+0.5)/2))
}

// All returns the reports by the nodes that made them; they must not be changed.
func (e Evidence) All() map[Source]Report { return e.reports }
