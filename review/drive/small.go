package main

import (
	"fmt"
	"net/http"
	"time"
)

// The services and routes of the small deployment.
const (
	lookupService  = "stockview"
	bookingService = "cutorder"
	lookupPrefix   = "/lepu270/"
	bookingPrefix  = "/xapu221/"
)

const (
	// workTime is how long the backends work on a request, slots how many they run at once.
	workTime = 280 * time.Millisecond
	slots    = 12
	// lookupDeadline and bookingDeadline are how long the clients wait.
	lookupDeadline  = 2500 * time.Millisecond
	bookingDeadline = 3 * time.Second
	// bookingInterval and lookupInterval are the intervals of the requests on one machine. The
	// bookings keep 28 of the 36 slots of three backends busy.
	bookingInterval = 50 * time.Millisecond
	lookupInterval  = 250 * time.Millisecond
	// settleTime is the time from the readiness of all nodes until the traffic begins.
	settleTime = 4 * time.Second
)

// place is a machine and the service of the backend beside it.
type place struct {
	name    string
	zone    string
	service string
	// added is set for a machine that is added during the day.
	added bool
}

// smallLayout has two machines of the one service and three of the other.
var smallLayout = []place{
	{
		name:    "sidecar-north-a-1",
		zone:    "north-a",
		service: lookupService,
	},
	{
		name:    "sidecar-north-b-1",
		zone:    "north-b",
		service: bookingService,
	},
	{
		name:    "sidecar-south-a-1",
		zone:    "south-a",
		service: bookingService,
	},
	{
		name:    "sidecar-south-b-1",
		zone:    "south-b",
		service: bookingService,
	},
	{
		name:    "sidecar-north-a-2",
		zone:    "north-a",
		service: lookupService,
	},
}

// small is a deployment of a few machines with its traffic.
type small struct {
	*world
	ledger   *ledger
	backends []*backend
	clients  *clients
	quit     chan struct{}
}

// firstRoutes are the routes of the first configuration.
func firstRoutes() []route {
	return []route{
		{
			name:    "lookup",
			prefix:  lookupPrefix,
			kind:    "idempotent",
			service: lookupService,
			timeout: "1200ms",
		},
		{
			name:    "booking",
			prefix:  bookingPrefix,
			kind:    "non_idempotent",
			service: bookingService,
			timeout: "1500ms",
		},
	}
}

// newSmall starts a backend and a node on each machine.
func newSmall(w *world, layout []place) (*small, error) {
	d := &small{
		world:  w,
		ledger: &ledger{},
		clients: &clients{
			world: w,
		},
		quit: make(chan struct{}),
	}
	for _, at := range layout {
		if _, err := w.addMachine(at.name, at.zone, at.service); err != nil {
			return nil, err
		}
	}
	w.writeConfig(0x0c, []string{lookupService, bookingService, certService}, firstRoutes())
	d.backends = make([]*backend, len(layout))
	var present []*machine
	for i, at := range layout {
		if at.added {
			continue
		}
		present = append(present, w.machines[i])
		if err := d.bringUp(i); err != nil {
			return nil, err
		}
	}
	return d, w.startAll(present)
}

// bringUp starts the backend on a machine.
func (d *small) bringUp(i int) error {
	b, err := d.startBackend(d.machines[i], fmt.Sprintf("i-%04x", 0x1000+i), d.machines[i].service)
	d.backends[i] = b
	return err
}

// join adds a machine: it starts its node, and then its backend, which it returns.
func (d *small) join(i int) (*backend, error) {
	if err := d.startAll(d.machines[i : i+1]); err != nil {
		return nil, err
	}
	err := d.bringUp(i)
	return d.backends[i], err
}

// startBackend starts a backend at the address of a machine.
func (d *small) startBackend(m *machine, id, service string) (*backend, error) {
	return d.startBackendAt(m, id, service, time.Now())
}

// startBackendAt starts a backend whose clock shows a time.
func (d *small) startBackendAt(m *machine, id, service string, born time.Time) (*backend, error) {
	return startBackend(m, id, service, born, d.ledger)
}

// startTraffic sends bookings and lookups on each machine that is ready, one of each kind in
// each interval.
func (d *small) startTraffic(bookings, lookups time.Duration) {
	for _, m := range d.machines {
		d.clients.every(bookings, d.quit, func() {
			if m.isReady() {
				d.clients.send(m, http.MethodPost, bookingPrefix+"2f", bookingDeadline, "one booking")
			}
		})
		d.clients.every(lookups, d.quit, func() {
			if m.isReady() {
				d.clients.send(m, http.MethodGet, lookupPrefix+"2f", lookupDeadline, "")
			}
		})
	}
}

// stopTraffic ends the traffic and waits for the last answers.
func (d *small) stopTraffic() {
	close(d.quit)
	d.clients.wait.Wait()
}

// replies returns what the clients have got, by the id of the attempt.
func (d *small) replies() map[string]reply {
	found := map[string]reply{}
	for _, r := range d.clients.replies {
		found[r.attempt] = r
	}
	return found
}

// lateArrivals checks that no request has reached a leaving backend later than the drain time
// after the acknowledgement of its leaving, over a node that has been in touch, as the senders
// are.
func (d *small) lateArrivals(leaver *backend, acked time.Time) []string {
	replies := d.replies()
	count, cut, first := 0, 0, ""
	for _, a := range d.ledger.all() {
		after := a.at.Sub(acked)
		if a.backend != leaver || after <= drainTime || !leaver.machine.inTouch(a.at) {
			continue
		}
		sender := replies[a.attempt].machine
		if sender == nil || !sender.inTouch(replies[a.attempt].sentAt) {
			continue
		}
		count++
		if replies[a.attempt].status != http.StatusOK {
			cut++
		}
		if first == "" {
			first = fmt.Sprintf("%s from %s, %v after the acknowledgement", a.attempt, sender.name, after.Round(time.Millisecond))
		}
	}
	if count == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the acknowledgement of its leaving, by machines in touch; %d of them got no success; the first: %s", count, leaver.id, drainTime, cut, first)}
}
