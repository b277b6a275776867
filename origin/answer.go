package origin

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cyclamensaddle/cyclam/frame"
	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of an answer, maxSkippedBytes what is skipped before
	// it: an upstream in trouble may write either without end.
	maxHeadBytes    = frame.MaxHeadBytes
	maxSkippedBytes = 1 << 20
	// maxSkippedAnswers bounds the answers to other requests that are skipped: each takes
	// some microseconds to parse, however short it is.
	maxSkippedAnswers = 4096
	// overlapBytes is how much of a long line is searched again together with what
	// follows it; it exceeds any status code's and id's length.
	overlapBytes = 1 << 10
)

// statusLineForm is the form in which an answer begins; 0 stands for any digit.
const statusLineForm = "HTTP/1.0 000"

// findStatusLine returns the index of the first status line in text, or -1.
func findStatusLine(text []byte) int {
	for from := 0; ; from++ {
		at := bytes.Index(text[from:], []byte(statusLineForm[:7]))
		if at < 0 {
			return -1
		}
		from += at
		if isStatusLine(text[from:]) {
			return from
		}
	}
}

func isStatusLine(text []byte) bool {
	if len(text) <= len(statusLineForm) {
		return false
	}
	for i, want := range []byte(statusLineForm) {
		digit := want == '0' && text[i] >= '0' && text[i] <= '9'
		if text[i] != want && !digit {
			return false
		}
	}
	end := text[len(statusLineForm)]
	return end == ' ' || end == '\r' || end == '\n'
}

// answerReader finds the answer to a request among the bytes that a connection delivers.
//
// The upstream has a request's id only from the request, so a head with the id is that of
// the request's answer or of a copy. All other answers are skipped by their framing, and
// their bodies are not searched; bytes that are no answer are searched for the next status
// line. Once the id has been seen in bytes that are no answer, the request has been
// answered illegibly, and what looks like its answer later may be part of a body. A request
// without an id, such as a health check, gets the first answer on its connection.
type answerReader struct {
	pool *Pool
	conn *conn
	req  Request
	// unframed is set once bytes that are no answer have been skipped.
	unframed bool
	// idInBody is set if the body that was skipped last contains the request's id.
	idInBody bool
	// held and spare are memory for the bytes that are read again, buf for bodies.
	held, spare, buf []byte
}

// readAnswer reads the head of the answer to a request.
func (p *Pool) readAnswer(c *conn, req Request) (Head, io.Reader, error) {
	c.allow(maxSkippedBytes + maxHeadBytes)
	defer c.allow(unbounded)
	r := &answerReader{
		pool: p,
		conn: c,
		req:  req,
	}
	head, body, err := r.read()
	if err != nil {
		return Head{}, nil, errors.Wrapf(err, "read answer, %d bytes received", maxSkippedBytes+maxHeadBytes-c.readable)
	}
	return head, body, nil
}

func (r *answerReader) read() (Head, io.Reader, error) {
	others := 0
	for skipped := 0; ; {
		text, before, err := r.nextHead()
		skipped += before
		if err != nil {
			return Head{}, nil, err
		}
		// A status line within a line may be where an answer begins after one whose head
		// was cut short. On a connection that has carried nothing else it is part of a
		// field, and later answers may have that field too.
		inner := findStatusLine(text[1:]) >= 0
		if inner && (skipped > 0 || r.conn.reused) && mentions(text, r.req.ID) {
			return Head{}, nil, illegible(text)
		}
		err = frame.CheckHead(text)
		if err == nil && frame.IsInterim(text) {
			continue
		}
		var resp *http.Response
		if err == nil {
			resp, err = r.parse(text)
		}
		if err != nil && r.concerns(text) {
			return Head{}, nil, errors.WithMessage(illegible(text), err.Error())
		}
		if err != nil {
			r.unframed = true
			skipped += len(text)
			continue
		}
		if head, own, err := r.accept(resp); own {
			head.Skipped = skipped
			head.closesConn = head.closesConn || skipped > 0 || inner
			return head, resp.Body, err
		}
		skipped += len(text) + r.skipBody(resp)
		if others++; others > maxSkippedAnswers {
			return Head{}, nil, ErrTooLong
		}
	}
}

// accept returns the head of an answer, and whether it is the answer to the request.
//
// Refusals may lack the request's id: the upstream did not run the request, or another
// upstream listens at the address. A late copy of one could not be told from the answer
// to the next request, so the connection is not reused after it.
func (r *answerReader) accept(resp *http.Response) (Head, bool, error) {
	meta := r.pool.Dialect.ParseAnswer(resp.StatusCode, resp.Header)
	anonymous := meta.ID == "" && (meta.NotRun || meta.Misdirected) && !r.unframed
	if r.req.ID != "" && meta.ID != r.req.ID && !anonymous {
		return Head{}, false, nil
	}
	if resp.StatusCode < http.StatusMultipleChoices && r.req.ID != "" && !meta.Signed {
		return Head{}, true, ErrUnsigned
	}
	r.conn.idleTimeout = parseKeepAlive(resp.Header)
	ends := delimitedByClose(resp)
	return Head{
		Status:       resp.StatusCode,
		Header:       resp.Header,
		Length:       resp.ContentLength,
		Meta:         meta,
		closesConn:   resp.Close || ends || anonymous,
		endsWithConn: ends,
	}, true, nil
}

