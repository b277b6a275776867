package cyclam

import "time"

// MaxSpan bounds durations that messages and header fields state. A time that is shifted by it
// stays in the range of times.
const MaxSpan = 10 * 365 * 24 * time.Hour

// Span returns the duration of count units, at most MaxSpan in either direction, whatever the
// count.
func Span(count int64, unit time.Duration) time.Duration {
	most := int64(MaxSpan / unit)
	switch {
	case count > most:
		return MaxSpan
	case count < -most:
		return -MaxSpan
	default:
		return time.Duration(count) * unit
	}
}
