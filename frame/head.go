package frame

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// ErrNoHead means that bytes with the form of a head, from a status line to an empty line, are
// not the head of an answer.
var ErrNoHead = errors.New("not the head of an answer")

// CheckHead returns nil if text is the head of an HTTP/1.1 answer, from its status line to its
// empty line, and otherwise an error that wraps ErrNoHead. The head may be that of an interim
// answer, except 101: nobody asks an upstream for another protocol.
func CheckHead(text []byte) error {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return checkStatusLine(line)
}

// statusAt is the index of the status in a status line.
const statusAt = len("HTTP/1.1 ")

// checkStatusLine checks the first line of a head.
func checkStatusLine(line []byte) error {
	if len(line) < statusAt+3 {
		return errors.Wrapf(ErrNoHead, "status line %q", line)
	}
	status, err := strconv.Atoi(string(line[statusAt : statusAt+3]))
	if err != nil {
		return errors.Wrapf(ErrNoHead, "status line %q", line)
	}
	return checkStatus(status)
}

// The range of statuses.
const (
	lowestStatus  = 100
	highestStatus = 599
)

func checkStatus(status int) error {
	if status < lowestStatus || status > highestStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrNoHead, "status %03d", status)
	}
	return nil
}
