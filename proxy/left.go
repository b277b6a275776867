package proxy

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/pkg/errors"
)

// maxStoredLeft bounds the processes that an entry holds as having left.
const maxStoredLeft = 4

// formatLeft returns the stored form of the last processes that have said that they leave:
// their escaped ids, each with its start in milliseconds since the Unix epoch.
func formatLeft(left []procs.Process) string {
	left = left[max(0, len(left)-maxStoredLeft):]
	texts := make([]string, 0, len(left))
	for _, p := range left {
		texts = append(texts, url.QueryEscape(p.ID)+"@"+strconv.FormatInt(startedMs(p), 10))
	}
	return strings.Join(texts, " ")
}

// parseLeft returns the processes in a stored form. Those that can be read are returned with
// the error of one that can't.
func parseLeft(text string) ([]procs.Process, error) {
	var left []procs.Process
	var failed error
	for field := range strings.FieldsSeq(text) {
		escaped, start, _ := strings.Cut(field, "@")
		id, err := url.QueryUnescape(escaped)
		ms, startErr := strconv.ParseInt(start, 10, 64)
		if err != nil || startErr != nil || id == "" {
			failed = errors.Errorf("process that has left: got %q, want an escaped id, @ and milliseconds", field)
			continue
		}
		left = append(left, processOf(id, ms))
	}
	return left, failed
}
