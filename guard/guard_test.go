package guard

import (
	"slices"
	"testing"
	"time"
)

// A crowd that holds connections must go before callers that wait between requests, those
// before requests without progress, and a request under way never.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(p Phase, d time.Duration) Client {
		return Client{
			Phase: p,
			Since: now.Add(-d),
		}
	}
	clients := []Client{
		ago(PhaseServing, time.Minute),
		ago(PhaseReading, 3*time.Second),
		ago(PhaseSending, 4*time.Second),
		ago(PhaseSending, Patience-1),
		ago(PhaseReading, Patience-1),
		ago(PhaseIdle, 10*time.Second),
		ago(PhaseIdle, 12*time.Second),
		ago(PhaseUnused, FirstBytes),
		ago(PhaseUnused, time.Second),
		ago(PhaseUnused, FirstBytes-1),
	}
	got, want := Order(clients, now), []int{8, 7, 6, 5, 2, 1}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Only clients that hold a request back are given up for memory.
func TestStalled(t *testing.T) {
	now := time.Unix(1000, 0)
	for phase, want := range map[Phase]bool{
		PhaseServing: false,
		PhaseUnused:  false,
		PhaseIdle:    false,
		PhaseSending: true,
		PhaseReading: true,
	} {
		c := Client{
			Phase: phase,
			Since: now.Add(-Patience),
		}
		if got := c.Stalled(now); got != want {
			t.Errorf("%v: got %v, want %v", phase, got, want)
		}
	}
}

// The limits together must leave room for the program itself, and for descriptors of other
// uses.
func TestLimitsLeaveRoom(t *testing.T) {
	const own = 40 << 20
	for _, m := range []struct {
		memory      int64
		descriptors int
	}{
		{memory: 184 << 20, descriptors: 4100},
		{memory: 284 << 20, descriptors: 4100},
	} {
		l := LimitsOf(m.memory, m.descriptors)
		used := l.Bodies + l.SmallBodies + l.Heads + l.Answers + int64(l.Callers)*connBytes
		if left := m.memory - used; left < own {
			t.Errorf("memory left of %d: got %d, want at least %d", m.memory, left, own)
		}
		if left := m.descriptors - reservedFiles - l.Callers - l.Peers - 3*l.Interface; left < m.descriptors/10 {
			t.Errorf("descriptors left of %d: got %d, want at least %d", m.descriptors, left, m.descriptors/10)
		}
	}
}

// A head of usual size is not counted; one of very many short fields is, and so is one of few long
// ones.
func TestHeadMemory(t *testing.T) {
	if got := HeadMemory(2000, 40); got != 0 {
		t.Errorf("usual head: got %d, want 0", got)
	}
	if got, least := HeadMemory(16<<10, 4<<10), int64(1<<20); got < least {
		t.Errorf("many short fields: got %d, want at least %d", got, least)
	}
	if got, least := HeadMemory(14<<10, 10), int64(64<<10); got < least {
		t.Errorf("few long fields: got %d, want at least %d", got, least)
	}
}
