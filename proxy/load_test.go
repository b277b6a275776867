package proxy

import (
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// A rate limit, and whether one is known, must reach other nodes as it is.
func TestLoadCarriesRateLimit(t *testing.T) {
	for _, limit := range []cyclam.RateLimit{{}, cyclam.NoRateLimit(), cyclam.RateLimitOf(0), cyclam.RateLimitOf(6.4)} {
		want := cyclam.Load{
			Limit:      12,
			RateLimit:  limit,
			StartDelay: 90 * time.Millisecond,
		}
		told := notice{
			upstream: "u1",
			limit:    limit,
		}
		if got := decodeLoad(encodeLoad(want, 1, told.encode(time.Now()))); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
