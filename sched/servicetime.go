package sched

import "time"

// routeTime is the moving average of a route's service time, the number of runs that it is
// based on, up to settledRuns, and when the last one ended.
type routeTime struct {
	average time.Duration
	runs    int
	at      time.Time
}

// withRun returns the route's service time after a run. The first runs count alike: an
// average that begins with a guess would keep attempts away for as long as it is above what
// other upstreams report, and without attempts it stays there.
func (r routeTime) withRun(now time.Time, took time.Duration) routeTime {
	weight := max(serviceTimeWeight, 1/float64(r.runs+1))
	return routeTime{
		average: r.average + time.Duration(weight*float64(took-r.average)),
		runs:    min(r.runs+1, settledRuns),
		at:      now,
	}
}

// settledRuns is the number of runs from which a route's average counts. Routes that are
// used less than that say little about the upstream's work.
const settledRuns = 10

func movingAverage(previous, took time.Duration) time.Duration {
	return previous + time.Duration(serviceTimeWeight*float64(took-previous))
}

// meanServiceTime returns the mean of the settled routes after a run, or the moving
// average over all runs if no route has settled.
func (s State) meanServiceTime(took time.Duration) time.Duration {
	if settled := s.settledServiceTime(); settled > 0 {
		return settled
	}
	return movingAverage(s.serviceTime, took)
}

// settledServiceTime returns the mean of the settled routes, or zero if none has settled.
func (s State) settledServiceTime() time.Duration { return s.serviceTimeSince(time.Time{}) }

// serviceTimeKept is how long a service time is reported after the last run. If it kept
// others away for longer, no run would show that it has changed.
const serviceTimeKept = 5 * time.Second

// reportedServiceTime returns the service time that is told to other nodes; zero if it is
// not known.
func (s State) reportedServiceTime(now time.Time) time.Duration {
	return s.serviceTimeSince(now.Add(-serviceTimeKept))
}

// serviceTimeSince returns the mean of the settled routes that have run since a time.
func (s State) serviceTimeSince(since time.Time) time.Duration {
	sum, settled := time.Duration(0), 0
	for _, r := range s.routes {
		if r.runs == settledRuns && !r.at.Before(since) {
			sum += r.average
			settled++
		}
	}
	if settled == 0 {
		return 0
	}
	return sum / time.Duration(settled)
}

// expectedServiceTime returns a route's average service time, or that of all
// routes if the route has none yet.
func (s State) expectedServiceTime(route string) time.Duration {
	if r, ok := s.routes[route]; ok {
		return r.average
	}
	return s.serviceTime
}
