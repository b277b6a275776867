package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// servesLonger is how much longer than the drain time a leaving backend serves.
	servesLonger = 500 * time.Millisecond
	// restartPause is the time from the exit of a node to its start, backendAfter that from
	// the start of a node to that of its backend.
	restartPause = 500 * time.Millisecond
	backendAfter = 300 * time.Millisecond
	// rollGap is the pause between the restarts of two machines.
	rollGap = 2 * time.Second
)

// returnedLayout has two machines of a service of its own.
var returnedLayout = []place{
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
		service: lookupService,
	},
	{
		name:    "sidecar-north-a-2",
		zone:    "north-a",
		service: lookupService,
	},
	{
		name:    "sidecar-south-b-2",
		zone:    "south-b",
		service: lookupService,
	},
}

// returnedBackend plays roll_term twice: the machines of a service are restarted in turn, each
// with its backend, which starts again under its id, and later their nodes alone. It checks that
// the requests of a route that was added later are served when all is calm again.
func returnedBackend(w *world, trouble bool) ([]string, error) {
	d, err := newSmall(w, returnedLayout)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	w.writeConfig(0x11, []string{lookupService, bookingService, certService}, append(firstRoutes(), route{
		name:    "certs",
		prefix:  certPrefix,
		kind:    "download",
		service: certService,
		timeout: "2400ms",
	}))
	for _, m := range d.machines {
		for _, path := range []string{certPrefix, lookupPrefix} {
			d.clients.every(lookupInterval, d.quit, func() {
				if m.isReady() {
					d.clients.send(m, http.MethodGet, path+"2f", lookupDeadline, "")
				}
			})
		}
	}
	time.Sleep(stableWindow)
	if trouble {
		if err := d.rollMachines(1, 2); err != nil {
			return nil, err
		}
	}
	time.Sleep(stableWindow)
	if trouble {
		if err := w.rollNodes(1, 2); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * stableWindow)
	from := time.Now()
	time.Sleep(steadyFor)
	d.stopTraffic()
	return d.neglected(from), nil
}

// rollMachines restarts machines in turn: a backend says that it leaves, serves on for the
// drain time and a little longer, and exits; its node is stopped then, and both start again.
func (d *small) rollMachines(indexes ...int) error {
	for _, i := range indexes {
		m, b := d.machines[i], d.backends[i]
		b.setDraining()
		if err := b.beat(); err != nil {
			return err
		}
		time.Sleep(drainTime + servesLonger)
		if err := b.deregister(); err != nil {
			return err
		}
		b.crash()
		if err := m.restart(); err != nil {
			return err
		}
		time.Sleep(backendAfter)
		next, err := d.startBackend(m, b.id, b.service)
		if err != nil {
			return err
		}
		d.backends[i] = next
		time.Sleep(rollGap)
	}
	return nil
}

// rollNodes restarts nodes in turn, beside their backends.
func (w *world) rollNodes(indexes ...int) error {
	for _, i := range indexes {
		if err := w.machines[i].restart(); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	return nil
}

// restart stops a node by SIGTERM, kills it at the end of the grace if it still runs, and
// starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(restartPause)
	return m.start()
}
