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
	"time"

	"github.com/cyclamensaddle/cyclam/stand/appsim"
	"github.com/cyclamensaddle/cyclam/stand/child"
)

// host is the host of all routes.
const host = "h.example"

const (
	// clientDeadline is how long a client waits for an answer. It leaves room for the
	// stalls of a busy machine.
	clientDeadline = 8 * time.Second
	// clientTries is how often a client tries a request.
	clientTries = 3
	// abandonEvery is the number of requests for which a client leaves one early.
	abandonEvery = 25
	// workersPerMachine is the number of clients on each machine.
	workersPerMachine = 2
)

// client sends the requests of one worker.
type client struct {
	machine *machine
	stats   *stats
	name    string
	http    http.Client
	count   int
	// padding is the size of what follows the id in a request's body, in bytes.
	padding int
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
			if rand.IntN(abandonEvery) == 0 {
				c.abandon()
			}
			c.request(route.path, route.once)
		}
		wait(ctx, 30*time.Millisecond+rand.N(60*time.Millisecond))
	}
}

// request sends one request and tries again as the platform's clients do.
func (c *client) request(path string, once bool) {
	began := time.Now()
	deadline := began.Add(clientDeadline)
	var details []string
	for range clientTries {
		c.count++
		id := fmt.Sprintf("%s-%d", c.name, c.count)
		if once {
			id = oncePrefix + id
		}
		v, after, detail := c.try(path, id, deadline)
		detail = fmt.Sprintf("%s at %s: %s", id, c.machine.name, detail)
		c.stats.noteTry(v, detail)
		if v == answered {
			c.stats.noteServed(time.Since(began))
			return
		}
		details = append(details, detail)
		if once && v != refused || v == notFound || time.Until(deadline) <= 0 {
			break
		}
		<-time.After(min(after, time.Until(deadline)/3))
		c.http.CloseIdleConnections()
	}
	c.stats.noteUnserved(strings.Join(details, "; "))
}

// abandon sends a request and leaves before most answers come.
func (c *client) abandon() {
	c.count++
	id := fmt.Sprintf("abandoned-%s-%d", c.name, c.count)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond+rand.N(15*time.Millisecond))
	defer cancel()
	req, err := c.newRequest(ctx, routes[0].path, id, clientDeadline)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.stats.noteAbandoned(id)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (c *client) newRequest(ctx context.Context, path, id string, left time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.address(child.PortOutbound)+path+"x", strings.NewReader(id+strings.Repeat("x", c.padding)))
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(appsim.HeaderAttempt, id)
	req.Header.Set(appsim.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return req, nil
}

// try sends one attempt and returns what is known after it, and when to come back.
func (c *client) try(path, id string, deadline time.Time) (outcome, time.Duration, string) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	req, err := c.newRequest(ctx, path, id, time.Until(deadline))
	if err != nil {
		return malformed, 0, err.Error()
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
			return malformed, 0, detail
		}
		return answered, 0, detail
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return refused, after, detail
	case http.StatusBadGateway:
		return lost, 0, detail
	case http.StatusGatewayTimeout:
		return late, 0, detail
	case http.StatusNotFound:
		return notFound, 0, detail
	default:
		return malformed, 0, detail
	}
}
