package node

import (
	"errors"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/valyala/fasthttp"
)

func sent(number uint64) cyclam.SendAttempt {
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

func answered(number uint64, outcome string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	resp.Header.Set(headerAttempt, sent(number).Attempt.String())
	resp.Header.Set(headerOutcome, outcome)
	resp.SetBodyString("coil 17")
	return resp
}

// TestAnswerOfAnotherAttempt covers answers that come late or crossed.
func TestAnswerOfAnotherAttempt(t *testing.T) {
	verdict, explicit := attemptVerdict(sent(2), answered(1, "done"), nil)
	if verdict.Outcome != cyclam.OutcomeUnknown || explicit {
		t.Errorf("got outcome %v, stated %v, want unknown and not stated", verdict.Outcome, explicit)
	}
}

func TestAttemptVerdict(t *testing.T) {
	for name, test := range map[string]struct {
		resp *fasthttp.Response
		err  error
		want cyclam.Outcome
	}{
		"done":       {answered(1, "done"), nil, cyclam.OutcomeDone},
		"not run":    {answered(1, "not-run"), nil, cyclam.OutcomeNotRun},
		"unknown":    {answered(1, "unknown"), nil, cyclam.OutcomeUnknown},
		"no outcome": {answered(1, ""), nil, cyclam.OutcomeUnknown},
		"never sent": {&fasthttp.Response{}, &dialError{
			err: errors.New("refused"),
		}, cyclam.OutcomeNotRun},
		"no free slot": {&fasthttp.Response{}, fasthttp.ErrNoFreeConns, cyclam.OutcomeNotRun},
		"broken off":   {&fasthttp.Response{}, errors.New("reset"), cyclam.OutcomeUnknown},
		"timed out":    {&fasthttp.Response{}, fasthttp.ErrTimeout, cyclam.OutcomeUnknown},
	} {
		if verdict, _ := attemptVerdict(sent(1), test.resp, test.err); verdict.Outcome != test.want {
			t.Errorf("%s: got %v, want %v", name, verdict.Outcome, test.want)
		}
	}
}

// TestAnswerIsCopied covers memory that the library uses again.
func TestAnswerIsCopied(t *testing.T) {
	resp := answered(1, "done")
	verdict, _ := attemptVerdict(sent(1), resp, nil)
	resp.Reset()
	resp.SetBodyString("another")
	if got, want := string(verdict.Answer.Body), "coil 17"; got != want {
		t.Errorf("got body %q, want %q", got, want)
	}
}

// TestUpstreamVerdict covers what only an explicit word of the upstream proves.
func TestUpstreamVerdict(t *testing.T) {
	refused := &fasthttp.Response{}
	refused.SetStatusCode(503)
	refused.Header.Set(headerNotStarted, "no")
	plain := &fasthttp.Response{}
	plain.SetStatusCode(503)
	if got, want := upstreamVerdict(refused, nil).Outcome, cyclam.OutcomeNotRun; got != want {
		t.Errorf("refused before work: got %v, want %v", got, want)
	}
	if got, want := upstreamVerdict(plain, nil).Outcome, cyclam.OutcomeDone; got != want {
		t.Errorf("plain 503: got %v, want %v", got, want)
	}
	if got, want := upstreamVerdict(plain, errors.New("reset")).Outcome, cyclam.OutcomeUnknown; got != want {
		t.Errorf("broken off: got %v, want %v", got, want)
	}
}
