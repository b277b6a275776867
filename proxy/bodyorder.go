package proxy

import "slices"

// A body of unknown length grows while it holds memory. Many that grow at a time could come to
// hold all memory, each waiting for more. So a body leaves the older ones room to double, and
// if all wait for each other, the youngest is refused at once.

// mayGrow reports whether some bytes leave the older bodies that grow room to double. Bodies
// without an order don't wait for others. The caller holds mu.
func (m *bodyMemory) mayGrow(s *bodyShare, bytes int64) bool {
	if s.order == 0 {
		return true
	}
	room := m.limit - m.held - bytes
	for o := range m.open {
		if o.order < s.order {
			room -= o.bytes
		}
	}
	return room >= 0
}

// setOpen says whether a body may still grow.
func (s *bodyShare) setOpen(open bool) {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if open {
		if m.open == nil {
			m.open = map[*bodyShare]struct{}{}
		}
		m.open[s] = struct{}{}
		return
	}
	delete(m.open, s)
	m.signalLocked()
}

// beginWait notes that a body waits for memory.
func (m *bodyMemory) beginWait(s *bodyShare) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.order == 0 || s.bytes == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(m.growing, s, func(a, b *bodyShare) int { return int(a.order) - int(b.order) })
	m.growing = slices.Insert(m.growing, at, s)
}

// endWait notes that a body no longer waits.
func (m *bodyMemory) endWait(s *bodyShare) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.growing = slices.DeleteFunc(m.growing, func(other *bodyShare) bool { return other == s })
	m.signalLocked()
}

// refuseYoungest refuses the youngest body that waits to grow if all that hold memory do, and
// reports whether that is s.
func (m *bodyMemory) refuseYoungest(s *bodyShare) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := len(m.growing)
	return waiting > 1 && waiting == m.holders && m.growing[waiting-1] == s
}

// signalLocked wakes all that wait for memory. The caller holds mu.
func (m *bodyMemory) signalLocked() {
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}
