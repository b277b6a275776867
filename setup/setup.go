// Package setup reads and checks the settings of a node.
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

// Settings is the content of a node's settings file.
type Settings struct {
	Instance   string   `json:"instance" required:"true"`
	Service    string   `json:"service" required:"true"`
	Region     string   `json:"region" required:"true"`
	DataCentre string   `json:"data-centre" required:"true"`
	Listen     Listen   `json:"listen" required:"true"`
	Upstream   Upstream `json:"upstream" required:"true"`
	Platform   Platform `json:"platform" required:"true"`
	// Seeds lists control addresses of nodes to start from while the platform
	// does not answer.
	Seeds  []string `json:"seeds"`
	Tuning Tuning   `json:"tuning"`
	Limits Limits   `json:"limits"`
	Trace  Trace    `json:"trace"`
	Log    Log      `json:"log"`
}

// Listen holds the host:port of each server of a node.
type Listen struct {
	// Calls takes calls from callers and from the own upstream.
	Calls string `json:"calls" required:"true"`
	// Data takes calls from other nodes.
	Data string `json:"data" required:"true"`
	// Control takes links from other nodes.
	Control string `json:"control" required:"true"`
	// Admin serves metrics and the node's state.
	Admin string `json:"admin" required:"true"`
}

// Upstream describes the upstream beside the node.
type Upstream struct {
	Address     string        `json:"address" required:"true"`
	Slots       int           `json:"slots" min:"1" max:"100000"`
	Connections int           `json:"connections" min:"1" max:"100000"`
	Queue       int           `json:"queue" min:"0" max:"100000"`
	QueueWait   time.Duration `json:"queue-wait" min:"1ms" max:"10s"`
	ColdStart   time.Duration `json:"cold-start" min:"0s" max:"10m"`
	HealthPath  string        `json:"health-path"`
	CancelPath  string        `json:"cancel-path"`
	ProbeEvery  time.Duration `json:"probe-every" min:"50ms" max:"1m"`
}

// Platform says where the platform's object API is.
type Platform struct {
	Address string `json:"address" required:"true"`
	Region  string `json:"region" required:"true"`
}

// Tuning holds the knobs of distribution and of calls.
type Tuning struct {
	FanOut            int           `json:"fan-out" min:"1" max:"1000"`
	Flush             time.Duration `json:"flush" min:"1ms" max:"5s"`
	HeartbeatInterval time.Duration `json:"beat" min:"20ms" max:"10s"`
	LinkTimeout       time.Duration `json:"lapse" min:"100ms" max:"1m"`
	Grace             time.Duration `json:"grace" min:"100ms" max:"1m"`
	Term              time.Duration `json:"term" min:"200ms" max:"1m"`
	LeaveWait         time.Duration `json:"leave-wait" min:"0s" max:"1m"`
	MaxSends          int           `json:"max-sends" min:"1" max:"10"`
	RetryShare        float64       `json:"retry-share" min:"0" max:"1"`
	RetryBurst        float64       `json:"retry-burst" min:"0" max:"1000"`
	Ramp              time.Duration `json:"ramp" min:"0s" max:"10m"`
	EjectBase         time.Duration `json:"eject-base" min:"10ms" max:"1m"`
	EjectMax          time.Duration `json:"eject-max" min:"10ms" max:"10m"`
	AttemptTTL        time.Duration `json:"memory" min:"1s" max:"1h"`
	KeyTTL            time.Duration `json:"key-memory" min:"1s" max:"24h"`
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int `json:"header-bytes" min:"1024" max:"1048576"`
	BodyBytes   int `json:"body-bytes" min:"1" max:"1073741824"`
	Connections int `json:"connections" min:"1" max:"1000000"`
}

// Trace says where spans go.
type Trace struct {
	// File takes spans as JSON lines; empty writes none.
	File string `json:"file"`
	// OTLP is the host:port of a collector; empty sends none.
	OTLP string `json:"otlp"`
	// Ratio is the share of calls that are traced, from 0 to 1.
	Ratio float64 `json:"ratio" min:"0" max:"1"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"`
}

// Defaults returns settings in which only what is required is missing.
func Defaults() Settings {
	return Settings{
		Upstream: Upstream{
			Slots:       12,
			Connections: 120,
			Queue:       24,
			QueueWait:   200 * time.Millisecond,
			HealthPath:  "/health",
			ProbeEvery:  time.Second,
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

// Read reads a settings file and returns every fault in it at once.
func Read(path string) (Settings, []strict.FieldError, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "read settings")
	}
	settings, faults := Parse(data)
	return settings, faults, nil
}

// Parse decodes settings and checks them as a whole.
func Parse(data []byte) (Settings, []strict.FieldError) {
	settings := Defaults()
	faults := strict.Decode(data, &settings)
	return settings, append(faults, settings.check()...)
}

// place is an address in the settings and where it stands there.
type place struct {
	path    string
	address string
}

// check finds the faults that concern several fields.
func (s Settings) check() []strict.FieldError {
	faults := s.checkAddresses()
	faults = append(faults, s.checkLimits()...)
	switch s.Log.Level {
	case "trace", "debug", "info", "warn", "error":
	default:
		faults = append(faults, fault("log.level", "got \""+s.Log.Level+"\", want trace, debug, info, warn or error"))
	}
	return faults
}

func fault(path, reason string) strict.FieldError {
	return strict.FieldError{
		Path:   path,
		Reason: reason,
	}
}

// listens lists the node's own addresses.
func (s Settings) listens() []place {
	return []place{
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

// others lists the addresses that the node connects to.
func (s Settings) others() []place {
	out := []place{
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
		out = append(out, place{
			path:    "seeds[" + strconv.Itoa(i) + "]",
			address: seed,
		})
	}
	return out
}

func (s Settings) checkAddresses() []strict.FieldError {
	var faults []strict.FieldError
	for _, p := range append(s.listens(), s.others()...) {
		if reason := addressFault(p.address); p.address != "" && reason != "" {
			faults = append(faults, fault(p.path, reason))
		}
	}
	used := map[string]string{}
	for _, p := range s.listens() {
		if first, taken := used[p.address]; taken && p.address != "" {
			faults = append(faults, fault(p.path, "got \""+p.address+"\", which "+first+" uses already"))
		}
		used[p.address] = p.path
	}
	return faults
}

func (s Settings) checkLimits() []strict.FieldError {
	var faults []strict.FieldError
	if low := 2 * s.Tuning.HeartbeatInterval; s.Tuning.LinkTimeout < low {
		faults = append(faults, fault("tuning.lapse", "got "+s.Tuning.LinkTimeout.String()+", want at least twice tuning.beat, "+low.String()))
	}
	if low := s.Tuning.EjectBase; s.Tuning.EjectMax < low {
		faults = append(faults, fault("tuning.eject-max", "got "+s.Tuning.EjectMax.String()+", want at least tuning.eject-base, "+low.String()))
	}
	if low := s.Upstream.Slots; s.Upstream.Connections < low {
		faults = append(faults, fault("upstream.connections", "got "+strconv.Itoa(s.Upstream.Connections)+", want at least upstream.slots, "+strconv.Itoa(low)))
	}
	return faults
}

// addressFault says what is wrong with a host:port; nodes talk by IP number.
func addressFault(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "got \"" + address + "\", want IP:port"
	}
	if net.ParseIP(host) == nil {
		return "got host \"" + host + "\", want an IP number"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "got port \"" + port + "\", want 1 to 65535"
	}
	return ""
}

// Endpoint returns what the node announces of itself.
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
