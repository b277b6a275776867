package origin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

type testDialect struct {
	cyclam.Dialect
}

func (testDialect) ParseAnswer(status int, h http.Header) cyclam.AnswerMeta {
	return cyclam.AnswerMeta{
		ID:          h.Get("X-Id"),
		Signed:      h.Get("X-Signed") != "",
		NotRun:      h.Get("X-Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// scriptedUpstream is an upstream on a raw socket: it reads requests and writes
// the given answers, with $ID replaced by the request's id.
type scriptedUpstream struct {
	address string
	conns   atomic.Int64
	targets chan string
}

// newScriptedUpstream answers the n-th request of each connection with answers[n]
// and closes the connection after the last one, with a TCP reset if that answer
// ends with "RST".
func newScriptedUpstream(t *testing.T, answers ...string) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedUpstream{
		address: l.Addr().String(),
		targets: make(chan string, 16),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *scriptedUpstream) serve(c net.Conn, answers []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, answer := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case s.targets <- req.RequestURI:
		default:
		}
		text, reset := strings.CutSuffix(answer, "RST")
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "$ID", req.Header.Get("X-Id")))
		if reset {
			<-time.After(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

const signedAnswer = "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\ngood"

type recordingSink struct {
	head Head
	body strings.Builder
}

func (s *recordingSink) Head(h Head) error {
	s.head = h
	return nil
}

func (s *recordingSink) Chunk(b []byte) error {
	s.body.Write(b)
	return nil
}

func do(t *testing.T, p *Pool, id string) (*recordingSink, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	out := &recordingSink{}
	err := p.Do(ctx, Request{
		ID:         id,
		Method:     http.MethodGet,
		Host:       "h.example",
		Target:     "//a%2F?x=%20",
		Header:     http.Header{"X-Id": {id}},
		Idempotent: true,
	}, out)
	return out, err
}

func newPool(address string) *Pool {
	return &Pool{
		Address: address,
		Dialect: testDialect{},
	}
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string
		body    string
		wantErr bool
	}{
		{"with a length", signedAnswer, "good", false},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "good", false},
		{"ended by its connection", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\n\r\ngood", "good", false},
		{"reset without a length", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\n\r\ngooRST", "", true},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nContent-Length: 9\r\n\r\ngood", "", true},
		{"chunks cut short", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", "", true},
		{"not HTTP", "what?\r\n\r\n", "", true},
		{"unsigned success", "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nContent-Length: 4\r\n\r\ngood", "", true},
		{"another request's", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 3\r\n\r\nbad", "", true},
		{"after another request's", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 3\r\n\r\nbad" + signedAnswer, "good", false},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + signedAnswer, "good", false},
		{"failure", "HTTP/1.1 500 Oops\r\nX-Id: $ID\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\noops", "oops", false},
		{"refusal without an id", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "", false},
		{"another upstream", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", "", false},
		{"reset without an answer", "RST", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedUpstream(t, c.answer)
			out, err := do(t, newPool(s.address), "id-1")
			if failed := err != nil; failed != c.wantErr {
				t.Fatalf("got error %v, want failure %v", err, c.wantErr)
			}
			if got := out.body.String(); !c.wantErr && got != c.body {
				t.Errorf("body: got %q, want %q", got, c.body)
			}
			if got, want := <-s.targets, "//a%2F?x=%20"; got != want {
				t.Errorf("target: got %q, want %q", got, want)
			}
		})
	}
}

func TestReuse(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer, signedAnswer, signedAnswer)
	p := newPool(s.address)
	for range 3 {
		if _, err := do(t, p, "id"); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := s.conns.Load(), int64(1); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// Bytes after a complete answer belong to no request. The connection is not
// reused, whether they arrive with the answer or later; otherwise they would be
// read as the next request's answer.
func TestExtraBytes(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer+signedAnswer, signedAnswer)
	p := newPool(s.address)
	for range 4 {
		out, err := do(t, p, "id")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := out.body.String(), "good"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := s.conns.Load(), int64(4); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// A connection that the upstream closed while it was idle is not reused.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := newScriptedUpstream(t, signedAnswer)
	p := newPool(s.address)
	for range 3 {
		if _, err := do(t, p, "id"); err != nil {
			t.Fatal(err)
		}
		<-time.After(30 * time.Millisecond)
	}
	if got, want := s.conns.Load(), int64(3); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := do(t, newPool(address), "id"); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

func TestParseKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                            defaultIdleTimeout,
		"timeout=10":                  7 * time.Second,
		"max=5, timeout=10":           7 * time.Second,
		"timeout=soon":                defaultIdleTimeout,
		"timeout=0":                   0,
		"timeout=9223372036854775807": time.Duration(idleTimeoutShare * float64(cyclam.MaxSpan)),
	} {
		if got := parseKeepAlive(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

// A refusal may lack the request's id. A second copy of it that arrives late must not be
// taken for the answer to the next request, which would be reported as not run.
func TestLateCopyOfRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := newScriptedUpstream(t, refusal, refusal+signedAnswer)
	p := newPool(s.address)
	if out, err := do(t, p, "first"); err != nil || !out.head.Meta.NotRun {
		t.Fatalf("first: got %+v, %v, want a refusal", out.head, err)
	}
	out, err := do(t, p, "second")
	if err != nil {
		t.Fatal(err)
	}
	// A new connection starts with the refusal again, which is then the request's own.
	if got, want := s.conns.Load(), int64(2); got != want {
		t.Errorf("connections: got %d, want %d, as the answer on the first one may be a late copy: %+v", got, want, out.head)
	}
}

// resetEvery is how many places of a cut there are to one at which the connection is reset.
const resetEvery = 16

// An upstream that stops within the head of its answer and closes has given no answer: there
// is nothing to pass on, and what has arrived must not be taken for a short answer.
func TestHeadCutShort(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": signedAnswer,
		"in chunks":     "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until closed":  "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nX-Id: $ID\r\nX-Signed: 1\r\n\r\n",
		"old version":   "HTTP/1.0 200 OK\nX-Id: $ID\nX-Signed: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			answer = strings.ReplaceAll(answer, "$ID", "cut")
			end := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
			if name == "old version" {
				end = len(answer)
			}
			for cut := range end {
				endings := []string{""}
				if cut%resetEvery == 0 {
					endings = append(endings, "RST")
				}
				for _, ending := range endings {
					s := newScriptedUpstream(t, answer[:cut]+ending)
					out, err := do(t, newPool(s.address), "cut")
					if err == nil || out.head.Status != 0 {
						t.Errorf("answer that ends in %q: got status %d and body %q, want an error", answer[:cut], out.head.Status, out.body.String())
					}
				}
			}
		})
	}
}

// An earlier refusal that a faulty upstream writes once more on a kept connection says
// nothing of the request that is running there now.
func TestEarlierRefusalOnKeptConnection(t *testing.T) {
	for name, refusal := range map[string]string{
		"with its id":      "HTTP/1.1 503 Full\r\nX-Id: first\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with a body":      "HTTP/1.1 503 Full\r\nX-Id: first\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"without an id":    "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected":      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"rate limited":     "HTTP/1.1 429 Too Many\r\nX-Id: first\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"cut and repeated": "HTTP/1.1 503 Full\r\nX-Id: first\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Fu",
	} {
		t.Run(name, func(t *testing.T) {
			first := strings.TrimSuffix(refusal, "HTTP/1.1 503 Fu")
			s := newScriptedUpstream(t, first, refusal+"\r\n"+signedAnswer)
			p := newPool(s.address)
			if out, err := do(t, p, "first"); err != nil || !out.head.Meta.NotRun && !out.head.Meta.Misdirected {
				t.Fatalf("first: got %+v, %v, want a refusal", out.head, err)
			}
			out, err := do(t, p, "second")
			refused := out.head.Meta.NotRun || out.head.Meta.Misdirected
			// A new connection begins with the refusal, which is then the request's own.
			if s.conns.Load() == 1 && (refused || errors.Is(err, ErrNotSent)) {
				t.Errorf("second: got %+v, %v, want no word that it was not run", out.head, err)
			}
		})
	}
}
