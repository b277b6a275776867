package drill

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/appsim"
)

// host is the host of all routes.
const host = "h.example"

const (
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
	// clientTries is how often a client tries a request.
	clientTries = 3
	// leaveEvery is the number of requests for which a client leaves one early.
	leaveEvery = 25
	// workersPerMachine is the number of clients on each machine.
	workersPerMachine = 2
)

// verdict is what the client knows after one try.
type verdict string

const (
	answered verdict = "answered"
	// refused is a promise that the request has not run.
	refused verdict = "refused"
	// lost is a connection closed without an answer, or status 502.
	lost verdict = "lost"
	late verdict = "late"
	// unrouted is status 404 for a route that all versions have.
	unrouted verdict = "unrouted"
	spoilt   verdict = "spoilt"
)

// oncePrefix begins the ids of attempts that may run once.
const oncePrefix = "once-"

// leftGrace is how long after its client has left a request may still reach a backend.
const leftGrace = 500 * time.Millisecond

// ledger counts what happened to the requests.
type ledger struct {
	mu       sync.Mutex
	place    string
	tries    map[verdict]int
	requests int
	// unserved counts requests without an answer after all tries.
	unserved int
	runs     map[string]int
	twice    int
	// left holds when the clients left that did not wait for an answer; sentOn counts
	// their requests that reached a backend more than leftGrace later.
	left   map[string]time.Time
	sentOn int
	// back counts nodes that no longer had a version that was in force before.
	back int
	// longest is the longest time until the entries were back in the store.
	longest time.Duration
	// stall is the longest time for which the machine under the test stood still.
	stall    time.Duration
	failures []string
}

// maxFailures bounds the failures that are kept for the report.
const maxFailures = 40

func newLedger() *ledger {
	return &ledger{
		tries: map[verdict]int{},
		runs:  map[string]int{},
		left:  map[string]time.Time{},
	}
}

// fail keeps a failure for the report. The caller holds mu.
func (l *ledger) fail(format string, args ...any) {
	if len(l.failures) < maxFailures {
		l.failures = append(l.failures, l.place+": "+fmt.Sprintf(format, args...))
	}
}

// enter names the place of what follows.
func (l *ledger) enter(place string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.place = place
}

func (l *ledger) placeName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.place
}

// noteRun counts a run of an attempt at a backend.
func (l *ledger) noteRun(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left, ok := l.left[attempt]; ok && time.Since(left) > leftGrace {
		l.sentOn++
		l.fail("%s sent on %v after its client had left", attempt, time.Since(left))
	}
	if !strings.HasPrefix(attempt, oncePrefix) {
		return
	}
	l.runs[attempt]++
	if l.runs[attempt] == 2 {
		l.twice++
		l.fail("%s ran twice", attempt)
	}
}

func (l *ledger) noteLeft(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[attempt] = time.Now()
}

func (l *ledger) noteTry(v verdict, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries[v]++
	if v != answered && v != refused {
		l.fail("%s: %s", v, detail)
	}
}

func (l *ledger) noteRequest(served bool, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if !served {
		l.unserved++
		l.fail("unserved: %s", detail)
	}
}

func (l *ledger) noteBack(detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.back++
	l.fail("version gone back: %s", detail)
}

func (l *ledger) noteEntries(took time.Duration, missing []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = max(l.longest, took)
	if took > entriesLimit {
		l.fail("entries not back within %v, not even after %v: %s", entriesLimit, took, strings.Join(missing, "; "))
	}
}

func (l *ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := 0
	for _, n := range l.tries {
		sent += n
	}
	return fmt.Sprintf("requests %d, sent %d, answered %d, refused %d, lost %d, late %d, unrouted %d, spoilt %d, unserved %d, run twice %d, left %d, sent on %d, versions back %d, longest until entries are back %v, longest stall of the machine %v",
		l.requests, sent, l.tries[answered], l.tries[refused], l.tries[lost], l.tries[late], l.tries[unrouted], l.tries[spoilt],
		l.unserved, l.twice, len(l.left), l.sentOn, l.back, l.longest.Round(time.Millisecond), l.stall.Round(time.Millisecond))
}

