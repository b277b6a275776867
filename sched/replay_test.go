package sched

import (
	"container/heap"
	"testing"
	"time"
)

// arrival is one request of a replayed load; times are in milliseconds.
type arrival struct {
	at           int
	serviceTime  int
	softDeadline int
	deadline     int
	priority     int
	nested       bool
	route        string
}

// completion is the end of one run: its time in milliseconds and the index of its
// arrival.
type completion struct {
	at int
	i  int
}

// completionHeap is a min-heap of completions by time.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h completionHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// result counts how the requests of a replayed load ended.
type result struct {
	// onTime counts answers within the soft deadline by priority.
	onTime  map[int]int
	late    int
	refused int
	// refusedLate counts refusals after more than half of the deadline.
	refusedLate int
	// nestedAnswered counts nested requests answered within the deadline.
	nestedAnswered int
}

// replay runs a load against the scheduler of one upstream for a minute of
// simulated time, in steps of one millisecond.
func replay(slots int, load []arrival) result {
	s := newKnown(slots)
	r := result{
		onTime: map[int]int{},
	}
	running := &completionHeap{}
	apply := func(now int, decisions []Decision) {
		for _, d := range decisions {
			i := int(d.Attempt.Number)
			a := load[i]
			if d.Start {
				heap.Push(running, completion{
					at: now + a.serviceTime,
					i:  i,
				})
				continue
			}
			r.refused++
			if now-a.at > a.deadline/2 {
				r.refusedLate++
			}
		}
	}
	next := 0
	for now := 0; now < 60_000; now++ {
		for running.Len() > 0 && (*running)[0].at <= now {
			c := heap.Pop(running).(completion)
			a := load[c.i]
			r.record(a, now)
			var decisions []Decision
			s, decisions = s.End(at(now), RunResult{
				Route: a.route,
				Took:  time.Duration(a.serviceTime) * time.Millisecond,
				Ran:   true,
			})
			apply(now, decisions)
		}
		for next < len(load) && load[next].at <= now {
			a := load[next]
			w := newWork(next, a.at, a.softDeadline, a.deadline)
			w.Priority, w.Nested, w.Route = a.priority, a.nested, a.route
			var decisions []Decision
			s, decisions = s.Arrive(at(now), w)
			apply(now, decisions)
			next++
		}
		if now%25 == 0 {
			var decisions []Decision
			s, decisions = s.Tick(at(now))
			apply(now, decisions)
		}
	}
	return r
}

func (r *result) record(a arrival, now int) {
	switch {
	case now <= a.at+a.softDeadline:
		r.onTime[a.priority]++
		if a.nested {
			r.nestedAnswered++
		}
	case now <= a.at+a.deadline:
		r.late++
		if a.nested {
			r.nestedAnswered++
		}
	}
}

// replayFIFO runs the same load first come, first served with an unbounded queue,
// as a baseline.
func replayFIFO(slots int, load []arrival) result {
	r := result{
		onTime: map[int]int{},
	}
	free := make([]int, slots)
	for _, a := range load {
		best := 0
		for i := range free {
			if free[i] < free[best] {
				best = i
			}
		}
		begin := max(a.at, free[best])
		free[best] = begin + a.serviceTime
		r.record(a, free[best])
	}
	return r
}

// steadyLoad returns copies of a request that arrive every interval milliseconds.
func steadyLoad(from, to, interval int, template arrival) []arrival {
	var load []arrival
	for ms := from; ms < to; ms += interval {
		a := template
		a.at = ms
		load = append(load, a)
	}
	return load
}

// totalOnTime returns the number of answers within the soft deadline over all
// priorities.
func totalOnTime(r result) int {
	total := 0
	for _, count := range r.onTime {
		total += count
	}
	return total
}

// Guards against a burst that fills the queue with late work: load of twice the
// capacity for three seconds, then half of the capacity.
func TestReplayBurst(t *testing.T) {
	template := arrival{
		serviceTime:  200,
		softDeadline: 600,
		deadline:     2500,
		priority:     2,
		route:        "lookup",
	}
	load := append(steadyLoad(0, 3000, 10, template), steadyLoad(3000, 9000, 40, template)...)
	got, base := replay(10, load), replayFIFO(10, load)
	if totalOnTime(got) < 2*totalOnTime(base) {
		t.Errorf("answered on time: got %d, want at least twice the %d of first come first served", totalOnTime(got), totalOnTime(base))
	}
	if got.refusedLate > 0 {
		t.Errorf("refused after half of the deadline: got %d, want 0", got.refusedLate)
	}
	if lost := got.refused; lost > 150 {
		t.Errorf("refused: got %d, want at most 150, the excess of the burst over the capacity", lost)
	}
}

// Guards against slots spent on late answers in sustained overload: load of one
// and a half times the capacity for twenty seconds.
func TestReplayOverload(t *testing.T) {
	template := arrival{
		serviceTime:  150,
		softDeadline: 500,
		deadline:     1200,
		route:        "lookup",
	}
	load := steadyLoad(0, 20_000, 10, template)
	got, base := replay(10, load), replayFIFO(10, load)
	capacity := 20_000 / 15
	if want := capacity * 8 / 10; totalOnTime(got) < want {
		t.Errorf("answered on time: got %d, want at least %d, 0.8 of the capacity", totalOnTime(got), want)
	}
	if totalOnTime(base) > totalOnTime(got)/4 {
		t.Errorf("first come first served: got %d on time, want it to collapse below a quarter of %d", totalOnTime(base), totalOnTime(got))
	}
}

// Guards against nested requests that queue behind long ones while the work that
// waits for them holds slots elsewhere.
func TestReplayNested(t *testing.T) {
	long := steadyLoad(0, 10_000, 20, arrival{
		serviceTime:  290,
		softDeadline: 800,
		deadline:     1500,
		priority:     1,
		route:        "booking",
	})
	var load []arrival
	for i, a := range long {
		load = append(load, a)
		if i%2 == 0 {
			load = append(load, arrival{
				at:           a.at,
				serviceTime:  55,
				softDeadline: 200,
				deadline:     600,
				priority:     1,
				nested:       true,
				route:        "hold",
			})
		}
	}
	got, base := replay(12, load), replayFIFO(12, load)
	nested := len(load) - len(long)
	if want := nested * 98 / 100; got.nestedAnswered < want {
		t.Errorf("nested calls answered: got %d of %d, want at least %d", got.nestedAnswered, nested, want)
	}
	if base.nestedAnswered > got.nestedAnswered/2 {
		t.Errorf("first come first served: got %d nested calls answered, want less than half of %d", base.nestedAnswered, got.nestedAnswered)
	}
}

// Guards against less urgent work displacing urgent work: two priorities share an
// upstream at one and a half times its capacity.
func TestReplayPriorities(t *testing.T) {
	var load []arrival
	for ms := 0; ms < 10_000; ms += 20 {
		for priority := 1; priority <= 2; priority++ {
			load = append(load, arrival{
				at:           ms,
				serviceTime:  150,
				softDeadline: 500,
				deadline:     1200,
				priority:     priority,
				route:        "both",
			})
		}
	}
	got := replay(10, load)
	if got.onTime[1] < got.onTime[2] {
		t.Errorf("on time: got %d urgent and %d other requests, want at least as many urgent ones", got.onTime[1], got.onTime[2])
	}
	if want := 10_000 / 20 * 95 / 100; got.onTime[1] < want {
		t.Errorf("urgent requests on time: got %d, want at least %d", got.onTime[1], want)
	}
}
