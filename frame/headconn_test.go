package frame

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
)

// readerConn is a connection whose reads are those of a reader, and that takes all writes.
type readerConn struct {
	net.Conn
	reader io.Reader
}

func (c *readerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

func (c *readerConn) Write(p []byte) (int, error) { return len(p), nil }

// A head that is none must not reach the client, in whatever pieces it arrives; the heads of
// interim answers and of the answer must, and a body with the form of a head.
func TestHeadsOfAConnection(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	for name, c := range map[string]struct {
		answer string
		want   error
	}{
		"an answer": {
			answer: good,
		},
		"line feeds alone": {
			answer: "HTTP/1.1 200 OK\nContent-Length: 4\n\ngood",
		},
		"no fields": {
			answer: "HTTP/1.1 200 OK\r\n\r\ngood",
		},
		"interim answers": {
			answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + good,
		},
		"a body like a head": {
			answer: good + "HTTP/1.1 000 Odd\r\n\r\n",
		},
		"cut in its head": {
			answer: good[:20],
		},
		"status of zero": {
			answer: strings.Replace(good, "200", "000", 1),
			want:   ErrNoHead,
		},
		"after an interim": {
			answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n",
			want:   ErrNoHead,
		},
		"blank in a name": {
			answer: strings.Replace(good, "Length:", "Length :", 1),
			want:   ErrNoHead,
		},
		"interim with a blank": {
			answer: "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n" + good,
			want:   ErrNoHead,
		},
		"bytes before it": {
			answer: "what?\r\n\r\n" + good,
			want:   ErrNoHead,
		},
		"an empty line before": {
			answer: "\r\n" + good,
			want:   ErrNoHead,
		},
		"a very long head": {
			answer: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: value\r\n", MaxHeadBytes/8),
			want:   ErrNoHead,
		},
		"no end of the first line": {
			answer: strings.Repeat("x", 2*MaxHeadBytes),
			want:   ErrNoHead,
		},
	} {
		for pieces, reader := range map[string]io.Reader{
			"at once":    strings.NewReader(c.answer),
			"byte-wise":  iotest.OneByteReader(strings.NewReader(c.answer)),
			"in halves":  iotest.HalfReader(strings.NewReader(c.answer)),
			"with error": iotest.DataErrReader(strings.NewReader(c.answer)),
		} {
			conn := NewHeadConn(&readerConn{
				reader: reader,
			})
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n"))
			_, _ = conn.Write([]byte("\r\n"))
			got, err := io.ReadAll(conn)
			if !errors.Is(err, c.want) {
				t.Errorf("%s, %s: got %v, want %v", name, pieces, err, c.want)
			}
			if c.want == nil && string(got) != c.answer {
				t.Errorf("%s, %s: got %q, want %q", name, pieces, got, c.answer)
			}
		}
	}
}

// The head of each answer of a connection must be checked.
func TestSecondHeadOfAConnection(t *testing.T) {
	const good = "HTTP/1.1 204 OK\r\n\r\n"
	conn := NewHeadConn(&readerConn{
		reader: iotest.OneByteReader(strings.NewReader(good + "HTTP/1.1 999 Odd\r\n\r\n")),
	})
	_, _ = conn.Write([]byte("first"))
	if _, err := io.ReadFull(conn, make([]byte, len(good))); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("second"))
	if _, err := io.ReadAll(conn); !errors.Is(err, ErrNoHead) {
		t.Errorf("got %v, want %v", err, ErrNoHead)
	}
}
