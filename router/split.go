package router

import (
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Split distributes the requests of a route over services by smooth weighted round
// robin: the count of each service stays within one request of its share at any
// moment. It is immutable.
type Split struct {
	services []cyclam.WeightedService
	credits  []int
	total    int
}

// NewSplit returns a split advanced by offset requests, so that nodes that start
// together do not all pick the same service first.
func NewSplit(services []cyclam.WeightedService, offset int) Split {
	s := Split{
		services: services,
		credits:  make([]int, len(services)),
	}
	for _, service := range services {
		s.total += service.Weight
	}
	if s.total <= 0 {
		return s
	}
	for range offset % s.total {
		s, _ = s.Next()
	}
	return s
}

// Matches reports whether the split distributes requests over the given services
// and weights.
func (s Split) Matches(services []cyclam.WeightedService) bool {
	return slices.Equal(s.services, services)
}

// Next returns the following state and the service that takes the request; the
// service is empty if all weights are zero.
func (s Split) Next() (Split, cyclam.ServiceName) {
	if s.total <= 0 {
		return s, ""
	}
	credits := slices.Clone(s.credits)
	best := 0
	for i, service := range s.services {
		credits[i] += service.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= s.total
	s.credits = credits
	return s, s.services[best].Service
}
