package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// certPrefix is the route that is added later, to a service of its own.
	certPrefix  = "/fiti832/"
	certService = "millcerts"
	// certWork is how long its backends work on a request, certInterval the interval of the
	// requests on one machine.
	certWork     = time.Second
	certInterval = 1100 * time.Millisecond
	// crashGap is the pause between two crashes, crashedFor how long a backend is down.
	crashGap   = 100 * time.Millisecond
	crashedFor = 2 * time.Second
	// steadyFor is how long the requests are counted.
	steadyFor = 25 * time.Second
)

// bannedRoute plays srv_crash on three backends, one after the other. It checks that the
// requests of a route that was added later are served when all is calm again.
func bannedRoute(w *world, trouble bool) ([]string, error) {
	layout := []place{
		{
			name:    "sidecar-north-a-1",
			zone:    "north-a",
			service: lookupService,
		},
		{
			name:    "sidecar-north-b-1",
			zone:    "north-b",
			service: certService,
		},
		{
			name:    "sidecar-south-a-1",
			zone:    "south-a",
			service: certService,
		},
		{
			name:    "sidecar-south-b-1",
			zone:    "south-b",
			service: certService,
		},
	}
	d, err := newSmall(w, layout)
	if err != nil {
		return nil, err
	}
	for _, b := range d.backends[1:] {
		b.work = certWork
	}
	time.Sleep(settleTime)
	w.writeConfig(0x11, []string{lookupService, bookingService, certService}, append(firstRoutes(), route{
		name:    "certs",
		prefix:  certPrefix,
		kind:    "download",
		service: certService,
		timeout: "2400ms",
	}))
	for i, m := range d.machines {
		d.clients.every(certInterval+time.Duration(i)*70*time.Millisecond, d.quit, func() {
			if m.isReady() {
				d.clients.send(m, http.MethodGet, certPrefix+"2f", lookupDeadline, "")
			}
		})
		d.clients.every(lookupInterval, d.quit, func() {
			if m.isReady() {
				d.clients.send(m, http.MethodGet, lookupPrefix+"2f", lookupDeadline, "")
			}
		})
		time.Sleep(certInterval / 4)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := d.crashInTurn(d.backends[1:]); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * stableWindow)
	from := time.Now()
	time.Sleep(steadyFor)
	d.stopTraffic()
	return d.neglected(from), nil
}

// crashInTurn lets backends crash one after the other while each of them runs a request, and
// starts them again.
func (d *small) crashInTurn(backends []*backend) error {
	for deadline := time.Now().Add(startLimit); ; {
		busy := 0
		for _, b := range backends {
			if b.runsOnFor(3 * crashGap) {
				busy++
			}
		}
		if busy == len(backends) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d backends are busy at a time", busy, len(backends))
		}
		time.Sleep(time.Millisecond)
	}
	for i, b := range backends {
		if i > 0 {
			time.Sleep(crashGap)
		}
		b.crash()
	}
	time.Sleep(crashedFor)
	for i, b := range backends {
		next, err := d.startBackend(b.machine, fmt.Sprintf("i-%04x", 0x4000+i), b.service)
		if err != nil {
			return err
		}
		next.work = certWork
	}
	return nil
}

// neglected compares the requests since a time on the route that was added later with those on
// the first routes.
func (d *small) neglected(from time.Time) []string {
	sent, served := map[string]int{}, map[string]int{}
	for _, r := range d.clients.replies {
		if r.sentAt.Before(from) || !r.machine.inTouch(r.sentAt) {
			continue
		}
		prefix := "/" + strings.Split(r.path, "/")[1] + "/"
		sent[prefix]++
		if r.status == http.StatusOK {
			served[prefix]++
		}
	}
	d.note("in steady state: %v sent, %v served", sent, served)
	share := func(prefix string) float64 { return float64(served[prefix]) / float64(max(1, sent[prefix])) }
	if sent[certPrefix] >= 20 && share(certPrefix) < share(lookupPrefix)/4 {
		return []string{fmt.Sprintf("CONFIG: %d of %d requests on the route that was added later are served, %d of %d on the first one", served[certPrefix], sent[certPrefix], served[lookupPrefix], sent[lookupPrefix])}
	}
	return nil
}
