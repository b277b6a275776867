package router

import (
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Split shares a route's requests out by weight, evenly at every moment: each
// part's count stays within one request of its share. It is immutable.
type Split struct {
	shares  []cyclam.WeightedService
	credits []int
	total   int
}

// NewSplit returns a split that begins at a point given by start, so that nodes
// which begin together do not all take the same part first.
func NewSplit(shares []cyclam.WeightedService, start int) Split {
	s := Split{
		shares:  shares,
		credits: make([]int, len(shares)),
	}
	for _, share := range shares {
		s.total += share.Weight
	}
	if s.total <= 0 {
		return s
	}
	for range start % s.total {
		s, _ = s.Next()
	}
	return s
}

// Matches reports whether the split shares requests out over the given parts.
func (s Split) Matches(shares []cyclam.WeightedService) bool { return slices.Equal(s.shares, shares) }

// Next returns the following state and the service that takes the request; the
// service is empty if no part has a weight.
func (s Split) Next() (Split, cyclam.ServiceName) {
	if s.total <= 0 {
		return s, ""
	}
	credits := slices.Clone(s.credits)
	best := 0
	for i, share := range s.shares {
		credits[i] += share.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= s.total
	s.credits = credits
	return s, s.shares[best].Service
}
