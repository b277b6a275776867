package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What the clients of the ahead case do: they send labels ahead and wait for all answers. The
// labels take longer than the class's mean of 180 ms, and less than its largest of 1,300 ms.
const (
	labelWork = "400"
	labels    = 3
	labellers = 20
	termAfter = 200 * time.Millisecond
	lossSlack = 200 * time.Millisecond
	labelTime = 2500 * time.Millisecond
)

func init() { cases["ahead"] = runAhead }

// runAhead checks LOST with a SIGTERM of the machine whose clients have sent requests ahead.
func runAhead(o *options) (bool, error) {
	w, err := newWorld(spec{
		services: []string{"cutorder", "millcerts", "millcerts", "millcerts", "millcerts"},
		memoryMB: 284,
		cpuShare: 0.32,
		linkMbps: 1000,
		bounds:   smallBounds(),
		config:   smallConfig(),
		slots:    12,
	}, o.program, o.rec)
	defer w.close()
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	for range labellers {
		group.Go(func() {
			own, whole := w.sendAhead(w.machines[0].address(portOutbound))
			mu.Lock()
			defer mu.Unlock()
			lost += own
			answered += whole
		})
	}
	if o.trouble {
		<-time.After(termAfter)
		o.rec.line("%s gets SIGTERM", w.machines[0].name)
		_ = w.machines[0].signal(syscall.SIGTERM)
	}
	group.Wait()
	o.rec.say("requests answered: %d; read by the process and not answered, more than %v after they were sent: %d; none may be", answered, lossSlack, lost)
	return lost > 0, nil
}

// sendAhead sends labels ahead in one piece. It returns how many of them the process has read and
// not answered, and how many have been answered. The process has read all that was sent if the
// connection ends without a reset: the system resets one that is closed with bytes left.
func (w *world) sendAhead(address string) (lost, answered int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		w.rec.line("no connection: %v", err)
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	var sent []string
	for range labels {
		id := newID("label")
		sent = append(sent, id)
		text.WriteString(head("DELETE", "/label/"+labelWork+"/"+id, id, labelTime, "", 0))
	}
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(labelTime))
	_, err = io.WriteString(conn, text.String())
	w.rec.line("%s sends %s ahead", conn.LocalAddr(), strings.Join(sent, ", "))
	reader := bufio.NewReader(conn)
	for err == nil && answered < labels {
		var resp *http.Response
		if resp, err = http.ReadResponse(reader, nil); err != nil {
			break
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		w.rec.line("%s is answered: %d, closes: %t", sent[answered], resp.StatusCode, resp.Close)
		answered++
	}
	if answered == labels {
		return 0, answered
	}
	after := time.Since(began)
	w.rec.line("the connection of %s ends after %v: %v", strings.Join(sent, ", "), after.Round(time.Millisecond), err)
	for _, id := range sent[answered:] {
		w.rec.line("%s is not answered, and ran %d times", id, len(w.runsOf(id)))
	}
	if after < lossSlack || after >= labelTime || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, answered
	}
	return labels - answered, answered
}
