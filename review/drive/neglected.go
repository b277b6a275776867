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
	// steadyFor is how long the requests are counted.
	steadyFor = 25 * time.Second
)

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