// delimitedByClose reports whether the end of the connection marks the end of the
// body.
func delimitedByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// skipBody discards the body of an answer to another request and returns its length. If
// the body is not well-formed, what follows counts as bytes that are no answer; the
// connection's error is met again by the next read.
func (r *answerReader) skipBody(resp *http.Response) int {
	total, kept := 0, 0
	if r.buf == nil {
		r.buf = make([]byte, overlapBytes+readBufferSize)
	}
	buf := r.buf
	r.idInBody = false
	for {
		n, err := resp.Body.Read(buf[kept:])
		total += n
		seen := buf[:kept+n]
		r.idInBody = r.idInBody || mentions(seen, r.req.ID)
		if err != nil {
			r.unframed = r.unframed || err != io.EOF
			return total
		}
		kept = copy(buf, seen[max(0, len(seen)-overlapBytes):])
	}
}

// nextHead returns the next bytes with the form of a head, from the status line to the
// empty line, and how many bytes it has skipped before them.
func (r *answerReader) nextHead() ([]byte, int, error) {
	var head, line []byte
	skipped := 0
	for {
		var err error
		whole := false
		line, whole, err = r.conn.readLine(line)
		if err != nil {
			return nil, skipped, err
		}
		at := findStatusLine(line)
		begins := at == 0 || at > 0 && len(head) == 0
		if len(head) > 0 && !begins {
			head = append(head, line...)
			if len(head) > maxHeadBytes || !whole {
				return nil, skipped, ErrTooLong
			}
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				return head, skipped, nil
			}
			line = line[:0]
			continue
		}
		// Whatever stands before this status line is not part of an answer.
		stray := head
		if begins {
			stray = append(stray, line[:at]...)
		} else {
			stray = line
		}
		if len(stray) > 0 {
			r.unframed = true
			if r.idInBody || r.concerns(stray) {
				return nil, skipped, illegible(stray)
			}
		}
		switch {
		case whole && begins:
			head = bytes.Clone(line[at:])
			skipped += len(stray)
			line = line[:0]
		case whole:
			skipped += len(stray)
			line = line[:0]
		case begins && at == 0:
			return nil, skipped, ErrTooLong
		default:
			kept := line[max(0, len(line)-overlapBytes):]
			if begins {
				kept = line[at:]
			}
			skipped += len(line) - len(kept)
			line = line[:copy(line, kept)]
		}
	}
}

// parse parses a head that has just been read; the body, if any, is what the connection
// delivers next.
func (r *answerReader) parse(head []byte) (*http.Response, error) {
	c := r.conn
	r.held, r.spare = c.unread(head, r.spare), r.held
	after := c.pending() - len(head)
	resp, err := http.ReadResponse(c.reader, &http.Request{
		Method: r.req.Method,
	})
	if err != nil {
		_, _ = c.reader.Discard(c.pending() - after)
		return nil, errors.Wrap(err, "parse head")
	}
	return resp, nil
}

// concerns reports whether bytes that are no answer are taken for an illegible answer to the
// request: they hold its id. A request without an id has its connection to itself.
func (r *answerReader) concerns(text []byte) bool {
	return r.req.ID == "" || mentions(text, r.req.ID)
}

// readLine appends the next line with its end to begun, and reports whether it is whole:
// a line is cut after maxHeadBytes.
func (c *conn) readLine(begun []byte) ([]byte, bool, error) {
	for line := begun; ; {
		piece, err := c.reader.ReadSlice('\n')
		line = append(line, piece...)
		if err == nil {
			return line, true, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, false, err
		}
		if len(line) >= maxHeadBytes {
			return line, false, nil
		}
	}
}

// mentions reports whether text contains id as a word of its own: ids of calls begin with
// the id of the request that makes them.
func mentions(text []byte, id string) bool {
	if id == "" {
		return false
	}
	for from := 0; ; from++ {
		at := bytes.Index(text[from:], []byte(id))
		if at < 0 {
			return false
		}
		from += at
		end := from + len(id)
		if (from == 0 || !isIDByte(text[from-1])) && (end == len(text) || !isIDByte(text[end])) {
			return true
		}
	}
}

func isIDByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '.' || b == '-' || b == '_'
}

// illegible returns ErrIllegible with the first line of what was received.
func illegible(text []byte) error {
	const most = 80
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return errors.Wrapf(ErrIllegible, "%q", line[:min(len(line), most)])
}
