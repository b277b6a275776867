package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ids numbers the requests of this process.
var ids atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s-%05d", kind, ids.Add(1)) }

// head returns the head of a request.
func head(method, target, id string, deadline time.Duration, fields string, body int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, target, host, id, deadline.Milliseconds(), fields)
	if body > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return text + "\r\n"
}

// answer is what a client has seen of a request.
type answer struct {
	status int
	signed bool
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %v: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d (signed: %t) after %v", a.status, a.signed, a.took.Round(time.Millisecond))
}

// ask sends one request on a connection of its own and returns its answer.
func ask(address, text string, patience time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{
			err:  err,
			took: time.Since(began),
		}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(patience))
	if _, err = io.WriteString(conn, text); err != nil {
		return answer{
			err:  err,
			took: time.Since(began),
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a := answer{
		err:  err,
		took: time.Since(began),
	}
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	}
	return a
}
