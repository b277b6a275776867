package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// What the clients of the pipeline case do. Bookings have the size and the times of those of the
// small deployment: 4,000 bytes on average, and a work of up to 1.7 s.
const (
	sentAhead   = 3
	bookingBody = 4000
	bookingWork = "1000"
	leaveAfter  = 300 * time.Millisecond
	// lateAfter is from when on after a client's close a request that reaches a backend counts,
	// and fewLate how many may.
	lateAfter = 500 * time.Millisecond
	fewLate   = 3
	leavers   = 12
	stayers   = 28
)

func init() { cases["pipeline"] = runPipeline }

// runPipeline checks GONE with clients that send bookings ahead on one connection and leave before
// the first answer.
func runPipeline(o *options) (bool, error) {
	w, err := newWorld(spec{
		services: []string{"stockview", "cutorder", "cutorder", "cutorder", "cutorder"},
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
	address := w.machines[0].address(portOutbound)
	var group sync.WaitGroup
	var mu sync.Mutex
	closed := map[string]time.Time{}
	for i := range leavers + stayers {
		leaves := o.trouble && i < leavers
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				o.rec.line("no connection: %v", err)
				return
			}
			var text strings.Builder
			var sent []string
			for range sentAhead {
				id := newID("booking")
				sent = append(sent, id)
				text.WriteString(head("POST", "/booking/"+bookingWork+"/"+id, id, 3*time.Second, "", bookingBody))
				text.WriteString(strings.Repeat("x", bookingBody))
			}
			o.rec.line("a client sends %s ahead on %s", strings.Join(sent, ", "), conn.LocalAddr())
			if _, err := io.WriteString(conn, text.String()); err != nil {
				o.rec.line("%s: %v", sent[0], err)
			}
			if leaves {
				<-time.After(leaveAfter)
			} else {
				_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
				_, _ = io.CopyN(io.Discard, conn, 1<<20)
			}
			_ = conn.Close()
			o.rec.line("the client of %s closes its connection", strings.Join(sent, ", "))
			if leaves {
				mu.Lock()
				defer mu.Unlock()
				for _, id := range sent {
					closed[id] = time.Now()
				}
			}
		})
	}
	group.Wait()
	<-time.After(4 * time.Second)
	late, working := 0, 0
	for id, at := range closed {
		for _, r := range w.runsOf(id) {
			switch after := r.arrived.Sub(at); {
			case after > lateAfter:
				late++
				o.rec.line("%s reached a backend %v after its client had closed the connection", id, after.Round(time.Millisecond))
			case r.ended.Sub(at) > lateAfter:
				working++
			}
		}
	}
	o.rec.say("requests that reached a backend more than %v after their client's close: %d, at most %d are allowed; %d earlier ones were still worked on then", lateAfter, late, fewLate, working)
	return late > fewLate, nil
}
