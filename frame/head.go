package frame

import (
	"bytes"
	"iter"
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
// answer, except 101: nobody asks an upstream for another protocol. A body in chunks has neither a
// length nor HTTP/1.0, in which it would end in another place; the values of the fields that
// frame a body are left to the parser.
func CheckHead(text []byte) error {
	statusLine, rest := cutLine(text)
	if err := checkStatusLine(statusLine); err != nil {
		return err
	}
	chunked, length := false, false
	for first := true; ; first = false {
		var line string
		if line, rest = cutLine(rest); line == "" {
			break
		}
		name, err := checkLine(line, first)
		if err != nil {
			return err
		}
		chunked = chunked || strings.EqualFold(name, "Transfer-Encoding")
		length = length || strings.EqualFold(name, "Content-Length")
	}
	if chunked && (length || strings.HasPrefix(statusLine, "HTTP/1.0")) {
		return errors.Wrap(ErrNoHead, "two framings")
	}
	return nil
}

// cutLine returns the first line of a text without its end, and what follows it.
func cutLine(text []byte) (string, []byte) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	return string(bytes.TrimSuffix(line, []byte("\r"))), rest
}

// MaxHeadBytes bounds the head of an answer: an upstream in trouble may write one without end.
const MaxHeadBytes = 64 << 10

// IsInterim reports whether a head that CheckHead has accepted is that of an interim (1xx) answer,
// which has no body and precedes the answer.
func IsInterim(head []byte) bool { return head[statusAt] == '1' }

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

// checkLine checks a line that holds a field and returns the field's name. Unless it is the first
// one, a line may continue the field before it; its name is empty then.
func checkLine(line string, first bool) (string, error) {
	if !first && strings.ContainsRune(" \t", rune(line[0])) {
		return "", checkField("continued", line)
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", errors.Wrapf(ErrNoHead, "field %q", line)
	}
	return name, checkField(name, value)
}

// checkField checks the name of a field and its value, which may be surrounded by blanks.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return errors.Wrapf(ErrNoHead, "field %q", name)
	}
	return nil
}

// CheckFields returns nil if a head that another reader has parsed may be that of an answer, and
// otherwise an error that wraps ErrNoHead. The framing can't be told from it any more.
func CheckFields[V ~string | ~[]byte](status int, fields iter.Seq2[string, V]) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	for name, value := range fields {
		if err := checkField(name, string(value)); err != nil {
			return err
		}
	}
	return nil
}

// Fields returns the fields of a header, each value with its name.
func Fields(header http.Header) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for name, values := range header {
			for _, value := range values {
				if !yield(name, value) {
					return
				}
			}
		}
	}
}
