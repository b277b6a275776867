package abuse

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/appsim"
	"github.com/cyclamensaddle/cyclam/stand/child"
)

// The sizes of the crowds.
const (
	bodyClients   = 24
	fieldClients  = 400
	aheadClients  = 60
	aheadRequests = 500
	readerClients = 96
	slowClients   = 400
	silentClients = 600
)

// target is where a crowd sends its requests.
type target struct {
	name string
	port string
	// line is the request line without the protocol.
	line string
}

var targets = []target{
	{name: "route", port: child.PortOutbound, line: "POST /a/x"},
	{name: "no-route", port: child.PortOutbound, line: "POST /none/x"},
	{name: "ready", port: child.PortReady, line: "GET /api/ready"},
	{name: "heartbeats", port: child.PortControlPlane, line: "POST /api/instances/i-other/heartbeat"},
	{name: "metrics", port: child.PortMetrics, line: "GET /metrics"},
	{name: "nodes", port: child.PortInternal, line: "POST /a/x"},
}

// head returns the head of a request but for its end.
func (g target) head(i int) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d\r\n", g.line, host, appsim.HeaderAttempt, i)
}

// against runs a crowd against each target, in a world of its own.
func against(t *testing.T, clients int, send func(g target, i int, w io.Writer) error) {
	for _, g := range targets {
		t.Run(g.name, func(t *testing.T) {
			w := newWorld(t, memoryLimit, bodyLimit)
			for i := range clients {
				w.clients.join(w.machines[0].Address(g.port), func(conn io.Writer) error { return send(g, i, conn) })
			}
			w.check()
		})
	}
}

var piece = make([]byte, 64<<10)

// writeZeros writes n bytes in pieces of a size.
func writeZeros(w io.Writer, n, size int) error {
	for n > 0 {
		m, err := w.Write(piece[:min(n, size)])
		if err != nil {
			return err
		}
		n -= m
	}
	return nil
}

// A single body of the largest size must be served in calm, within the memory of the smallest
// machine.
func TestLargestBodyInCalm(t *testing.T) {
	const smallestMachine = 184 << 20
	newWorld(t, smallestMachine, 64<<20).check()
}

// Bodies of legal size that stop one byte short, sent in one piece.
func TestBodiesInOnePiece(t *testing.T) {
	whole := make([]byte, bodyLimit-1)
	against(t, bodyClients, func(g target, i int, w io.Writer) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", g.head(i), bodyLimit); err != nil {
			return err
		}
		_, err := w.Write(whole)
		return err
	})
}

// Bodies of legal size that stop one byte short, sent in small pieces.
func TestBodiesInSmallPieces(t *testing.T) {
	against(t, bodyClients, func(g target, i int, w io.Writer) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", g.head(i), bodyLimit); err != nil {
			return err
		}
		return writeZeros(w, bodyLimit-1, 1000)
	})
}

// Bodies of legal size that stop one byte short, sent in chunks.
func TestBodiesInChunks(t *testing.T) {
	const size = 1 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	against(t, bodyClients, func(g target, i int, w io.Writer) error {
		if _, err := io.WriteString(w, g.head(i)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for range bodyLimit/size - 1 {
			if _, err := io.WriteString(w, chunk); err != nil {
				return err
			}
		}
		_, err := io.WriteString(w, chunk[:len(chunk)-3])
		return err
	})
}

// Bodies far over the limit, of which half tell their length.
func TestBodiesOverTheLimit(t *testing.T) {
	const size = 32 * bodyLimit
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	against(t, bodyClients, func(g target, i int, w io.Writer) error {
		if i%2 == 0 {
			if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", g.head(i), size); err != nil {
				return err
			}
			return writeZeros(w, size, len(piece))
		}
		_, err := io.WriteString(w, g.head(i)+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; err == nil && sent < size; sent += len(piece) {
			_, err = io.WriteString(w, chunk)
		}
		return err
	})
}

// Heads of legal size that consist of very many short fields, each before a body that stops
// one byte short.
func TestManyShortFields(t *testing.T) {
	against(t, fieldClients, func(g target, i int, w io.Writer) error {
		var head strings.Builder
		head.WriteString(g.head(i) + "Content-Length: 10\r\n")
		for n := 0; head.Len() < headerLimit-16; n++ {
			fmt.Fprintf(&head, "%s:\r\n", fieldName(n))
		}
		_, err := io.WriteString(w, head.String()+"\r\n012345678")
		return err
	})
}

// Heads far over the limit that consist of very many short fields and don't end.
func TestEndlessFields(t *testing.T) {
	const size = 900 << 10
	against(t, fieldClients/4, func(g target, i int, w io.Writer) error {
		var head strings.Builder
		head.WriteString(g.head(i))
		for n := 0; head.Len() < size; n++ {
			fmt.Fprintf(&head, "%s:\r\n", fieldName(n))
		}
		_, err := io.WriteString(w, head.String())
		return err
	})
}

// fieldName returns a short name for a number.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := letters[n%len(letters) : n%len(letters)+1]
	for n /= len(letters); n > 0; n /= len(letters) {
		name += letters[n%len(letters) : n%len(letters)+1]
	}
	return name
}

