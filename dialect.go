package cyclam

import (
	"encoding/json"
	"net/http"
	"time"
)

// CallMeta is the metadata in the header of a caller's request.
type CallMeta struct {
	// ID is the caller's id of this request; empty if it sent none.
	ID string
	// Parent is the id of the request whose processing caused this one; empty
	// if the header does not name it.
	Parent string
	// Remaining is how long the caller waits; zero if the header does not say.
	Remaining time.Duration
	// Credential is the caller's; empty if the header has none, or not exactly one.
	Credential Credential
	// Presented is set if the header has any credential, also one that can't be read.
	Presented bool
}

// AttemptMeta is the metadata that a node adds to a request for an upstream.
type AttemptMeta struct {
	ID string
	// Remaining is how long the upstream may work on the request.
	Remaining time.Duration
	// Target is the id of the upstream that the request is meant for; empty if
	// not known.
	Target string
	// Caller is the service of the instance at which the request entered the
	// mesh.
	Caller ServiceName
	// Keyed is set if the configuration has teams: the caller's credential is removed, and
	// Team, which may be empty, replaces the team that the header names.
	Keyed bool
	Team  TeamName
}

// AnswerMeta is the metadata in the header of an upstream's answer.
type AnswerMeta struct {
	// ID is the id of the request that is answered; empty if the header does
	// not name it.
	ID string
	// Signed is set if the answer carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if another upstream listens at the address.
	Misdirected bool
	// Load is the load that the upstream reports; it is valid only if LoadKnown
	// is set.
	Load      UpstreamLoad
	LoadKnown bool
	// RateLimit is the limit that the upstream names; the zero value means that the
	// header's value can't be read.
	RateLimit RateLimit
	// Leaving is set if the upstream states that it is about to stop.
	Leaving bool
}

// UpstreamLoad is the load that an upstream reports about itself, as numbers of
// requests.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the upstream's machine at the moment, as a multiple
	// of the usual time; zero if it is not reported.
	Slowdown float64
}

// Dialect translates between the header fields and objects of one hosting
// environment and the types of this package.
type Dialect interface {
	// ParseCall reads a caller's request header.
	ParseCall(header http.Header) CallMeta
	// RemoveCredential removes the caller's credential from a request's header.
	RemoveCredential(header http.Header)
	// WriteAttempt sets the fields that an upstream receives in a request's
	// header.
	WriteAttempt(header http.Header, meta AttemptMeta)
	// ParseAnswer reads the status and the header of an upstream's answer.
	ParseAnswer(status int, header http.Header) AnswerMeta
	// ParseInstance reads the upstream's id from the header of a health check's
	// answer. The rest of that header is read by ParseAnswer.
	ParseInstance(header http.Header) string
	// ConfigKey returns the key of the object that holds the configuration.
	ConfigKey() Key
	// ParseConfig decodes the spec of the object that holds the configuration.
	ParseConfig(spec json.RawMessage) (Config, error)
}
