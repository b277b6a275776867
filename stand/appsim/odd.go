package appsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// oddAnswers are the answers of a backend in trouble, with the id in the place of %s. None is a
// whole answer to the request.
var oddAnswers = []string{
	oddHead("000 Odd") + "Content-Length: 4\r\n\r\nodd!",
	oddHead("099 Odd") + "Content-Length: 4\r\n\r\nodd!",
	oddHead("600 Odd") + "Content-Length: 4\r\n\r\nodd!",
	oddHead("200 OK") + "X Odd: 1\r\nContent-Length: 4\r\n\r\nodd!",
	oddHead("200 OK") + "X\x01Odd: 1\r\nContent-Length: 4\r\n\r\nodd!",
	oddHead("200 OK") + "Content-Length : 4\r\n\r\nodd!",
	oddHead("200 OK") + "Transfer-Encoding : chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n",
	oddHead("200 OK") + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nodd!\r\n0\r\n\r\n",
	oddHead("200 OK") + "Content-Length: 9223372036854775807\r\n\r\nodd!",
	oddHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nodd!",
	oddHead("200 OK")[:20],
	"what?\r\n\r\n",
}

// earlyAnswer is written before the request has been read. It has no length, and its connection
// is reset.
var earlyAnswer = oddHead("200 OK") + "\r\nodd!"

func oddHead(status string) string {
	return "HTTP/1.1 " + status + "\r\n" + HeaderAttempt + ": %s\r\n" + HeaderSignature + ": 3e1b\r\n"
}

// SetOdd makes the backend answer a share of all later requests with what is no whole answer.
func (b *Backend) SetOdd(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.odd = share
}

// answerOddly answers a request before its body has been read, and reports whether it did.
func (b *Backend) answerOddly(w http.ResponseWriter, r *http.Request) bool {
	b.mu.Lock()
	odd := r.URL.Path != HealthPath && rand.Float64() < b.odd
	b.mu.Unlock()
	if !odd {
		return false
	}
	attempt := r.Header.Get(HeaderAttempt)
	answer := oddAnswers[rand.IntN(len(oddAnswers))]
	early := r.ContentLength > floodPiece
	if early {
		answer = earlyAnswer
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if b.OnRun != nil {
		b.OnRun(attempt)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	if strings.Contains(answer, "%s") {
		answer = fmt.Sprintf(answer, attempt)
	}
	_, _ = io.WriteString(c, answer)
	if tcp, ok := c.(*net.TCPConn); ok && early {
		<-time.After(rand.N(10 * time.Millisecond))
		_ = tcp.SetLinger(0)
	}
	return true
}
