package cyclam

import (
	"encoding/json"
	"net/http"
	"time"
)

// CallMeta is what a caller's request says of itself in its header.
type CallMeta struct {
	// ID is the caller's id of this request; empty if it sent none.
	ID string
	// Parent is the id of the request whose work made this one; empty if it is
	// not told.
	Parent string
	// Remaining is how long the caller waits; zero if it does not say.
	Remaining time.Duration
}

// AttemptMeta is what an upstream is told beside the request itself.
type AttemptMeta struct {
	ID string
	// Remaining is how long the upstream may work.
	Remaining time.Duration
	// Target is the id of the upstream that is meant; empty if not known.
	Target string
	// Caller is the service of the instance where the request began.
	Caller ServiceName
}

// AnswerMeta is what an upstream's answer says of itself in its header.
type AnswerMeta struct {
	// ID is the id of the request that is answered; empty if it is not told.
	ID string
	// Signed is set when the upstream vouches for the answer.
	Signed bool
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set when another upstream has the address.
	Misdirected bool
	// Load is the upstream's own count; LoadKnown tells that it was sent.
	Load      UpstreamLoad
	LoadKnown bool
}

// UpstreamLoad is what an upstream tells of its own work.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect reads and writes the header fields and objects of one environment.
type Dialect interface {
	// ParseCall reads a caller's request header.
	ParseCall(header http.Header) CallMeta
	// WriteAttempt writes what an upstream is told into a request's header.
	WriteAttempt(header http.Header, meta AttemptMeta)
	// ParseAnswer reads an upstream's answer.
	ParseAnswer(status int, header http.Header) AnswerMeta
	// ParseInstance reads the upstream's id from an answer of its health check.
	ParseInstance(header http.Header) string
	// ConfigKey names the object that holds the configuration.
	ConfigKey() Key
	// ParseConfig decodes the configuration.
	ParseConfig(spec json.RawMessage) (Config, error)
}
