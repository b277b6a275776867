package proxy

import (
	"context"
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/canary"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/pkg/errors"
)

// countRolloutRun counts the end of a run for a rollout. A run that the upstream or the sender has
// ended for lack of time may only have been slow, and one whose nested request has failed says
// nothing of the upstream. Neither does the time for which it waited for nested requests.
func (n *Node) countRolloutRun(j *job, to *addressee, sink *jobSink, run sched.RunResult, err error) {
	if !n.followsRollouts() || to == nil || errors.Is(err, origin.ErrNotSent) {
		return
	}
	cut := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || sink.status == http.StatusGatewayTimeout
	n.schedMu.Lock()
	nested := n.nestedOf[string(j.offer.Id)]
	n.schedMu.Unlock()
	if !run.Ran && !cut || run.Failed && nested.failed {
		return
	}
	n.noteRolloutRun(to.id, canary.Run{
		Route:  j.offer.Route,
		Took:   max(0, run.Took-nested.waited(time.Now())),
		Failed: run.Failed && !cut,
		Cut:    cut,
	})
}

// nestedCalls tells of the nested requests of one running request.
type nestedCalls struct {
	// active is how many are under way, at least one since the time since.
	active int
	since  time.Time
	// total is how long at least one was before.
	total time.Duration
	// failed is set once one has failed.
	failed bool
}

// waited returns for how long at least one nested request was under way.
func (c nestedCalls) waited(now time.Time) time.Duration {
	if c.active > 0 {
		return c.total + now.Sub(c.since)
	}
	return c.total
}

// beginNested records that a run at the local upstream has made a request, if this is one.
func (n *Node) beginNested(c *call, parent string) {
	if !c.offer.Nested || !n.followsRollouts() {
		return
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if n.runningByID[parent] == 0 {
		return
	}
	calls := n.nestedOf[parent]
	if calls.active == 0 {
		calls.since = time.Now()
	}
	calls.active++
	n.nestedOf[parent] = calls
}

// endNested records the end of that request.
func (n *Node) endNested(parent string, end result) {
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	calls, known := n.nestedOf[parent]
	if !known || calls.active == 0 {
		return
	}
	calls.active--
	if calls.active == 0 {
		calls.total += time.Since(calls.since)
	}
	calls.failed = calls.failed || end.completion.Outcome != cyclam.OutcomeDone || end.completion.Answer.Status >= http.StatusInternalServerError
	n.nestedOf[parent] = calls
}
