package proxy

import (
	"math"
	"testing"
)

func TestGCPercent(t *testing.T) {
	tests := []struct {
		name  string
		cores float64
		want  int
	}{
		{
			name: "unknown",
			want: 40,
		},
		{
			name:  "no number",
			cores: math.NaN(),
			want:  40,
		},
		{
			name:  "negative",
			cores: -1,
			want:  40,
		},
		{
			name:  "sixteenth",
			cores: 0.0625,
			want:  400,
		},
		{
			name:  "sixth",
			cores: 0.16,
			want:  200,
		},
		{
			name:  "third",
			cores: 0.32,
			want:  100,
		},
		{
			name:  "most of a core",
			cores: 0.8,
			want:  40,
		},
		{
			name:  "eight cores",
			cores: 8,
			want:  40,
		},
		{
			name:  "endless",
			cores: math.Inf(1),
			want:  40,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := gcPercent(test.cores); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// Collections must leave a node with a small share of a core its processor time. This is
// arithmetic on an assumed load, no replay: nothing is allocated or collected.
func TestCollectionsOnASmallShare(t *testing.T) {
	const (
		live = 10 << 20
		// allocated is what requests allocate in a second, in bytes.
		allocated = 12 << 20
		// mark is the processor time of a collection for a live byte, in seconds.
		mark = 1e-9
		most = 0.1
	)
	for _, cores := range []float64{0.1, 0.16, 0.32, 0.5, 0.8, 1, 2} {
		collections := float64(allocated) / (live * float64(gcPercent(cores)) / 100)
		if got := collections * live * mark / cores; got > most {
			t.Errorf("%v cores: collections take %.2f of the processor, want at most %.2f", cores, got, most)
		}
	}
}
