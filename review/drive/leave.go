package main

import (
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/mstore"
)

const (
	// storeDown is how long the store is down.
	storeDown = 4500 * time.Millisecond
	// leavesAfter is the time from its failure until the backend leaves, killedAfter the
	// time from the acknowledgement until the nodes are killed.
	leavesAfter = 500 * time.Millisecond
	killedAfter = time.Second
	// killDown is the time from the kill of the nodes to their start.
	killDown = 800 * time.Millisecond
	// lateBy is how late a heartbeat arrives.
	lateBy = 2500 * time.Millisecond
	// servesOn is how long the leaving backend serves after the acknowledgement.
	servesOn = 14 * time.Second
)

// deregister says that the backend leaves, and ends its heartbeats.
func (b *backend) deregister() error {
	b.mu.Lock()
	b.quiet, b.draining = true, true
	b.mu.Unlock()
	data, err := json.Marshal(map[string]int64{
		"born": b.born.UnixMilli(),
	})
	if err != nil {
		return err
	}
	return b.post("deregister", data)
}

// failStore lets the store answer every call with 503 for a time.
func (w *world) failStore(span time.Duration) {
	w.store.SetFault(mstore.Fault{
		Status: http.StatusServiceUnavailable,
		Era:    mstore.EraMissing,
	})
	w.setStoreCalm(time.Now().Add(span))
	w.note("the store is down for %v: it answers 503", span)
	time.AfterFunc(span, func() {
		w.store.SetFault(mstore.Fault{Era: mstore.EraMissing})
		w.note("the store is back")
	})
}

// killAll kills all nodes at once and starts them again.
func (w *world) killAll(down time.Duration) error {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range w.machines {
		<-m.exited
	}
	time.Sleep(down)
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// forgottenLeave plays herd_kill while the store is down: a backend deregisters, and the nodes
// are killed after that has been acknowledged. It checks that no request reaches the backend
// later than the drain time after the acknowledgement.
func forgottenLeave(w *world, trouble bool) ([]string, error) {
	d, err := newSmall(w, smallLayout)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	d.startTraffic(bookingInterval, lookupInterval)
	time.Sleep(3 * time.Second)
	if trouble {
		w.failStore(storeDown)
	}
	time.Sleep(leavesAfter)
	leaver := d.backends[1]
	late := leaver.beatBody()
	w.note("backend %s sends a heartbeat that arrives in %v: %s", leaver.id, lateBy, late)
	arrival := time.After(lateBy)
	if err := leaver.deregister(); err != nil {
		return nil, err
	}
	acked := time.Now()
	w.note("backend %s has the acknowledgement of its leaving", leaver.id)
	time.Sleep(killedAfter)
	if trouble {
		if err := w.killAll(killDown); err != nil {
			return nil, err
		}
	}
	<-arrival
	w.note("the late heartbeat of backend %s arrives", leaver.id)
	_ = leaver.post("heartbeat", late)
	time.Sleep(servesOn - time.Since(acked))
	leaver.crash()
	time.Sleep(time.Second)
	d.stopTraffic()
	return d.lateArrivals(leaver, acked), nil
}
