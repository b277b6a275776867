package sched

import "time"

// routeTime is the moving average of a route's service time and the number of runs that
// it is based on, up to settledRuns.
type routeTime struct {
	average time.Duration
	runs    int
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
func (s State) settledServiceTime() time.Duration {
	sum, settled := time.Duration(0), 0
	for _, r := range s.routes {
		if r.runs == settledRuns {
			sum += r.average
			settled++
		}
	}
	if settled == 0 {
		return 0
	}
	return sum / time.Duration(settled)
}

// usualServiceTime returns a route's average service time, or that of all routes if the
// route has none yet.
func (s State) usualServiceTime(route string) time.Duration {
	if r, ok := s.routes[route]; ok {
		return r.average
	}
	return s.serviceTime
}

// ExpectedStay returns the expected time until a run of a route ends that arrives now and waits
// for all others.
func (s State) ExpectedStay(now time.Time, route string) time.Duration {
	return s.expectedWait(now, len(s.queue)) + s.expectedServiceTime(now, route)
}

// expectedServiceTime returns the expected time of a run of a route that starts now.
func (s State) expectedServiceTime(now time.Time, route string) time.Duration {
	return time.Duration(s.slowdown.factor(now) * float64(s.usualServiceTime(route)))
}
