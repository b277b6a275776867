package cyclam_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func ExampleSpan() {
	fmt.Println(cyclam.Span(1500, time.Millisecond), cyclam.Span(math.MaxInt64, time.Millisecond))
	// Output: 1.5s 87600h0m0s
}

// A number beyond the range of durations must not turn into a duration of the other sign.
func TestSpan(t *testing.T) {
	for count, want := range map[int64]time.Duration{
		0:                  0,
		1:                  time.Microsecond,
		-1:                 -time.Microsecond,
		math.MaxInt64:      cyclam.MaxSpan,
		math.MaxInt64 / 2:  cyclam.MaxSpan,
		math.MaxInt64 / 3:  cyclam.MaxSpan,
		math.MinInt64:      -cyclam.MaxSpan,
		math.MinInt64 + 1:  -cyclam.MaxSpan,
		math.MinInt64 / 17: -cyclam.MaxSpan,
	} {
		if got := cyclam.Span(count, time.Microsecond); got != want {
			t.Errorf("%d: got %v, want %v", count, got, want)
		}
	}
}
