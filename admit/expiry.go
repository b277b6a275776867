package admit

import (
	"hash/maphash"
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
)

// generationalMap is an immutable map whose entries expire by rotation of two
// generations: an entry is kept for at least one rotation period and at most two.
type generationalMap[K comparable, V any] struct {
	recent    *immutable.Map[K, V]
	older     *immutable.Map[K, V]
	hasher    immutable.Hasher[K]
	rotatedAt time.Time
}

func newGenerationalMap[K comparable, V any](hasher immutable.Hasher[K], now time.Time) generationalMap[K, V] {
	return generationalMap[K, V]{
		recent:    immutable.NewMap[K, V](hasher),
		older:     immutable.NewMap[K, V](hasher),
		hasher:    hasher,
		rotatedAt: now,
	}
}

func (g generationalMap[K, V]) get(key K) (V, bool) {
	if v, ok := g.recent.Get(key); ok {
		return v, true
	}
	return g.older.Get(key)
}

func (g generationalMap[K, V]) with(key K, value V) generationalMap[K, V] {
	g.recent = g.recent.Set(key, value)
	return g
}

func (g generationalMap[K, V]) without(key K) generationalMap[K, V] {
	g.recent = g.recent.Delete(key)
	g.older = g.older.Delete(key)
	return g
}

// rotate starts a new generation and returns the dropped older one.
func (g generationalMap[K, V]) rotate(now time.Time) (generationalMap[K, V], *immutable.Map[K, V]) {
	dropped := g.older
	g.older = g.recent
	g.recent = immutable.NewMap[K, V](g.hasher)
	g.rotatedAt = now
	return g, dropped
}

// withExpired drops expired records of attempts and keys. Each dropped attempt
// raises its sender's watermark; attempts at or below the watermark never start.
func (s State) withExpired(now time.Time) State {
	if now.Sub(s.attempts.rotatedAt) >= s.Tuning.AttemptTTL {
		s = s.withExpiredAttempts(now)
	}
	if now.Sub(s.keys.rotatedAt) >= s.Tuning.KeyTTL {
		s = s.withExpiredKeys(now)
	}
	return s
}

func (s State) withExpiredAttempts(now time.Time) State {
	attempts, dropped := s.attempts.rotate(now)
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
		if watermark, _ := s.watermarks.Get(attempt.Sender); attempt.Number > watermark {
			s.watermarks = s.watermarks.Set(attempt.Sender, attempt.Number)
		}
	}
	return s
}

func (s State) withExpiredKeys(now time.Time) State {
	keys, dropped := s.keys.rotate(now)
	s.keys = keys
	for it := dropped.Iterator(); !it.Done(); {
		key, old, _ := it.Next()
		if _, kept := s.keys.get(key); !kept && old.running {
			s.keys = s.keys.with(key, old)
		}
	}
	return s
}

var hashSeed = maphash.MakeSeed()

type attemptHasher struct{}

func (attemptHasher) Hash(a cyclam.AttemptID) uint32 {
	return identityHasher{}.Hash(a.Sender) ^ uint32(a.Number*0x9e3779b1)
}

func (attemptHasher) Equal(a, b cyclam.AttemptID) bool { return a == b }

type identityHasher struct{}

func (identityHasher) Hash(i cyclam.Identity) uint32 {
	return uint32(maphash.String(hashSeed, string(i.Instance))) ^ uint32(i.Incarnation)
}

func (identityHasher) Equal(a, b cyclam.Identity) bool { return a == b }
