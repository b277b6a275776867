// Package eras keeps the highest era of a store that has been seen. The store starts a
// new era when it returns from an older copy of itself. Package platform tracks the eras
// of the store's answers, and package proxy also those that other nodes report.
package eras

import "sync"

// Tracker keeps the highest era seen; the zero value has seen none.
type Tracker struct {
	mu    sync.Mutex
	known uint64
	// risen is closed when known rises.
	risen chan struct{}
}

// Current returns the highest era seen and a channel that is closed when it rises.
func (t *Tracker) Current() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.risen == nil {
		t.risen = make(chan struct{})
	}
	return t.known, t.risen
}

// Raise records an era and reports whether it is higher than all before.
func (t *Tracker) Raise(era uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.known {
		return false
	}
	t.known = era
	if t.risen != nil {
		close(t.risen)
		t.risen = nil
	}
	return true
}
