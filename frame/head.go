package frame

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrNoHead means that bytes with the form of a head, from a status line to an empty line, are
// not the head of an answer.
var ErrNoHead = errors.New("not the head of an answer")

// CheckHead returns nil if text is the head of an HTTP/1.1 answer, from its status line to its
// empty line, and otherwise an error that wraps ErrNoHead. The head may be that of an interim
// answer, except 101: nobody asks an upstream for another protocol.
func CheckHead(text []byte) error {
	line, rest := cutLine(text)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	for first := true; ; first = false {
		if line, rest = cutLine(rest); line == "" {
			return nil
		}
		if err := checkLine(line, first); err != nil {
			return err
		}
	}
}

// cutLine returns the first line of a text without its end, and what follows it.
func cutLine(text []byte) (string, []byte) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	return string(bytes.TrimSuffix(line, []byte("\r"))), rest
}

// statusAt is the index of the status in a status line, and statusDigits its length.
const (
	statusAt     = len("HTTP/1.1 ")
	statusDigits = 3
)

// checkStatusLine checks the first line of a head.
func checkStatusLine(line string) error {
	if len(line) < statusAt+statusDigits || !httpguts.ValidHeaderFieldValue(line) {
		return errors.Wrapf(ErrNoHead, "status line %q", line)
	}
	status, err := strconv.Atoi(line[statusAt : statusAt+statusDigits])
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

// checkLine checks a line that holds a field, or, unless it is the first one, continues the field
// before it.
func checkLine(line string, first bool) error {
	if !first && strings.ContainsRune(" \t", rune(line[0])) {
		return checkField("continued", line)
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return errors.Wrapf(ErrNoHead, "field %q", line)
	}
	return checkField(name, value)
}

// checkField checks the name of a field and its value, which may be surrounded by blanks.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return errors.Wrapf(ErrNoHead, "field %q", name)
	}
	return nil
}
