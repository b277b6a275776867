// Package logs parses the collected logs of nodes and reconstructs the course and
// the outcome of a request from them. It runs in the explain command, offline.
package logs

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one parsed log line.
type Line struct {
	At    time.Time
	Level string
	// Node names the process that wrote the line; it is empty if the log collector
	// added no name.
	Node string
	// Event is the name of the event, such as request-done.
	Event  string
	Fields []Field
}

// Field is a key with its value. Fields keep the order of the line.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of the first field with the key, or an empty string if the
// line has no such field.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Read returns the lines that Parse recognises and the number of those that it
// does not. A line longer than 1 MiB is an error.
func Read(r io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	skipped := 0
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read logs")
}

// Parse parses a line of the form TIME [LEVEL] NAME: EVENT: key=value ... and reports
// whether it has that form. If a log collector put a prefix before the time, the
// last word of the prefix is the name of the node.
func Parse(text string) (Line, bool) {
	open := strings.Index(text, " [")
	end := strings.Index(text, "] ")
	if open < 0 || end < open {
		return Line{}, false
	}
	words := strings.Fields(text[:open])
	if len(words) == 0 {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339, words[len(words)-1])
	if err != nil {
		return Line{}, false
	}
	line := Line{
		At:    at,
		Level: strings.TrimSpace(text[open+2 : end]),
	}
	if len(words) > 1 {
		line.Node = words[len(words)-2]
	}
	_, rest, ok := strings.Cut(text[end+2:], ": ")
	if !ok {
		return Line{}, false
	}
	event, fields, _ := strings.Cut(rest, ": ")
	line.Event = event
	line.Fields = parseFields(fields)
	return line, true
}

// parseFields parses key=value pairs. Values with spaces are quoted.
func parseFields(text string) []Field {
	var fields []Field
	for text != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
		if !ok {
			return fields
		}
		value := ""
		if strings.HasPrefix(rest, `"`) {
			value, text = parseQuoted(rest[1:])
		} else {
			value, text, _ = strings.Cut(rest, " ")
		}
		fields = append(fields, Field{
			Key:   key,
			Value: value,
		})
	}
	return fields
}

// parseQuoted returns the unescaped value up to the closing quote, and the text after
// the quote.
func parseQuoted(text string) (string, string) {
	var value strings.Builder
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			value.WriteByte(text[i])
		case text[i] == '"':
			return value.String(), text[i+1:]
		default:
			value.WriteByte(text[i])
		}
	}
	return value.String(), ""
}

// ForRequest returns the lines about a request and about the calls that the upstream
// made on its behalf, in time order. The ids of these calls are the id of the request
// followed by a dot and a suffix.
func ForRequest(lines []Line, id string) []Line {
	var found []Line
	for _, l := range lines {
		lineID := l.Get("id")
		if lineID == id || strings.HasPrefix(lineID, id+".") {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found
}

// terminalEvents lists the events that end a request.
var terminalEvents = []string{"request-done", "request-failed", "request-refused", "request-rejected"}

// Cause returns the reason with which a request ended, the nodes that were tried and
// awaited, and the other events in lines. It returns an empty string if no line records the end.
func Cause(lines []Line, id string) string {
	for _, l := range slices.Backward(lines) {
		if l.Get("id") != id || !slices.Contains(terminalEvents, l.Event) {
			continue
		}
		cause := l.Get("reason")
		if cause == "" {
			cause = "status-" + l.Get("status")
		}
		if tried := l.Get("tried"); tried != "" {
			cause += ", tried " + strings.ReplaceAll(tried, ",", " ")
		}
		if awaited := l.Get("awaited"); awaited != "" {
			cause += ", awaited " + strings.ReplaceAll(awaited, ",", " ")
		}
		if preceding := precedingEvents(lines, l); preceding != "" {
			cause += ", after " + preceding
		}
		return cause
	}
	return ""
}

// precedingEvents lists the distinct events in lines other than the end of the request
// itself, each with its reason.
func precedingEvents(lines []Line, end Line) string {
	var names []string
	for _, l := range lines {
		if slices.Contains(terminalEvents, l.Event) && l.Get("id") == end.Get("id") {
			continue
		}
		name := l.Event
		if reason := l.Get("reason"); reason != "" {
			name += " (" + reason + ")"
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Explain writes the log lines about a request in time order, followed by its cause.
// It returns an error if there are no such lines.
func Explain(w io.Writer, lines []Line, id string) error {
	found := ForRequest(lines, id)
	if len(found) == 0 {
		return errors.Errorf("no log line about request %s: it was served but not sampled, or the log of its node is missing", id)
	}
	for _, l := range found {
		if _, err := fmt.Fprintf(w, "%s %s %s", l.At.Format("15:04:05.000"), l.Node, l.Event); err != nil {
			return errors.Wrap(err, "write explanation")
		}
		for _, f := range l.Fields {
			if _, err := fmt.Fprintf(w, " %s=%s", f.Key, f.Value); err != nil {
				return errors.Wrap(err, "write explanation")
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return errors.Wrap(err, "write explanation")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", Cause(found, id))
	return errors.Wrap(err, "write explanation")
}

// Summary writes the number of requests that failed for each reason, the most frequent
// reason first.
func Summary(w io.Writer, lines []Line) error {
	counts := map[string]int{}
	for _, l := range lines {
		if slices.Contains(terminalEvents, l.Event) && l.Event != "request-done" {
			reason := l.Get("reason")
			if reason == "" {
				reason = "status-" + l.Get("status")
			}
			counts[l.Event+" "+reason]++
		}
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%6d %s\n", counts[name], name); err != nil {
			return errors.Wrap(err, "write summary")
		}
	}
	return nil
}
