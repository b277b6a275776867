package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is how one request ended for its client.
type outcome struct {
	status int
	signed bool
	body   []byte
	// kept is set if the connection had carried a request before.
	kept bool
	// closed is set if the connection ended without a whole answer.
	closed bool
	err    error
}

// keptConn is a client's connection, which is kept for many requests.
type keptConn struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

// do sends one request and waits for its answer until the deadline.
func (k *keptConn) do(method, path, id string, body []byte, deadline time.Duration) outcome {
	if k.conn == nil {
		c, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			k.record.note("no way    %s: %v", id, err)
			return outcome{
				err: err,
			}
		}
		k.conn, k.reader, k.used = c, bufio.NewReader(c), false
	}
	o := outcome{
		kept: k.used,
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nDeadline-Ms: %d\r\n", method, path, host, headerAttempt, id, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	k.record.note("sent      %s %s on a %s connection", id, path, map[bool]string{true: "kept", false: "new"}[o.kept])
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := k.conn.Write(append([]byte(text.String()), body...)); err != nil {
		return k.fail(id, o, err)
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{
		Method: method,
	})
	if err != nil {
		return k.fail(id, o, err)
	}
	o.status, o.signed = resp.StatusCode, resp.Header.Get(headerSignature) != ""
	if o.body, err = io.ReadAll(resp.Body); err != nil {
		return k.fail(id, o, err)
	}
	k.used = true
	k.record.note("answered  %s %d signed=%t %d bytes", id, o.status, o.signed, len(o.body))
	if resp.Close {
		k.close()
	}
	return o
}

func (k *keptConn) fail(id string, o outcome, err error) outcome {
	var timeout net.Error
	o.err = err
	o.closed = !errors.As(err, &timeout) || !timeout.Timeout()
	k.record.note("unanswered %s: %v", id, err)
	k.close()
	return o
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}
