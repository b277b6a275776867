package cyclam_test

import (
	"fmt"
	"math"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func ExampleRateLimit() {
	for _, r := range []cyclam.RateLimit{{}, cyclam.NoRateLimit(), cyclam.RateLimitOf(6.4)} {
		limit, limited := r.PerSecond()
		fmt.Println(r, r.Known(), limit, limited)
	}
	// Output:
	// unknown false 0 false
	// none true 0 false
	// 6.4 true 6.4 true
}

// A rate that no upstream can mean gives no limit.
func TestRateLimitOf(t *testing.T) {
	for rate, want := range map[float64]bool{
		0:            true,
		0.25:         true,
		48.2:         true,
		-1:           false,
		1e300:        false,
		math.Inf(1):  false,
		math.Inf(-1): false,
	} {
		if got := cyclam.RateLimitOf(rate).Known(); got != want {
			t.Errorf("%v is a limit: got %v, want %v", rate, got, want)
		}
	}
	if cyclam.RateLimitOf(math.NaN()).Known() {
		t.Error("NaN is a limit: got true, want false")
	}
}