// watchStalls measures how long the machine under the test stands still, until ctx ends.
func (l *ledger) watchStalls(ctx context.Context) {
	const tick = 10 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		wait(ctx, tick)
		l.mu.Lock()
		l.stall = max(l.stall, time.Since(began)-tick)
		l.mu.Unlock()
	}
}

// client sends the requests of one worker.
type client struct {
	machine *machine
	ledger  *ledger
	name    string
	http    http.Client
	count   int
}

// routes are the path prefixes of the routes that all versions have.
var routes = []struct {
	path string
	once bool
}{
	{path: "/a/"},
	{path: "/a-once/", once: true},
	{path: "/b/"},
	{path: "/b-once/", once: true},
}

// run sends requests while the machine is ready, until ctx ends.
func (c *client) run(ctx context.Context) {
	c.http.Transport = &http.Transport{}
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.machine.ready.Load() {
			route := routes[rand.IntN(len(routes))]
			if rand.IntN(leaveEvery) == 0 {
				c.leave()
			}
			c.request(route.path, route.once)
		}
		wait(ctx, 30*time.Millisecond+rand.N(60*time.Millisecond))
	}
}

// request sends one request and tries again as the platform's clients do.
func (c *client) request(path string, once bool) {
	deadline := time.Now().Add(clientDeadline)
	var details []string
	for range clientTries {
		c.count++
		id := fmt.Sprintf("%s-%d", c.name, c.count)
		if once {
			id = oncePrefix + id
		}
		v, after, detail := c.try(path, id, deadline)
		detail = fmt.Sprintf("%s at %s: %s", id, c.machine.name, detail)
		c.ledger.noteTry(v, detail)
		if v == answered {
			c.ledger.noteRequest(true, "")
			return
		}
		details = append(details, detail)
		if once && v != refused || v == unrouted || time.Until(deadline) <= 0 {
			break
		}
		<-time.After(min(after, time.Until(deadline)/3))
		c.http.CloseIdleConnections()
	}
	c.ledger.noteRequest(false, strings.Join(details, "; "))
}

// leave sends a request and leaves before most answers come.
func (c *client) leave() {
	c.count++
	id := fmt.Sprintf("left-%s-%d", c.name, c.count)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond+rand.N(15*time.Millisecond))
	defer cancel()
	req, err := c.newRequest(ctx, routes[0].path, id, clientDeadline)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.ledger.noteLeft(id)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (c *client) newRequest(ctx context.Context, path, id string, left time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.address(portOutbound)+path+"x", strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(appsim.HeaderAttempt, id)
	req.Header.Set(appsim.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return req, nil
}

// try sends one attempt and returns what is known after it, and when to come back.
func (c *client) try(path, id string, deadline time.Time) (verdict, time.Duration, string) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	req, err := c.newRequest(ctx, path, id, time.Until(deadline))
	if err != nil {
		return spoilt, 0, err.Error()
	}
	resp, err := c.http.Do(req)
	if err != nil && ctx.Err() != nil {
		return late, 0, err.Error()
	}
	if err != nil {
		return lost, 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	detail := fmt.Sprintf("status %d after %v: %s", resp.StatusCode, time.Since(began).Round(time.Millisecond), bytes.TrimSpace(body))
	if err != nil {
		return lost, 0, detail + " " + err.Error()
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	after := time.Duration(seconds * float64(time.Second))
	switch resp.StatusCode {
	case http.StatusOK:
		if resp.Header.Get(appsim.HeaderAttempt) != id || resp.Header.Get(appsim.HeaderSignature) == "" || string(body) != id {
			return spoilt, 0, detail
		}
		return answered, 0, detail
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return refused, after, detail
	case http.StatusBadGateway:
		return lost, 0, detail
	case http.StatusGatewayTimeout:
		return late, 0, detail
	case http.StatusNotFound:
		return unrouted, 0, detail
	default:
		return spoilt, 0, detail
	}
}
