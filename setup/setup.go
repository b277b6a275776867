// Package setup defines the settings file of a node, with its defaults and
// validation. It is used when a node starts and by the commands that check
// settings.
package setup

import (
	"net"
	"os"
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/strict"
	"github.com/pkg/errors"
)

// Settings is the content of a node's settings file, in JSON.
type Settings struct {
	Instance   string   `json:"instance" required:"true"`
	Service    string   `json:"service" required:"true"`
	Region     string   `json:"region" required:"true"`
	DataCentre string   `json:"data-centre" required:"true"`
	Listen     Listen   `json:"listen" required:"true"`
	Upstream   Upstream `json:"upstream" required:"true"`
	Platform   Platform `json:"platform" required:"true"`
	// Seeds lists the control addresses of nodes through which to join while
	// the platform does not answer.
	Seeds  []string `json:"seeds"`
	Tuning Tuning   `json:"tuning"`
	Limits Limits   `json:"limits"`
	Trace  Trace    `json:"trace"`
	Log    Log      `json:"log"`
}

// Listen holds the listen address (IP:port) of each server of a node.
type Listen struct {
	// Calls serves callers and the outgoing calls of the local upstream.
	Calls string `json:"calls" required:"true"`
	// Data serves attempts that other nodes send.
	Data string `json:"data" required:"true"`
	// Control serves links and cancels of other nodes.
	Control string `json:"control" required:"true"`
	// Admin serves metrics, status and readiness.
	Admin string `json:"admin" required:"true"`
}

// Upstream describes the local upstream, the application that the node serves
// as a sidecar.
type Upstream struct {
	Address string `json:"address" required:"true"`
	// Slots is the number of attempts that the upstream runs at the same time.
	Slots int `json:"slots" min:"1" max:"100000"`
	// Connections is the maximum number of connections to the upstream.
	Connections int `json:"connections" min:"1" max:"100000"`
	// Queue is the maximum number of attempts that wait for a slot.
	Queue int `json:"queue" min:"0" max:"100000"`
	// QueueWait is the maximum wait for a slot; then the attempt is refused.
	QueueWait time.Duration `json:"queue-wait" min:"1ms" max:"10s"`
	// ColdStart is the time over which the slots open after the upstream
	// comes up.
	ColdStart time.Duration `json:"cold-start" min:"0s" max:"10m"`
	// HealthPath is the path of the health check. If empty, the upstream is
	// healthy if it accepts a connection.
	HealthPath string `json:"health-path"`
	// CancelPath is the path at which the upstream is told of attempts whose
	// result is no longer needed. If empty, it is not told.
	CancelPath string `json:"cancel-path"`
	// ProbeInterval is the interval of health checks.
	ProbeInterval time.Duration `json:"probe-every" min:"50ms" max:"1m"`
}

// Platform holds the address of the platform's object API and the region in
// which the platform runs.
type Platform struct {
	Address string `json:"address" required:"true"`
	Region  string `json:"region" required:"true"`
}

