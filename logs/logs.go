// Package logs reads collected logs of nodes and tells what became of a request.
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

// Line is one log line about a decision.
type Line struct {
	At    time.Time
	Level string
	// Node names the process that wrote the line, where the collector added it.
	Node string
	// Event is the name of the decision.
	Event  string
	Fields []Field
}

// Field is one key with its value, in the order of the line.
type Field struct {
	Key   string
	Value string
}

// Get returns a field's value; empty if the line has none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// lineLimit bounds one line, in bytes.
const lineLimit = 1 << 20

// Read returns the log lines that it understands and how many it does not.
func Read(r io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	var lines []Line
	other := 0
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			other++
			continue
		}
		lines = append(lines, line)
	}
	return lines, other, errors.Wrap(scanner.Err(), "read logs")
}

// Parse reads one line: TIME [LEVEL] NAME: EVENT: key=value ... Whatever a
// collector put before the time names the node with its last word.
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

// parseFields reads key=value pairs; values with spaces are quoted.
func parseFields(text string) []Field {
	var fields []Field
	for text != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
		if !ok {
			return fields
		}
		value := ""
		if strings.HasPrefix(rest, `"`) {
			value, text = quoted(rest[1:])
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

// quoted returns a value up to its closing quote and what follows.
func quoted(text string) (string, string) {
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

// ForRequest returns the lines about one request and about the calls that its work made,
// in time order. The ids of those calls begin with the request's.
func ForRequest(lines []Line, id string) []Line {
	var found []Line
	for _, l := range lines {
		own := l.Get("id")
		if own == id || strings.HasPrefix(own, id+".") {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found
}

// endings are the events that end a request.
var endings = []string{"request-done", "request-failed", "request-refused", "request-rejected"}

// Cause returns the reason with which a request ended, and the events that led to
// it; empty if no line tells.
func Cause(lines []Line, id string) string {
	for _, l := range slices.Backward(lines) {
		if l.Get("id") != id || !slices.Contains(endings, l.Event) {
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
		if led := before(lines, l); led != "" {
			cause += ", after " + led
		}
		return cause
	}
	return ""
}

// before names the events of a request that came before its end, once each.
func before(lines []Line, end Line) string {
	var names []string
	for _, l := range lines {
		if slices.Contains(endings, l.Event) && l.Get("id") == end.Get("id") {
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

// Explain writes the log lines about one request in time order, the cause last.
func Explain(w io.Writer, lines []Line, id string) error {
	found := ForRequest(lines, id)
	if len(found) == 0 {
		return errors.Errorf("no line about %s: it was served and not sampled, or its node's log is not here", id)
	}
	for _, l := range found {
		if _, err := fmt.Fprintf(w, "%s %s %s", l.At.Format("15:04:05.000"), l.Node, l.Event); err != nil {
			return errors.Wrap(err, "write story")
		}
		for _, f := range l.Fields {
			if _, err := fmt.Fprintf(w, " %s=%s", f.Key, f.Value); err != nil {
				return errors.Wrap(err, "write story")
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", Cause(found, id))
	return errors.Wrap(err, "write story")
}

// Summary writes how many requests failed for each reason, most first.
func Summary(w io.Writer, lines []Line) error {
	counts := map[string]int{}
	for _, l := range lines {
		if slices.Contains(endings, l.Event) && l.Event != "request-done" {
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
