package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// outcome is what the client knows after one try.
type outcome string

const (
	answered outcome = "answered"
	// refused is a promise that the request has not run.
	refused outcome = "refused"
	// lost is a connection closed without an answer, or status 502.
	lost outcome = "lost"
	late outcome = "late"
	// notFound is status 404 for a route that all versions have.
	notFound  outcome = "not found"
	malformed outcome = "malformed"
)

// oncePrefix begins the ids of attempts that may run once.
const oncePrefix = "once-"

// abandonGrace is how long after its client has left a request may still reach a backend.
const abandonGrace = 500 * time.Millisecond

// stats counts what happened to the requests.
type stats struct {
	mu       sync.Mutex
	scenario string
	tries    map[outcome]int
	requests int
	// unserved counts requests without an answer after all tries.
	unserved int
	// slowest is the longest time until a request was answered.
	slowest time.Duration
	runs    map[string]int
	twice   int
	// abandoned holds when the clients left that did not wait for an answer; sentOn counts
	// their requests that reached a backend more than abandonGrace later.
	abandoned map[string]moment
	sentOn    int
	// regressions counts nodes that no longer had a version that was in force before.
	regressions int
	// longest is the longest time until the entries were back in the store; longestNet
	// is that without the stalls meanwhile.
	longest    time.Duration
	longestNet time.Duration
	// missing counts the waits that ended with entries missing.
	missing int
	// stall is the longest time for which the machine under the test stood still, and
	// stalls the sum of these times.
	stall    time.Duration
	stalls   time.Duration
	failures []string
}

// moment is a time and the sum of the stalls until then.
type moment struct {
	at     time.Time
	stalls time.Duration
}

// now returns the present moment. The caller holds mu.
func (s *stats) now() moment {
	return moment{
		at:     time.Now(),
		stalls: s.stalls,
	}
}

// since returns the time since a moment, and that without the stalls meanwhile. The
// caller holds mu.
func (s *stats) since(m moment) (gross, net time.Duration) {
	gross = time.Since(m.at)
	return gross, gross - (s.stalls - m.stalls)
}

// maxFailures bounds the failures that are kept for the report.
const maxFailures = 40

func newStats() *stats {
	return &stats{
		tries:     map[outcome]int{},
		runs:      map[string]int{},
		abandoned: map[string]moment{},
	}
}

// fail keeps a failure for the report. The caller holds mu.
func (s *stats) fail(format string, args ...any) {
	if len(s.failures) < maxFailures {
		s.failures = append(s.failures, s.scenario+": "+fmt.Sprintf(format, args...))
	}
}

// enter names the scenario of what follows.
func (s *stats) enter(scenario string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scenario = scenario
}

func (s *stats) scenarioName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scenario
}

// noteRun counts a run of an attempt at a backend.
func (s *stats) noteRun(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left, ok := s.abandoned[attempt]; ok {
		if gross, net := s.since(left); net > abandonGrace {
			s.sentOn++
			s.fail("%s sent on %v after its client had left, %v without stalls", attempt, gross, net)
		}
	}
	if !strings.HasPrefix(attempt, oncePrefix) {
		return
	}
	s.runs[attempt]++
	if s.runs[attempt] == 2 {
		s.twice++
		s.fail("%s ran twice", attempt)
	}
}

func (s *stats) noteAbandoned(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned[attempt] = s.now()
}

func (s *stats) noteTry(v outcome, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries[v]++
	if v != answered && v != refused {
		s.fail("%s: %s", v, detail)
	}
}

func (s *stats) noteServed(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.slowest = max(s.slowest, took)
}

func (s *stats) noteUnserved(detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.unserved++
	s.fail("unserved: %s", detail)
}

func (s *stats) noteRegression(detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regressions++
	s.fail("version gone back: %s", detail)
}

// noteEntries records how long after a moment the entries were back, or what is missing.
func (s *stats) noteEntries(since moment, missing []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gross, net := s.since(since)
	s.longest, s.longestNet = max(s.longest, gross), max(s.longestNet, net)
	if len(missing) > 0 {
		s.missing++
	}
	if net > entriesLimit || len(missing) > 0 {
		s.fail("entries not back within %v but after %v, %v without stalls; missing: %s", entriesLimit, gross, net, strings.Join(missing, "; "))
	}
}

func (s *stats) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := 0
	for _, n := range s.tries {
		sent += n
	}
	return fmt.Sprintf("requests %d, sent %d, answered %d, refused %d, lost %d, late %d, not found %d, malformed %d, unserved %d, slowest answer %v, run twice %d, abandoned %d, sent on %d, versions back %d, longest until entries are back %v, without stalls %v, longest stall of the machine %v, sum %v",
		s.requests, sent, s.tries[answered], s.tries[refused], s.tries[lost], s.tries[late], s.tries[notFound], s.tries[malformed],
		s.unserved, s.slowest.Round(time.Millisecond), s.twice, len(s.abandoned), s.sentOn, s.regressions, s.longest.Round(time.Millisecond), s.longestNet.Round(time.Millisecond), s.stall.Round(time.Millisecond), s.stalls.Round(time.Millisecond))
}

// watchStalls measures how long the machine under the test stands still, until ctx ends.
func (s *stats) watchStalls(ctx context.Context) {
	const (
		tick = 10 * time.Millisecond
		// jitter is the lateness of a timer that is no stall.
		jitter = 20 * time.Millisecond
	)
	for ctx.Err() == nil {
		began := time.Now()
		wait(ctx, tick)
		if stall := time.Since(began) - tick; stall > jitter {
			s.mu.Lock()
			s.stall = max(s.stall, stall)
			s.stalls += stall
			s.mu.Unlock()
		}
	}
}
