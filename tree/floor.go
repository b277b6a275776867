package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// The pace at which a node that has started asks for the accepted version.
const (
	floorPause = 500 * time.Millisecond
	floorWait  = 3 * time.Second
)

// floor is the version below which a node serves nothing: it may have had that
// version in force before it was restarted, and must not go back behind it.
type floor struct {
	version cyclam.Version
	known   bool
	next    time.Time
	// until is when the node stops waiting for a platform that does not answer.
	until time.Time
}

// Serving reports whether the configuration held may be used for calls.
func (s State) Serving(now time.Time) bool {
	if s.Conf.Version == 0 || s.Conf.Version < s.floor.version {
		return false
	}
	return s.floor.known || !now.Before(s.floor.until)
}

// askFloor asks the platform until it has answered once.
func (s State) askFloor(now time.Time) (State, []cyclam.Effect) {
	if s.floor.known || now.Before(s.floor.next) {
		return s, nil
	}
	s.floor.next = now.Add(floorPause)
	return s, []cyclam.Effect{cyclam.ReadVersion{}}
}

// floorRead takes in the accepted version; no head means that there is none.
func (s State) floorRead(e cyclam.VersionRead) State {
	if e.Err != nil && !errors.Is(e.Err, cyclam.ErrNotFound) {
		return s
	}
	s.floor.known = true
	s.floor.version = max(s.floor.version, e.Version)
	return s
}
