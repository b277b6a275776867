package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// reuseAfter is the time from the end of a backend until another one has its address.
	reuseAfter = addrReuse + 500*time.Millisecond
	// removedAfter is the time from then until the node gets SIGTERM.
	removedAfter = 2 * time.Second
)

// reusedAddress plays replace_with_reuse: a backend ends, and after addr_reuse a backend of
// another service has its address. It checks that no service runs requests of routes that
// never led to it.
func reusedAddress(w *world, trouble bool) ([]string, error) {
	d, err := newSmall(w, smallLayout)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	d.startTraffic(bookingInterval, lookupInterval)
	time.Sleep(5 * time.Second)
	m := d.machines[1]
	if trouble {
		d.backends[1].crash()
	}
	time.Sleep(reuseAfter)
	if trouble {
		if _, err := d.startBackend(m, "i-2fff", lookupService); err != nil {
			return nil, err
		}
	}
	time.Sleep(removedAfter)
	if trouble {
		// A node gets SIGTERM after its backend has terminated.
		m.signal(syscall.SIGTERM)
	}
	time.Sleep(graceTime)
	d.stopTraffic()
	return d.foreignRuns(), nil
}

// foreignRuns returns how many requests were run by a service that no configuration names for
// their route.
func (d *small) foreignRuns() []string {
	allowed := map[string]string{
		lookupPrefix:  lookupService,
		bookingPrefix: bookingService,
	}
	replies := d.replies()
	runs := d.ledger.all()
	count, succeeded, first := 0, 0, ""
	for _, a := range runs {
		for prefix, service := range allowed {
			if !strings.HasPrefix(a.path, prefix) || a.backend.service == service {
				continue
			}
			count++
			if replies[a.attempt].status == 200 {
				succeeded++
			}
			if first == "" {
				first = fmt.Sprintf("%s %s by %s of %s, Target-Instance %q", a.attempt, a.path, a.backend.id, a.backend.service, a.target)
			}
		}
	}
	if count == 0 {
		return nil
	}
	return []string{fmt.Sprintf("ROUTE: %d of %d runs by a service to which no configuration allows the request to go, %d of them answered with 200; the first: %s", count, len(runs), succeeded, first)}
}
