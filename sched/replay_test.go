package sched

import (
	"container/heap"
	"testing"
	"time"
)

// arrival is one request of a replayed load.
type arrival struct {
	at       int
	takes    int
	goal     int
	deadline int
	priority int
	nested   bool
	route    string
}

// finish is the end of one run.
type finish struct {
	at int
	i  int
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(a, b int) bool { return f[a].at < f[b].at }
func (f finishes) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// result is how a replayed load ended.
type result struct {
	onTime  map[int]int
	late    int
	refused int
	// heldLong counts refusals after more than half of the deadline.
	heldLong int
	nestedOK int
}

// replay plays a load, in milliseconds, against one upstream.
func replay(slots int, load []arrival) result {
	s := known(slots)
	r := result{
		onTime: map[int]int{},
	}
	running := &finishes{}
	apply := func(now int, decisions []Decision) {
		for _, d := range decisions {
			i := int(d.Attempt.Number)
			a := load[i]
			if d.Start {
				heap.Push(running, finish{
					at: now + a.takes,
					i:  i,
				})
				continue
			}
			r.refused++
			if now-a.at > a.deadline/2 {
				r.heldLong++
			}
		}
	}
	next := 0
	for now := 0; now < 60_000; now++ {
		for running.Len() > 0 && (*running)[0].at <= now {
			f := heap.Pop(running).(finish)
			a := load[f.i]
			r.note(a, now)
			var decisions []Decision
			s, decisions = s.End(at(now), RunResult{
				Route: a.route,
				Took:  time.Duration(a.takes) * time.Millisecond,
				Ran:   true,
			})
			apply(now, decisions)
		}
		for next < len(load) && load[next].at <= now {
			a := load[next]
			w := work(next, a.at, a.goal, a.deadline)
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

func (r *result) note(a arrival, now int) {
	switch {
	case now <= a.at+a.goal:
		r.onTime[a.priority]++
		if a.nested {
			r.nestedOK++
		}
	case now <= a.at+a.deadline:
		r.late++
		if a.nested {
			r.nestedOK++
		}
	}
}

// firstCome plays the same load without decisions: first come, first served,
// without a bound.
func firstCome(slots int, load []arrival) result {
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
		free[best] = begin + a.takes
		r.note(a, free[best])
	}
	return r
}

// steady returns a load of equal requests at a rate.
func steady(from, to, gap int, like arrival) []arrival {
	var load []arrival
	for ms := from; ms < to; ms += gap {
		a := like
		a.at = ms
		load = append(load, a)
	}
	return load
}

func sum(r result) int {
	total := 0
	for _, count := range r.onTime {
		total += count
	}
	return total
}

// A burst of twice the capacity for three seconds, then half of it.
func TestReplayBurst(t *testing.T) {
	like := arrival{
		takes:    200,
		goal:     600,
		deadline: 2500,
		priority: 2,
		route:    "lookup",
	}
	load := append(steady(0, 3000, 10, like), steady(3000, 9000, 40, like)...)
	got, base := replay(10, load), firstCome(10, load)
	if sum(got) < 2*sum(base) {
		t.Errorf("answered on time: got %d, want at least twice the %d of first come first served", sum(got), sum(base))
	}
	if got.heldLong > 0 {
		t.Errorf("refused after half of the deadline: got %d, want 0", got.heldLong)
	}
	if lost := got.refused; lost > 150 {
		t.Errorf("refused: got %d, want no more than exceeds the capacity of the burst, 150", lost)
	}
}

// Load of one and a half times the capacity for twenty seconds.
func TestReplayOverload(t *testing.T) {
	like := arrival{
		takes:    150,
		goal:     500,
		deadline: 1200,
		route:    "lookup",
	}
	load := steady(0, 20_000, 10, like)
	got, base := replay(10, load), firstCome(10, load)
	capacity := 20_000 / 15
	if want := capacity * 8 / 10; sum(got) < want {
		t.Errorf("answered on time: got %d, want at least %d, eight tenths of the capacity", sum(got), want)
	}
	if sum(base) > sum(got)/4 {
		t.Errorf("first come first served: got %d on time, want it to collapse below a quarter of %d", sum(base), sum(got))
	}
}

// Calls made by work that runs elsewhere compete with long requests.
func TestReplayNested(t *testing.T) {
	long := steady(0, 10_000, 20, arrival{
		takes:    290,
		goal:     800,
		deadline: 1500,
		priority: 1,
		route:    "booking",
	})
	var load []arrival
	for i, a := range long {
		load = append(load, a)
		if i%2 == 0 {
			load = append(load, arrival{
				at:       a.at,
				takes:    55,
				goal:     200,
				deadline: 600,
				priority: 1,
				nested:   true,
				route:    "hold",
			})
		}
	}
	got, base := replay(12, load), firstCome(12, load)
	nested := len(load) - len(long)
	if want := nested * 98 / 100; got.nestedOK < want {
		t.Errorf("nested calls answered: got %d of %d, want at least %d", got.nestedOK, nested, want)
	}
	if base.nestedOK > got.nestedOK/2 {
		t.Errorf("first come first served: got %d nested calls answered, want less than half of %d", base.nestedOK, got.nestedOK)
	}
}

// Two ranks share an upstream at one and a half times its capacity.
func TestReplayRanks(t *testing.T) {
	var load []arrival
	for ms := 0; ms < 10_000; ms += 20 {
		for priority := 1; priority <= 2; priority++ {
			load = append(load, arrival{
				at:       ms,
				takes:    150,
				goal:     500,
				deadline: 1200,
				priority: priority,
				route:    "both",
			})
		}
	}
	got := replay(10, load)
	if got.onTime[1] < got.onTime[2] {
		t.Errorf("on time: got %d of the urgent and %d of the others, want more of the urgent", got.onTime[1], got.onTime[2])
	}
	if want := 10_000 / 20 * 95 / 100; got.onTime[1] < want {
		t.Errorf("urgent ones on time: got %d, want at least %d", got.onTime[1], want)
	}
}
