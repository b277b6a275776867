package cyclam

import "time"

// Outcome says how a call ended.
type Outcome uint8

// The three ways in which a call ends.
const (
	// Done means that the upstream's whole answer was received.
	Done Outcome = iota + 1
	// NotRun means that the call was certainly not started anywhere.
	NotRun
	// Unknown means that the call was sent and no answer came.
	Unknown
)

// String returns the outcome's name in answers and logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason says why a call was not run or its outcome is not known.
type Reason string

// The reasons that answers carry.
const (
	ReasonNoRoute      Reason = "no-route"
	ReasonNoConfig     Reason = "no-configuration"
	ReasonNowhere      Reason = "no-allowed-upstream"
	ReasonShed         Reason = "overloaded"
	ReasonDraining     Reason = "draining"
	ReasonExpired      Reason = "deadline-exceeded"
	ReasonPlacement    Reason = "placement-refused"
	ReasonWrongTarget  Reason = "wrong-incarnation"
	ReasonCancelled    Reason = "cancelled"
	ReasonUpstreamDown Reason = "upstream-down"
	ReasonLost         Reason = "answer-lost"
	// ReasonUpstreamRefused means that the upstream itself refused the request.
	ReasonUpstreamRefused Reason = "refused-by-upstream"
	ReasonBudget          Reason = "retry-budget-spent"
	ReasonStale           Reason = "attempt-too-old"
	ReasonDuplicate       Reason = "duplicate-in-progress"
	ReasonNotRemembered   Reason = "answer-no-longer-held"
)

// Answer is what an upstream returned, copied out of the transport's memory.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one end-to-end header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Verdict is the end of a call or of one attempt.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter tells the caller when to come back; zero when not known.
	RetryAfter time.Duration
	Answer     Answer
}

// Refused is the verdict on what certainly was not run.
func Refused(reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{
		Outcome:    NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
