package origin

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

// An upstream in trouble may write a status that is none. A head with it is no answer, whatever
// else it says.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "101"} {
		for name, framing := range map[string]string{
			"length": "Content-Length: 4\r\n",
			"chunks": "Transfer-Encoding: chunked\r\n",
			"close":  "",
		} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				s := newScriptedUpstream(t, "HTTP/1.1 "+status+" Odd\r\nX-Id: $ID\r\nX-Signed: 1\r\n"+framing+"\r\ngood")
				out, err := do(t, newPool(s.address), "id")
				if !errors.Is(err, ErrIllegible) {
					t.Errorf("got %d %q, %v, want %v", out.head.Status, out.body.String(), err, ErrIllegible)
				}
			})
		}
	}
}

// Bytes with the form of a head whose status is none, and that don't name the request, are
// passed over like others that are no answer.
func TestStatusThatIsNoneBeforeAnAnswer(t *testing.T) {
	s := newScriptedUpstream(t, "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"+signedAnswer)
	out, err := do(t, newPool(s.address), "id")
	if err != nil || out.body.String() != "good" {
		t.Errorf("got %q, %v, want the answer", out.body.String(), err)
	}
}

// An upstream in trouble may write blanks, control bytes or other bytes that no name has into the
// name of a field. The body would not end where the field says, and the line would be passed on.
func TestFieldNamesThatAreNone(t *testing.T) {
	for _, field := range []string{
		"Content-Length : 4",
		"Content-Length\t: 4",
		"Transfer-Encoding : chunked",
		"Content Length: 4",
		" Content-Length: 4",
		"X Odd: 1",
		"X-Odd : 1",
		"X\x00Odd: 1",
		"X\x01Odd: 1",
		"X\x0bOdd: 1",
		"X\x7fOdd: 1",
		"X\rOdd: 1",
		"X-Od\xe4: 1",
		"X(Odd): 1",
		": 1",
		"no field at all",
	} {
		for name, rest := range map[string]string{
			"first field": "%s\r\nX-Id: $ID\r\nX-Signed: 1\r\n",
			"last field":  "X-Id: $ID\r\nX-Signed: 1\r\n%s\r\n",
		} {
			if name == "last field" && field[0] == ' ' {
				// It continues the field before it.
				continue
			}
			t.Run(fmt.Sprintf("%q, %s", field, name), func(t *testing.T) {
				s := newScriptedUpstream(t, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(rest, field)+"\r\n4\r\ngood\r\n0\r\n\r\n")
				out, err := do(t, newPool(s.address), "id")
				if !errors.Is(err, ErrIllegible) {
					t.Errorf("got %d %q, %v, want %v", out.head.Status, out.body.String(), err, ErrIllegible)
				}
			})
		}
	}
}

// Control bytes in the value of a field, or in the reason of a status line, could end the line for
// the one that reads it next.
func TestControlBytesInAHead(t *testing.T) {
	for name, head := range map[string]string{
		"value":             "HTTP/1.1 200 OK\r\nX-Odd: a\rContent-Length: 4\r\n",
		"zero byte":         "HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\n",
		"deleted":           "HTTP/1.1 200 OK\r\nX-Odd: a\x7fb\r\n",
		"continued field":   "HTTP/1.1 200 OK\r\nX-Odd: a\r\n \x01b\r\n",
		"reason":            "HTTP/1.1 200 O\rK\r\n",
		"zero byte, reason": "HTTP/1.1 200 O\x00K\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedUpstream(t, head+"X-Id: $ID\r\nX-Signed: 1\r\n\r\ngood")
			out, err := do(t, newPool(s.address), "id")
			if !errors.Is(err, ErrIllegible) {
				t.Errorf("got %d %q, %v, want %v", out.head.Status, out.body.String(), err, ErrIllegible)
			}
		})
	}
}

// Fields that are unusual but allowed must not cost an answer.
func TestUnusualFields(t *testing.T) {
	for _, field := range []string{
		"x-lower: 1",
		"X-Empty:",
		"X-Spaces:   a b \t",
		"X!#$%&'*+.^_`|~9: 1",
		"X-Bytes: \xe4\xff",
		"X-Continued: a\r\n b",
		"Content-Length: 4",
		"Content-Length: 4\r\nContent-Length: 4",
		"content-length:4",
	} {
		s := newScriptedUpstream(t, "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\n"+field+"\r\n\r\ngood")
		if out, err := do(t, newPool(s.address), "id"); err != nil || out.body.String() != "good" {
			t.Errorf("%q: got %q, %v, want the answer", field, out.body.String(), err)
		}
	}
	s := newScriptedUpstream(t, "HTTP/1.1 200\nX-Id: $ID\nX-Signed: 1\n\ngood")
	if out, err := do(t, newPool(s.address), "id"); err == nil && out.body.String() != "good" {
		t.Errorf("lines that end with a line feed: got %q, want the answer", out.body.String())
	}
}

// An answer whose framing can be read in two ways must not be read in one of them: the bytes that
// the other way leaves would be a part of it, or of the next one.
func TestAmbiguousFraming(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 5\r\n",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: four\r\n",
	} {
		s := newScriptedUpstream(t, head+"X-Id: $ID\r\nX-Signed: 1\r\n\r\n4\r\ngood\r\n0\r\n\r\n")
		out, err := do(t, newPool(s.address), "id")
		if !errors.Is(err, ErrIllegible) {
			t.Errorf("%q: got %d %q, %v, want %v", head, out.head.Status, out.body.String(), err, ErrIllegible)
		}
	}
}
