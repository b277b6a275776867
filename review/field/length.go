package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/child"
)

const (
	// garbleShare is the largest share of spoilt answers that the site file names for garble.
	garbleShare = 0.02
	// garbledBackends of the backends hand out such answers, within the largest share of 0.38.
	garbledBackends = 1
	// mostLost is the number of lost requests that the rule allows.
	mostLost = 3
)

// lengthCase lets one backend of a service break off a few of its answers, whose heads state a
// body of 2^63-1 bytes. It returns whether the rule LOST held: requests on kept connections that
// were passed on to other, sound backends are to be answered.
func lengthCase(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r, 284, []route{
		{path: "/lookup/", kind: "idempotent", service: "stockview", timeout: "2500ms"},
		{path: "/booking/", kind: "non_idempotent", service: "cutorder", timeout: "3000ms"},
	})
	if err != nil {
		return false, err
	}
	defer w.end()
	var spoilt atomic.Int64
	for i, service := range []string{"stockview", "stockview", "stockview", "cutorder", "cutorder"} {
		b := &backend{
			id:      fmt.Sprintf("i-%s-%d", service, i),
			service: service,
			slots:   12,
			work:    220 * time.Millisecond,
		}
		if service == "cutorder" {
			b.work = 290 * time.Millisecond
		}
		if trouble && i < garbledBackends {
			var answers atomic.Int64
			b.answer = func(a arrival) bool {
				if answers.Add(1)%int64(1/garbleShare) != 0 {
					return false
				}
				spoilt.Add(1)
				r.note("garbled   %s at %s: the answer breaks off", a.id, b.id)
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 9223372036854775807\r\n\r\n%s",
					headerAttempt, a.id, headerSignature, b.id, a.id)
				_ = a.conn.Close()
				return true
			}
		}
		if _, err := w.add(fmt.Sprintf("m%d", i), b); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	var lost, answered atomic.Int64
	until := time.Now().Add(30 * time.Second)
	var clients sync.WaitGroup
	for i, m := range w.machines {
		for n := range 4 {
			clients.Go(func() {
				k := &keptConn{
					address: m.address(child.PortOutbound),
					record:  r,
				}
				defer k.close()
				for count := 0; time.Now().Before(until); count++ {
					booking := n%2 == 0
					method, path, deadline := http.MethodGet, "/lookup/x", 2500*time.Millisecond
					if booking {
						method, path, deadline = http.MethodPost, "/booking/x", 3*time.Second
					}
					id := fmt.Sprintf("c%d-%d-%d", i, n, count)
					o := k.do(method, path, id, nil, deadline)
					switch ran := r.runsOf(id); {
					case o.err == nil && o.status == http.StatusOK:
						answered.Add(1)
					case o.err != nil && o.kept && o.closed && booking && len(ran) > 0:
						lost.Add(1)
						r.note("lost      %s, passed on to the sound backend %v", id, ran)
					case o.err != nil && !o.kept:
						<-time.After(100 * time.Millisecond)
					}
				}
			})
		}
	}
	clients.Wait()
	ends := 0
	for _, m := range w.machines {
		ends += m.selfEnds()
	}
	r.note("result    answered=%d garbled=%d lost=%d processes-ended=%d", answered.Load(), spoilt.Load(), lost.Load(), ends)
	if answered.Load() == 0 || trouble && spoilt.Load() == 0 {
		return false, fmt.Errorf("answered %d requests, garbled %d: the case did not run", answered.Load(), spoilt.Load())
	}
	return lost.Load() <= mostLost, nil
}
