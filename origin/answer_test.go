package origin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	ownID = "f00d.1"
	// ownAnswer is a failure, so that a success is never the request's own.
	ownAnswer = "HTTP/1.1 500 Oops\r\nX-Id: " + ownID + "\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\noops"
	// lookalike passes for the answer to the request wherever it is read as one.
	lookalike    = "HTTP/1.1 200 OK\r\nX-Id: " + ownID + "\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\nfake"
	otherAnswer  = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\ngood"
	refusal      = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	otherChunked = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// readWith returns what is taken for the answer to the request with ownID on a connection
// that has carried another answer, delivers text and then ends.
func readWith(t testing.TB, text []byte) (*recordingSink, error) {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	go func() {
		defer there.Close()
		_, _ = there.Write(text)
	}()
	p := newPool("")
	p.Dial = func(context.Context, string) (net.Conn, error) { return here, nil }
	c, err := p.open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.reused = true
	out := &recordingSink{}
	head, body, err := p.readAnswer(c, Request{
		ID:     ownID,
		Method: http.MethodGet,
	})
	if err != nil {
		return out, err
	}
	if err := out.Head(head); err != nil {
		return out, err
	}
	return out, copyBody(body, head.Length, out)
}

// Only the request's own answer may be taken for it, whatever comes before.
func TestAnswerAmongStrayBytes(t *testing.T) {
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	within := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, c := range []struct {
		name    string
		before  string
		wantErr error
	}{
		{name: "nothing"},
		{name: "empty lines", before: "\r\n\r\n"},
		{name: "another answer", before: otherAnswer},
		{name: "many answers", before: strings.Repeat(otherAnswer+"HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		{name: "answer that says it ends the connection", before: strings.Replace(otherAnswer, "X-Signed", "Connection: close\r\nX-Signed", 1)},
		{name: "look-alike in another answer", before: within(lookalike)},
		{name: "look-alikes in a long answer", before: within(strings.Repeat(lookalike+strings.Repeat("-", 1000), 100))},
		{name: "look-alike in chunks", before: otherChunked + chunk(lookalike[:20]) + chunk(lookalike[20:]) + "0\r\n\r\n"},
		{name: "look-alike in a trailer", before: otherChunked + "0\r\nX-Trailer: " + lookalike[:20] + "\r\n\r\n"},
		{name: "look-alike in an answer without end", before: strings.Replace(otherAnswer, "Content-Length: 4\r\n", "", 1) + lookalike, wantErr: io.EOF},
		{name: "look-alike after an answer cut short", before: within(lookalike + "--")[:len(within(lookalike+"--"))-1], wantErr: ErrIllegible},
		{name: "answer cut in its status line", before: "HTTP/1.1 20"},
		{name: "answer cut after its code", before: "HTTP/1.1 200 ", wantErr: ErrIllegible},
		{name: "answer cut in a field", before: "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Other: a", wantErr: ErrIllegible},
		{name: "answer cut after a field", before: "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"},
		{name: "answer cut before a folded field", before: "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n\t", wantErr: ErrIllegible},
		{name: "answer cut in its body", before: otherAnswer[:len(otherAnswer)-1], wantErr: ErrIllegible},
		{name: "chunks cut short", before: otherChunked + "5\r\nab", wantErr: ErrIllegible},
		{name: "malformed chunk", before: otherChunked + "what?\r\n"},
		{name: "answer that lost its first bytes", before: otherAnswer[5:]},
		{name: "unframed bytes", before: "\x00\xff what?\n\n?"},
		{name: "long line", before: strings.Repeat("x", 5*maxHeadBytes+17)},
		{name: "line as long as the bound less half a status line", before: strings.Repeat("x", maxHeadBytes-9)},
		{name: "many lines", before: strings.Repeat("what?\r\n", 1000)},
		{name: "malformed head", before: "HTTP/1.1 200 OK\r\nno field\r\n\r\n"},
		{name: "two lengths", before: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"},
		{name: "own answer spoilt, look-alike in its body", before: "HTTP!1.1 500 Oops\r\nX-Id: " + ownID + "\r\n\r\n" + lookalike, wantErr: ErrIllegible},
		{name: "own head malformed, look-alike in its body", before: "HTTP/1.1 500 Oops\r\nno field\r\nX-Id: " + ownID + "\r\n\r\n" + lookalike, wantErr: ErrIllegible},
		{name: "id of a call of the request", before: "what? " + ownID + ".2 " + "a" + ownID + "\r\n"},
		{name: "refusal without an id after unframed bytes", before: "what?\r\n" + refusal},
		{name: "endless", before: strings.Repeat("what?\r\n", maxSkippedBytes/4), wantErr: ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := readWith(t, []byte(c.before+ownAnswer))
			if !errors.Is(err, c.wantErr) {
				t.Fatalf("got %d %q, error %v, want %v", out.head.Status, out.body.String(), err, c.wantErr)
			}
			if err != nil {
				return
			}
			if out.head.Status != http.StatusInternalServerError || out.body.String() != "oops" {
				t.Errorf("got %d %q, want the request's own answer", out.head.Status, out.body.String())
			}
			if got, want := out.head.closesConn, c.before != ""; got != want {
				t.Errorf("connection closed after it: got %v, want %v", got, want)
			}
		})
	}
}

// A refusal without an id, at the place of the answer, is that of the request.
func TestRefusalAfterAnotherAnswer(t *testing.T) {
	out, err := readWith(t, []byte(otherAnswer+refusal))
	if err != nil || !out.head.Meta.NotRun {
		t.Errorf("got %+v, %v, want a refusal", out.head, err)
	}
}

// An answer may quote a status line in a field, on every connection.
func TestFieldWithStatusLine(t *testing.T) {
	quoting := strings.Replace(signedAnswer, "X-Signed", "X-Quoted: HTTP/1.1 404 Not Found\r\nX-Signed", 1)
	s := newScriptedUpstream(t, quoting, quoting)
	p := newPool(s.address)
	for range 2 {
		if out, err := do(t, p, "id"); err != nil || out.body.String() != "good" {
			t.Errorf("got %q, %v, want the answer", out.body.String(), err)
		}
	}
}

// Bytes that do not hold the request's id must never become its answer, nor change it.
func FuzzBytesBeforeAnswer(f *testing.F) {
	for _, seed := range []string{
		"", "good", "what?\r\n\r\n", otherAnswer, otherAnswer[:60], otherAnswer[9:], refusal, otherChunked + "5\r\nab",
		"HTTP/1.1 200 OK\r\nX-Signed: 1\r\n\t", "HTTP/1.1 200 ", "HTTP/1.1 102 Processing\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, before []byte) {
		if bytes.Contains(before, []byte(ownID)) {
			return
		}
		out, err := readWith(t, append(bytes.Clone(before), ownAnswer...))
		if err != nil || out.head.Meta.ID == "" && out.head.Meta.NotRun {
			return
		}
		if out.head.Status != http.StatusInternalServerError || out.body.String() != "oops" {
			t.Errorf("before %q: got %d %q, want the request's own answer", before, out.head.Status, out.body.String())
		}
	})
}