// Tuning holds the parameters of configuration distribution, membership,
// retries and outlier ejection.
type Tuning struct {
	// FanOut is the maximum number of children without a control role that a
	// node has in the distribution tree.
	FanOut int `json:"fan-out" min:"1" max:"1000"`
	// Flush is the time for which membership news and reports are batched
	// before they are sent; a longer time saves bytes. Configuration, and news
	// of endpoints that take no more calls, are sent at once.
	Flush time.Duration `json:"flush" min:"1ms" max:"5s"`
	// HeartbeatInterval is the interval of heartbeats on links.
	HeartbeatInterval time.Duration `json:"beat" min:"20ms" max:"10s"`
	// LinkTimeout is the silence after which a link is closed.
	LinkTimeout time.Duration `json:"lapse" min:"100ms" max:"1m"`
	// Grace is the time within which a lost child may reappear on another link
	// before it counts as gone.
	Grace time.Duration `json:"grace" min:"100ms" max:"1m"`
	// Term is the time for which an unchanged claim stays valid.
	Term time.Duration `json:"term" min:"200ms" max:"1m"`
	// LeaveWait is the time for which a stopping node keeps refusing new work,
	// so that nodes that missed its announcement learn that it leaves.
	LeaveWait time.Duration `json:"leave-wait" min:"0s" max:"1m"`
	// MaxSends is the maximum number of attempts of one call.
	MaxSends int `json:"max-sends" min:"1" max:"10"`
	// RetryShare is the number of retries that one successful call adds to the
	// retry budget.
	RetryShare float64 `json:"retry-share" min:"0" max:"1"`
	// RetryBurst is the maximum size of the retry budget, in retries.
	RetryBurst float64 `json:"retry-burst" min:"0" max:"1000"`
	// Ramp is the time over which a new endpoint gets its full share of calls
	// (slow start).
	Ramp time.Duration `json:"ramp" min:"0s" max:"10m"`
	// EjectBase is the first time for which a failing endpoint is ejected. It
	// doubles with further failures, up to EjectMax.
	EjectBase time.Duration `json:"eject-base" min:"10ms" max:"1m"`
	// EjectMax is the maximum ejection time.
	EjectMax time.Duration `json:"eject-max" min:"10ms" max:"10m"`
	// AttemptTTL is the minimum time for which the record of an attempt is kept.
	AttemptTTL time.Duration `json:"memory" min:"1s" max:"1h"`
	// KeyTTL is the minimum time for which an idempotency key is kept.
	KeyTTL time.Duration `json:"key-memory" min:"1s" max:"24h"`
}

