package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What the heads case does in each round. One machine of nine stands still for less than a second;
// before that, a crowd at its door sends heads that are legal in size, and does not end them.
const (
	headRounds  = 8
	victims     = 28
	victimWork  = "2200"
	victimQuery = 7000
	crowdAfter  = 120 * time.Millisecond
	freezeAfter = 400 * time.Millisecond
	freezeTime  = 1300 * time.Millisecond
	crowdStays  = 2300 * time.Millisecond
	roundTime   = 6 * time.Second
	// manyFields and fewFields are how many clients of the crowd send heads of each kind.
	manyFields = 48
	fewFields  = 64
)

func init() { cases["heads"] = runHeads }

// runHeads checks TWICE for bookings with long queries.
func runHeads(o *options) (bool, error) {
	services := []string{"stockview", "stockview"}
	for range 8 {
		services = append(services, "cutorder")
	}
	w, err := newWorld(spec{
		services: services,
		memoryMB: 536,
		cpuShare: 0.8,
		linkMbps: 140,
		bounds:   largeBounds(),
		config:   largeConfig(),
		slots:    7,
	}, o.program, o.rec)
	defer w.close()
	if err != nil {
		return false, err
	}
	front := w.machines[0].address(portOutbound)
	rounds := headRounds
	if o.rounds > 0 {
		rounds = o.rounds
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	for number := range rounds {
		began := time.Now()
		frozen := w.machines[2+number%8]
		var group sync.WaitGroup
		for range victims {
			group.Go(func() {
				id := newID("booking")
				o.rec.line("%s is sent", id)
				target := "/booking/" + victimWork + "/" + id + "?items=" + strings.Repeat("k", victimQuery)
				a := ask(front, head("POST", target, id, 6*time.Second, "", 0), 7*time.Second)
				o.rec.line("%s is answered: %v", id, a)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
		if o.trouble {
			<-time.After(crowdAfter)
			crowd := newCrowd(frozen.address(portOutbound))
			<-time.After(freezeAfter - time.Since(began))
			o.rec.line("%s stands still", frozen.name)
			_ = frozen.signal(syscall.SIGSTOP)
			<-time.After(freezeTime)
			_ = frozen.signal(syscall.SIGCONT)
			o.rec.line("%s goes on", frozen.name)
			<-time.After(crowdStays - time.Since(began))
			crowd.leave()
		}
		group.Wait()
		<-time.After(roundTime - time.Since(began))
	}
	twice, refusedButRun := 0, 0
	for id, a := range answers {
		runs := w.runsOf(id)
		if len(runs) > 1 {
			twice++
			o.rec.line("%s ran %d times; its client got %v", id, len(runs), a)
		}
		if a.err == nil && (a.status == 503 || a.status == 429) && len(runs) > 0 {
			refusedButRun++
			o.rec.line("%s was refused and ran %d times; its client got %v", id, len(runs), a)
		}
	}
	for _, line := range w.logged(w.machines[0], "link-reset") {
		o.rec.line("%s", line)
	}
	for _, m := range w.machines {
		for _, line := range w.logged(m, "body-refused") {
			o.rec.line("%s: %s", m.name, line)
		}
	}
	o.rec.say("bookings: %d, run more than once: %d, refused and run: %d; none may be", len(answers), twice, refusedButRun)
	return twice+refusedButRun > 0, nil
}

// crowd is clients that send heads and don't end them.
type crowd struct {
	group sync.WaitGroup
	left  chan struct{}
}

func newCrowd(address string) *crowd {
	c := &crowd{
		left: make(chan struct{}),
	}
	short := strings.Repeat("a:\r\n", 3500)
	long := strings.Repeat("b: "+strings.Repeat("v", 1000)+"\r\n", 13)
	for i := range manyFields + fewFields {
		fields, next := short, "c:\r\n"
		if i >= manyFields {
			fields, next = long, "d: 1\r\n"
		}
		c.group.Go(func() { c.send(address, fields, next) })
	}
	return c
}

// send sends the fields of a head, and then some more now and then.
func (c *crowd) send(address, fields, next string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	start := fmt.Sprintf("GET /lookup/0/x HTTP/1.1\r\nHost: %s\r\n", host)
	if _, err := io.WriteString(conn, start+fields); err != nil {
		return
	}
	for {
		select {
		case <-c.left:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if _, err := io.WriteString(conn, next); err != nil {
			return
		}
	}
}

func (c *crowd) leave() {
	close(c.left)
	c.group.Wait()
}
