// Package tally records when requests arrive at a stand-in and checks their rate. Tests use
// it.
package tally

import (
	"sync"
	"time"
)

// Arrivals records requests; the zero value has none.
type Arrivals struct {
	mu   sync.Mutex
	list []arrival
}

// arrival is one request: its time and the machine whose client sent it.
type arrival struct {
	at   time.Time
	from string
}

// Add records a request that arrives now. The machine whose client sent it may be empty.
func (a *Arrivals) Add(from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, arrival{
		at:   time.Now(),
		from: from,
	})
}

// Since returns how many requests arrived from a time on.
func (a *Arrivals) Since(begin time.Time) int {
	return a.count(begin, func(string) bool { return true })
}

// SinceExcept returns how many requests arrived from a time on that were not sent by the
// clients of a machine.
func (a *Arrivals) SinceExcept(begin time.Time, machine string) int {
	return a.count(begin, func(from string) bool { return from != machine })
}

func (a *Arrivals) count(begin time.Time, counts func(from string) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, r := range a.list {
		if !r.at.Before(begin) && counts(r.from) {
			count++
		}
	}
	return count
}

// Most returns the highest number of arrivals in any span of this length from a time on.
func (a *Arrivals) Most(begin time.Time, span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, r := range a.list {
		if r.at.Before(begin) {
			first = i + 1
			continue
		}
		for r.at.Sub(a.list[first].at) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// LimitSpan is the span in which an upstream with a rate limit may get limitSlack times what
// the limit allows, and limitExtra requests.
const (
	LimitSpan  = 4 * time.Second
	limitSlack = 1.5
	limitExtra = 5
)

// LimitBound returns the most requests that may arrive in LimitSpan for a limit in requests
// per second.
func LimitBound(perSecond float64) int {
	return int(limitSlack*perSecond*LimitSpan.Seconds()) + limitExtra
}
