package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// The timing of reads of the accepted version after a start.
const (
	// minVersionReadInterval is the time between two reads of the accepted version.
	minVersionReadInterval = 500 * time.Millisecond
	// minVersionTimeout is how long a node that has started waits for the platform
	// to tell it the accepted version, before it serves what it holds.
	minVersionTimeout = 3 * time.Second
)

// minVersion is the version below which a node serves no calls. The node may have
// had that version in force before it was restarted, and must not go back to an
// older one.
type minVersion struct {
	version  cyclam.Version
	known    bool
	nextRead time.Time
	// deadline is when the node stops waiting for a platform that does not reply.
	deadline time.Time
}

// Serving reports whether the configuration held may be used for calls.
func (s State) Serving(now time.Time) bool {
	if s.Conf.Version == 0 || s.Conf.Version < s.minVersion.version {
		return false
	}
	return s.minVersion.known || !now.Before(s.minVersion.deadline)
}

// readMinVersion reads the accepted version from the platform until one read
// has succeeded.
func (s State) readMinVersion(now time.Time) (State, []cyclam.Effect) {
	if s.minVersion.known || now.Before(s.minVersion.nextRead) {
		return s, nil
	}
	s.minVersion.nextRead = now.Add(minVersionReadInterval)
	return s, []cyclam.Effect{cyclam.ReadVersion{}}
}

// versionRead records the accepted version. If the platform has none, every
// version may be served.
func (s State) versionRead(e cyclam.VersionRead) State {
	if e.Err != nil && !errors.Is(e.Err, cyclam.ErrNotFound) {
		return s
	}
	s.minVersion.known = true
	s.minVersion.version = max(s.minVersion.version, e.Version)
	return s
}
