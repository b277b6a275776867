// Package router finds the route of a request and the service that takes it, and
// splits the requests of a route over weighted services. A table is built for each
// configuration and consulted for each request. Package proxy uses it under
// "cyclamensaddle sidecar"; under "cyclamensaddle node", package egress routes calls
// by the objects of package conf.
package router

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/teams"
)

// Table looks up the routes and services of one configuration; it is immutable.
type Table struct {
	Config cyclam.Config
	// Teams finds the teams of callers; nil if the configuration has none.
	Teams    *teams.Registry
	hosts    map[string][]cyclam.Route
	services map[cyclam.ServiceName]cyclam.Service
}

// New returns the table of a configuration.
func New(config cyclam.Config) *Table {
	t := &Table{
		Config:   config,
		hosts:    map[string][]cyclam.Route{},
		services: map[cyclam.ServiceName]cyclam.Service{},
	}
	for _, r := range config.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b cyclam.Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	return t
}

// WithTeams returns the table with the registry of the configuration's teams.
func (t *Table) WithTeams(r *teams.Registry) *Table {
	next := *t
	next.Teams = r
	return &next
}

// Lookup returns the route of a host with the longest matching path prefix. Routes
// without a host are used if no route of the host matches.
func (t *Table) Lookup(host, path string) (cyclam.Route, bool) {
	if r, ok := firstMatch(t.hosts[hostname(host)], path); ok {
		return r, true
	}
	return firstMatch(t.hosts[""], path)
}

// Service returns a service that the configuration declares; false means that it
// declares none of that name.
func (t *Table) Service(name cyclam.ServiceName) (cyclam.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// firstMatch returns the first route whose path prefix matches. The routes are
// sorted by descending prefix length, so this is the longest match.
func firstMatch(routes []cyclam.Route, path string) (cyclam.Route, bool) {
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return cyclam.Route{}, false
}

// hostname returns a Host header without its port, in lower case.
func hostname(host string) string {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		host = host[:at]
	}
	return strings.ToLower(host)
}