// Limits holds the request and connection limits of the node's HTTP servers.
type Limits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int `json:"header-bytes" min:"1024" max:"1048576"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `json:"body-bytes" min:"1" max:"1073741824"`
	// Connections is the maximum number of connections to each HTTP server.
	Connections int `json:"connections" min:"1" max:"1000000"`
}

// Trace configures the export of spans.
type Trace struct {
	// File is the file to which spans are appended as JSON lines. If empty, no
	// file is written.
	File string `json:"file"`
	// OTLP is the host:port of an OTLP collector. If empty, no spans are sent.
	OTLP string `json:"otlp"`
	// Ratio is the fraction of calls that are traced, from 0 to 1.
	Ratio float64 `json:"ratio" min:"0" max:"1"`
}

// Log configures logging.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `json:"level"`
}

// Defaults returns the default settings. Required fields are empty.
func Defaults() Settings {
	return Settings{
		Upstream: Upstream{
			Slots:         12,
			Connections:   120,
			Queue:         24,
			QueueWait:     200 * time.Millisecond,
			HealthPath:    "/health",
			ProbeInterval: time.Second,
		},
		Tuning: Tuning{
			FanOut:            16,
			Flush:             100 * time.Millisecond,
			HeartbeatInterval: 500 * time.Millisecond,
			LinkTimeout:       2 * time.Second,
			Grace:             3 * time.Second,
			Term:              3 * time.Second,
			LeaveWait:         time.Second,
			MaxSends:          3,
			RetryShare:        0.1,
			RetryBurst:        10,
			Ramp:              10 * time.Second,
			EjectBase:         time.Second,
			EjectMax:          30 * time.Second,
			AttemptTTL:        time.Minute,
			KeyTTL:            10 * time.Minute,
		},
		Limits: Limits{
			HeaderBytes: 16 << 10,
			BodyBytes:   16 << 20,
			Connections: 10_000,
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Read reads and checks a settings file. The field errors list all problems of
// the content; the error reports that the file could not be read.
func Read(path string) (Settings, []strict.FieldError, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "read settings")
	}
	settings, fieldErrs := Parse(data)
	return settings, fieldErrs, nil
}

// Parse decodes settings over the defaults and checks them. It returns all
// problems together.
func Parse(data []byte) (Settings, []strict.FieldError) {
	settings := Defaults()
	fieldErrs := strict.Decode(data, &settings)
	return settings, append(fieldErrs, settings.check()...)
}

// addressField is an address and the path of its field in the settings.
type addressField struct {
	path    string
	address string
}

// check validates conditions that involve several fields.
func (s Settings) check() []strict.FieldError {
	fieldErrs := s.checkAddresses()
	fieldErrs = append(fieldErrs, s.checkLimits()...)
	switch s.Log.Level {
	case "trace", "debug", "info", "warn", "error":
	default:
		fieldErrs = append(fieldErrs, fieldError("log.level", "got \""+s.Log.Level+"\", want trace, debug, info, warn or error"))
	}
	return fieldErrs
}

func fieldError(path, reason string) strict.FieldError {
	return strict.FieldError{
		Path:   path,
		Reason: reason,
	}
}

// listenAddresses returns the addresses on which the node listens.
func (s Settings) listenAddresses() []addressField {
	return []addressField{
		{
			path:    "listen.calls",
			address: s.Listen.Calls,
		},
		{
			path:    "listen.data",
			address: s.Listen.Data,
		},
		{
			path:    "listen.control",
			address: s.Listen.Control,
		},
		{
			path:    "listen.admin",
			address: s.Listen.Admin,
		},
	}
}

// dialAddresses returns the addresses to which the node connects.
func (s Settings) dialAddresses() []addressField {
	out := []addressField{
		{
			path:    "upstream.address",
			address: s.Upstream.Address,
		},
		{
			path:    "platform.address",
			address: s.Platform.Address,
		},
		{
			path:    "trace.otlp",
			address: s.Trace.OTLP,
		},
	}
	for i, seed := range s.Seeds {
		out = append(out, addressField{
			path:    "seeds[" + strconv.Itoa(i) + "]",
			address: seed,
		})
	}
	return out
}

func (s Settings) checkAddresses() []strict.FieldError {
	var fieldErrs []strict.FieldError
	for _, p := range append(s.listenAddresses(), s.dialAddresses()...) {
		if reason := checkAddress(p.address); p.address != "" && reason != "" {
			fieldErrs = append(fieldErrs, fieldError(p.path, reason))
		}
	}
	used := map[string]string{}
	for _, p := range s.listenAddresses() {
		if first, taken := used[p.address]; taken && p.address != "" {
			fieldErrs = append(fieldErrs, fieldError(p.path, "got \""+p.address+"\", but "+first+" already uses this address"))
		}
		used[p.address] = p.path
	}
	return fieldErrs
}

func (s Settings) checkLimits() []strict.FieldError {
	var fieldErrs []strict.FieldError
	if minimum := 2 * s.Tuning.HeartbeatInterval; s.Tuning.LinkTimeout < minimum {
		fieldErrs = append(fieldErrs, fieldError("tuning.lapse", "got "+s.Tuning.LinkTimeout.String()+", want at least twice tuning.beat, "+minimum.String()))
	}
	if minimum := s.Tuning.EjectBase; s.Tuning.EjectMax < minimum {
		fieldErrs = append(fieldErrs, fieldError("tuning.eject-max", "got "+s.Tuning.EjectMax.String()+", want at least tuning.eject-base, "+minimum.String()))
	}
	if minimum := s.Upstream.Slots; s.Upstream.Connections < minimum {
		fieldErrs = append(fieldErrs, fieldError("upstream.connections", "got "+strconv.Itoa(s.Upstream.Connections)+", want at least upstream.slots, "+strconv.Itoa(minimum)))
	}
	return fieldErrs
}

// checkAddress returns the reason why an address is not a valid IP:port, or "".
// Host names are rejected because nodes address each other by IP.
func checkAddress(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "got \"" + address + "\", want IP:port"
	}
	if net.ParseIP(host) == nil {
		return "got host \"" + host + "\", want an IP address"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "got port \"" + port + "\", want 1 to 65535"
	}
	return ""
}

// Endpoint returns the endpoint that the node announces when it starts.
func (s Settings) Endpoint(incarnation cyclam.Incarnation) cyclam.Endpoint {
	return cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    cyclam.InstanceName(s.Instance),
			Incarnation: incarnation,
		},
		Sequence: 1,
		State:    cyclam.EndpointReady,
		Service:  cyclam.ServiceName(s.Service),
		Locality: cyclam.Locality{
			Region:     cyclam.Region(s.Region),
			DataCentre: cyclam.DataCentre(s.DataCentre),
		},
		Data:    s.Listen.Data,
		Control: s.Listen.Control,
		Slots:   uint32(s.Upstream.Slots),
	}
}