// Many requests sent ahead on each connection, whose answers are not read.
func TestRequestsSentAhead(t *testing.T) {
	against(t, aheadClients, func(g target, i int, w io.Writer) error {
		for n := range aheadRequests {
			if _, err := fmt.Fprintf(w, "%sContent-Length: 1000\r\n\r\n", g.head(i*aheadRequests+n)); err != nil {
				return err
			}
			if err := writeZeros(w, 1000, 1000); err != nil {
				return err
			}
		}
		return nil
	})
}

// Requests for large answers, sent ahead, of which nothing is read.
func TestAnswersNotRead(t *testing.T) {
	against(t, readerClients, func(g target, i int, w io.Writer) error {
		if strings.HasSuffix(g.line, "/a/x") {
			g.line = strings.TrimSuffix(g.line, "/x") + largeSuffix
		}
		for n := range 4 {
			if _, err := fmt.Fprintf(w, "%sContent-Length: 0\r\n\r\n", g.head(4*i+n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Clients that stop half-way in the head or the body, or go on one byte at a time.
func TestSlowSenders(t *testing.T) {
	against(t, slowClients, func(g target, i int, w io.Writer) error {
		switch i % 4 {
		case 0:
			_, err := io.WriteString(w, g.head(i)+"Content-Le")
			return err
		case 1:
			_, err := io.WriteString(w, g.head(i)+"Content-Length: 2000\r\n\r\nhalf")
			return err
		case 2:
			_, err := io.WriteString(w, g.head(i)+"Transfer-Encoding: chunked\r\n\r\n7d0\r\nhalf")
			return err
		}
		text := g.head(i) + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 1999)
		for n := range len(text) {
			if _, err := io.WriteString(w, text[n:n+1]); err != nil {
				return err
			}
			<-time.After(100 * time.Millisecond)
		}
		return nil
	})
}

// More connections than the process may have descriptors, on which nothing is sent.
func TestSilentConnections(t *testing.T) {
	against(t, silentClients, func(target, int, io.Writer) error { return nil })
}

// Clients that send requests with heads of legal size and read the answers, beside others that
// upload bodies in chunks and stop short of their end: the one crowd must leave room for the other
// (review/7).
func TestMixedCrowd(t *testing.T) {
	const (
		readers   = 1900
		uploaders = 100
		mixedBody = 64 << 20
		size      = 1 << 20
	)
	w := &world{
		t:           t,
		memoryLimit: 284 << 20,
		bodyLimit:   mixedBody,
		fileLimit:   4100,
		work:        220 * time.Millisecond,
	}
	w.start()
	address := w.machines[0].Address(child.PortOutbound)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("y", size))
	for i := range readers {
		var head strings.Builder
		head.WriteString(targets[0].head(i))
		for n := 0; head.Len() < headerLimit-2000; n++ {
			fmt.Fprintf(&head, "X-Field-%d: %s\r\n", n, strings.Repeat("x", 1500))
		}
		w.clients.joinReading(address, head.String()+"Content-Length: 0\r\n\r\n")
	}
	for i := range uploaders {
		w.clients.join(address, func(c io.Writer) error {
			_, err := io.WriteString(c, targets[0].head(readers+i)+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; err == nil && sent < mixedBody-size; sent += size {
				_, err = io.WriteString(c, chunk)
			}
			return err
		})
	}
	w.check()
}
