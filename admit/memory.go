package admit

import (
	"hash/maphash"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// generations remembers entries for at least one rotation and at most two.
type generations[K comparable, V any] struct {
	recent *immutable.Map[K, V]
	older  *immutable.Map[K, V]
	hasher immutable.Hasher[K]
	turned time.Time
}

func newGenerations[K comparable, V any](hasher immutable.Hasher[K], now time.Time) generations[K, V] {
	return generations[K, V]{
		recent: immutable.NewMap[K, V](hasher),
		older:  immutable.NewMap[K, V](hasher),
		hasher: hasher,
		turned: now,
	}
}

func (g generations[K, V]) get(key K) (V, bool) {
	if v, ok := g.recent.Get(key); ok {
		return v, true
	}
	return g.older.Get(key)
}

func (g generations[K, V]) with(key K, value V) generations[K, V] {
	g.recent = g.recent.Set(key, value)
	return g
}

func (g generations[K, V]) without(key K) generations[K, V] {
	g.recent = g.recent.Delete(key)
	g.older = g.older.Delete(key)
	return g
}

// turn drops the older generation and returns it.
func (g generations[K, V]) turn(now time.Time) (generations[K, V], *immutable.Map[K, V]) {
	dropped := g.older
	g.older = g.recent
	g.recent = immutable.NewMap[K, V](g.hasher)
	g.turned = now
	return g, dropped
}

// forget drops old attempts and keys. What is dropped raises the sender's mark,
// below which an attempt that arrives is never started.
func (s State) forget(now time.Time) State {
	if now.Sub(s.attempts.turned) >= s.Tuning.AttemptTTL {
		s = s.forgetAttempts(now)
	}
	if now.Sub(s.keys.turned) >= s.Tuning.KeyTTL {
		s = s.forgetKeys(now)
	}
	return s
}

func (s State) forgetAttempts(now time.Time) State {
	attempts, dropped := s.attempts.turn(now)
	s.attempts = attempts
	for it := dropped.Iterator(); !it.Done(); {
		attempt, old, _ := it.Next()
		if r, kept := s.attempts.get(attempt); kept {
			old = r
		}
		if old.phase == phaseQueued || old.phase == phaseRunning {
			s.attempts = s.attempts.with(attempt, old)
			continue
		}
		if mark, _ := s.marks.Get(attempt.Sender); attempt.Number > mark {
			s.marks = s.marks.Set(attempt.Sender, attempt.Number)
		}
	}
	return s
}

func (s State) forgetKeys(now time.Time) State {
	keys, dropped := s.keys.turn(now)
	s.keys = keys
	for it := dropped.Iterator(); !it.Done(); {
		key, old, _ := it.Next()
		if _, kept := s.keys.get(key); !kept && old.running {
			s.keys = s.keys.with(key, old)
		}
	}
	return s
}

var seed = maphash.MakeSeed()

type attemptHash struct{}

func (attemptHash) Hash(a cyclam.AttemptID) uint32 {
	return identityHash{}.Hash(a.Sender) ^ uint32(a.Number*0x9e3779b1)
}

func (attemptHash) Equal(a, b cyclam.AttemptID) bool { return a == b }

type identityHash struct{}

func (identityHash) Hash(i cyclam.Identity) uint32 {
	return uint32(maphash.String(seed, string(i.Instance))) ^ uint32(i.Incarnation)
}

func (identityHash) Equal(a, b cyclam.Identity) bool { return a == b }
