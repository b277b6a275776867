package node

import (
	"errors"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/valyala/fasthttp"
)

func newAttempt(number uint64) cyclam.SendAttempt {
	return cyclam.SendAttempt{
		Attempt: cyclam.AttemptID{
			Sender: cyclam.Identity{
				Instance:    "a",
				Incarnation: 1,
			},
			Number: number,
		},
	}
}

func newResponse(number uint64, outcome string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	resp.Header.Set(headerAttempt, newAttempt(number).Attempt.String())
	resp.Header.Set(headerOutcome, outcome)
	resp.SetBodyString("coil 17")
	return resp
}

// TestAnswerOfAnotherAttempt guards against a late or misrouted answer: an
// answer whose attempt ID differs from the one that was sent leaves the outcome
// unknown.
func TestAnswerOfAnotherAttempt(t *testing.T) {
	completion, explicit := attemptCompletion(newAttempt(2), newResponse(1, "done"), nil)
	if completion.Outcome != cyclam.OutcomeUnknown || explicit {
		t.Errorf("got outcome %v, stated %v, want unknown and not stated", completion.Outcome, explicit)
	}
}

func TestAttemptCompletion(t *testing.T) {
	for name, test := range map[string]struct {
		resp *fasthttp.Response
		err  error
		want cyclam.Outcome
	}{
		"done":       {newResponse(1, "done"), nil, cyclam.OutcomeDone},
		"not run":    {newResponse(1, "not-run"), nil, cyclam.OutcomeNotRun},
		"unknown":    {newResponse(1, "unknown"), nil, cyclam.OutcomeUnknown},
		"no outcome": {newResponse(1, ""), nil, cyclam.OutcomeUnknown},
		"never sent": {&fasthttp.Response{}, &dialError{
			err: errors.New("refused"),
		}, cyclam.OutcomeNotRun},
		"no free connection": {&fasthttp.Response{}, fasthttp.ErrNoFreeConns, cyclam.OutcomeNotRun},
		"connection reset":   {&fasthttp.Response{}, errors.New("reset"), cyclam.OutcomeUnknown},
		"timed out":          {&fasthttp.Response{}, fasthttp.ErrTimeout, cyclam.OutcomeUnknown},
	} {
		if completion, _ := attemptCompletion(newAttempt(1), test.resp, test.err); completion.Outcome != test.want {
			t.Errorf("%s: got %v, want %v", name, completion.Outcome, test.want)
		}
	}
}

// TestAnswerIsCopied guards against an answer that aliases the response buffer,
// which fasthttp reuses for later responses.
func TestAnswerIsCopied(t *testing.T) {
	resp := newResponse(1, "done")
	completion, _ := attemptCompletion(newAttempt(1), resp, nil)
	resp.Reset()
	resp.SetBodyString("another")
	if got, want := string(completion.Answer.Body), "coil 17"; got != want {
		t.Errorf("got body %q, want %q", got, want)
	}
}

// TestUpstreamCompletion checks that only the explicit X-Work-Started header of
// the upstream proves that an attempt was not run; a 503 alone does not.
func TestUpstreamCompletion(t *testing.T) {
	refused := &fasthttp.Response{}
	refused.SetStatusCode(503)
	refused.Header.Set(headerNotStarted, "no")
	plain := &fasthttp.Response{}
	plain.SetStatusCode(503)
	if got, want := upstreamCompletion(refused, nil).Outcome, cyclam.OutcomeNotRun; got != want {
		t.Errorf("rejected before any work: got %v, want %v", got, want)
	}
	if got, want := upstreamCompletion(plain, nil).Outcome, cyclam.OutcomeDone; got != want {
		t.Errorf("plain 503: got %v, want %v", got, want)
	}
	if got, want := upstreamCompletion(plain, errors.New("reset")).Outcome, cyclam.OutcomeUnknown; got != want {
		t.Errorf("connection reset: got %v, want %v", got, want)
	}
}

// TestRetryAfterBeyondAllDurations guards against a delay that overflows: a caller that is told
// a negative one returns at once.
func TestRetryAfterBeyondAllDurations(t *testing.T) {
	resp := newResponse(1, "not-run")
	for _, text := range []string{"9223372036854775807", "27670116110564", "18446744074709"} {
		resp.Header.Set(headerRetryAfter, text)
		if got := retryAfter(resp); got < 24*time.Hour {
			t.Errorf("%s s: got %v, want a long time", text, got)
		}
		resp.Header.Set(headerRetryAfterMs, text)
		if completion, _ := attemptCompletion(newAttempt(1), resp, nil); completion.RetryAfter < 24*time.Hour {
			t.Errorf("%s ms: got %v, want a long time", text, completion.RetryAfter)
		}
	}
}
