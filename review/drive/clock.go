package main

import (
	"slices"
	"time"
)

const (
	// clockStep is by how much the time of day jumps back.
	clockStep = 2400 * time.Millisecond
	// crashAfter is the time from the start of the backend to its crash, crashDown how long it
	// is down then.
	crashAfter = time.Second
	crashDown  = 800 * time.Millisecond
	// leavesLater is the time from its second start until it leaves.
	leavesLater = 8 * time.Second
	// drainsFor is how long the leaving backend serves after the acknowledgement.
	drainsFor = 10 * time.Second
)

// steppedBack plays clock_step and srv_crash: a machine is added whose backend crashes soon
// after its start, and starts again under its id after the time of day has jumped back. It
// checks that no request reaches the backend later than the drain time after the
// acknowledgement of its leaving.
func steppedBack(w *world, trouble bool) ([]string, error) {
	layout := slices.Clone(smallLayout)
	layout[1].added = true
	d, err := newSmall(w, layout)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	d.startTraffic(bookingInterval, lookupInterval)
	time.Sleep(time.Second)
	leaver, err := d.join(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(crashAfter)
	if trouble {
		w.note("the time of day on %s jumps back by %v", leaver.machine.name, clockStep)
		leaver.crash()
		time.Sleep(crashDown)
		leaver.machine.disturb()
		if leaver, err = d.startBackendAt(leaver.machine, leaver.id, leaver.service, time.Now().Add(-clockStep)); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(crashDown)
	}
	time.Sleep(leavesLater)
	leaver.setDraining()
	if err := leaver.beat(); err != nil {
		return nil, err
	}
	acked := time.Now()
	w.note("backend %s has the acknowledgement of its draining", leaver.id)
	time.Sleep(drainsFor)
	_ = leaver.deregister()
	leaver.crash()
	time.Sleep(time.Second)
	d.stopTraffic()
	return d.lateArrivals(leaver, acked), nil
}
