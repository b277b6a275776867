// Package router finds the route of a request and the service that takes it.
package router

import (
	"slices"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Table answers look-ups for one configuration; it is immutable.
type Table struct {
	Config   cyclam.Config
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

// Lookup returns the route of a host whose path prefix is the longest match.
// A route without a host is taken where no route of the host matches.
func (t *Table) Lookup(host, path string) (cyclam.Route, bool) {
	if r, ok := longest(t.hosts[hostname(host)], path); ok {
		return r, true
	}
	return longest(t.hosts[""], path)
}

// Service returns a declared service.
func (t *Table) Service(name cyclam.ServiceName) (cyclam.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

func longest(routes []cyclam.Route, path string) (cyclam.Route, bool) {
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return cyclam.Route{}, false
}

// hostname returns a Host field without its port, in lower case.
func hostname(host string) string {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		host = host[:at]
	}
	return strings.ToLower(host)
}
