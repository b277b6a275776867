// Package strict decodes JSON settings and objects into structs and reports all
// faults of the input at once. Unknown fields are faults.
//
// Fields are named by their json tag. The tags required:"true", min:"N" and
// max:"N" add checks; durations are strings such as "250ms", and their min and
// max are durations too.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FieldError describes one fault of the input.
type FieldError struct {
	// Path locates the field, such as listen.calls or seeds[2]; it is "." for the
	// whole input.
	Path string
	// Reason states what was found and what was expected.
	Reason string
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode fills the struct that into points to and returns all faults found. If
// data is not a single JSON value, that is the only fault.
func Decode(data []byte, into any) []FieldError {
	tree, err := parse(data)
	if err != nil {
		return []FieldError{{
			Path:   ".",
			Reason: err.Error(),
		}}
	}
	d := &decoder{}
	d.value("", tree, reflect.ValueOf(into).Elem(), "")
	return d.faults
}

func parse(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("malformed JSON at byte %d: %w", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("data after the JSON value at byte %d", dec.InputOffset())
	}
	return tree, nil
}

type decoder struct {
	faults []FieldError
}

func (d *decoder) fail(path, format string, args ...any) {
	if path == "" {
		path = "."
	}
	d.faults = append(d.faults, FieldError{
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) value(path string, in any, out reflect.Value, tag reflect.StructTag) {
	if out.Type() == durationType {
		d.duration(path, in, out, tag)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, in, out)
	case reflect.Slice:
		d.list(path, in, out)
	case reflect.String:
		d.text(path, in, out)
	case reflect.Bool:
		d.boolean(path, in, out)
	case reflect.Float64:
		d.number(path, in, out, tag)
	default:
		d.integer(path, in, out, tag)
	}
}

func (d *decoder) object(path string, in any, out reflect.Value) {
	fields, ok := in.(map[string]any)
	if !ok {
		d.fail(path, "got %s, want an object", describeValue(in))
		return
	}
	known := map[string]bool{}
	for i := range out.NumField() {
		field := out.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[name] = true
		value, present := fields[name]
		if present {
			d.value(join(path, name), value, out.Field(i), field.Tag)
			continue
		}
		if field.Tag.Get("required") == "true" {
			d.fail(join(path, name), "missing, want %s", describeType(field.Type))
		}
	}
	d.unknown(path, fields, known)
}

func (d *decoder) unknown(path string, fields map[string]any, known map[string]bool) {
	var extra []string
	for name := range fields {
		if !known[name] {
			extra = append(extra, name)
		}
	}
	slices.Sort(extra)
	for _, name := range extra {
		d.fail(join(path, name), "unknown field, want one of %s", strings.Join(sortedNames(known), ", "))
	}
}

func (d *decoder) list(path string, in any, out reflect.Value) {
	items, ok := in.([]any)
	if !ok {
		d.fail(path, "got %s, want a list", describeValue(in))
		return
	}
	slice := reflect.MakeSlice(out.Type(), len(items), len(items))
	for i, item := range items {
		d.value(path+"["+strconv.Itoa(i)+"]", item, slice.Index(i), "")
	}
	out.Set(slice)
}

func (d *decoder) text(path string, in any, out reflect.Value) {
	text, ok := in.(string)
	if !ok {
		d.fail(path, "got %s, want a string", describeValue(in))
		return
	}
	out.SetString(text)
}

func (d *decoder) boolean(path string, in any, out reflect.Value) {
	boolean, ok := in.(bool)
	if !ok {
		d.fail(path, "got %s, want true or false", describeValue(in))
		return
	}
	out.SetBool(boolean)
}

func (d *decoder) duration(path string, in any, out reflect.Value, tag reflect.StructTag) {
	text, ok := in.(string)
	if !ok {
		d.fail(path, "got %s, want a duration with a unit such as \"250ms\"", describeValue(in))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.fail(path, "got %q, want a duration with a unit such as \"250ms\"", text)
		return
	}
	if low, err := time.ParseDuration(tag.Get("min")); err == nil && parsed < low {
		d.fail(path, "got %s, want at least %s", parsed, low)
	}
	if high, err := time.ParseDuration(tag.Get("max")); err == nil && parsed > high {
		d.fail(path, "got %s, want at most %s", parsed, high)
	}
	out.SetInt(int64(parsed))
}

func (d *decoder) number(path string, in any, out reflect.Value, tag reflect.StructTag) {
	digits, ok := in.(json.Number)
	if !ok {
		d.fail(path, "got %s, want a number", describeValue(in))
		return
	}
	parsed, err := digits.Float64()
	if err != nil || math.IsInf(parsed, 0) {
		d.fail(path, "got %s, want a number", digits)
		return
	}
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && parsed < low {
		d.fail(path, "got %s, want at least %s", digits, tag.Get("min"))
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && parsed > high {
		d.fail(path, "got %s, want at most %s", digits, tag.Get("max"))
	}
	out.SetFloat(parsed)
}

func (d *decoder) integer(path string, in any, out reflect.Value, tag reflect.StructTag) {
	digits, ok := in.(json.Number)
	if !ok {
		d.fail(path, "got %s, want a whole number", describeValue(in))
		return
	}
	parsed, err := digits.Int64()
	if err != nil {
		d.fail(path, "got %s, want a whole number", digits)
		return
	}
	if low, err := strconv.ParseInt(tag.Get("min"), 10, 64); err == nil && parsed < low {
		d.fail(path, "got %d, want at least %d", parsed, low)
		return
	}
	if high, err := strconv.ParseInt(tag.Get("max"), 10, 64); err == nil && parsed > high {
		d.fail(path, "got %d, want at most %d", parsed, high)
		return
	}
	if out.CanInt() && !out.OverflowInt(parsed) {
		out.SetInt(parsed)
		return
	}
	if out.CanUint() && parsed >= 0 && !out.OverflowUint(uint64(parsed)) {
		out.SetUint(uint64(parsed))
		return
	}
	d.fail(path, "got %d, out of range", parsed)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describeValue(in any) string {
	switch v := in.(type) {
	case nil:
		return "null"
	case string:
		return strconv.Quote(v)
	case json.Number:
		return "the number " + v.String()
	case bool:
		return strconv.FormatBool(v)
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	default:
		return "a number"
	}
}

func sortedNames(names map[string]bool) []string {
	var out []string
	for name := range names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
