package cyclam

import "time"

// Rand is the state of a pseudo-random generator. It is immutable, so that
// decisions can be replayed.
type Rand uint64

// Next returns the next state and a pseudo-random number (SplitMix64).
func (r Rand) Next() (Rand, uint64) {
	r += 0x9e3779b97f4a7c15
	z := uint64(r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return r, z ^ (z >> 31)
}

// IntN returns the next state and a number in [0, n).
func (r Rand) IntN(n int) (Rand, int) {
	r, x := r.Next()
	return r, int(x % uint64(n))
}

// Jitter returns the next state and a duration in [d/2, d].
func (r Rand) Jitter(d time.Duration) (Rand, time.Duration) {
	r, x := r.Next()
	half := uint64(d/2) + 1
	return r, d/2 + time.Duration(x%half)
}
