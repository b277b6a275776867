package tally

import (
	"testing"
	"testing/synctest"
	"time"
)

// The highest count must be that of the fullest span, whenever it begins, and must leave out
// what came before the time asked for.
func TestArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Arrivals{}
		if got := a.Most(time.Time{}, time.Second); got != 0 {
			t.Errorf("without arrivals: got %d, want 0", got)
		}
		began := time.Now()
		for _, pause := range []time.Duration{0, 0, 0, 0, 900, 300, 300, 300, 5000} {
			<-time.After(pause * time.Millisecond)
			a.Add("m1")
		}
		a.Add("m2")
		for _, c := range []struct {
			name  string
			begin time.Duration
			span  time.Duration
			want  int
		}{
			{
				name: "all at once",
				span: time.Second,
				want: 5,
			},
			{
				name:  "after the first ones",
				begin: time.Millisecond,
				span:  time.Second,
				want:  4,
			},
			{
				name:  "short span",
				begin: time.Millisecond,
				span:  300 * time.Millisecond,
				want:  2,
			},
			{
				name: "long span",
				span: 10 * time.Second,
				want: 10,
			},
			{
				name:  "past the end",
				begin: time.Minute,
				span:  time.Second,
				want:  0,
			},
		} {
			if got := a.Most(began.Add(c.begin), c.span); got != c.want {
				t.Errorf("%s: got %d, want %d", c.name, got, c.want)
			}
		}
		if got, want := a.Since(began.Add(time.Millisecond)), 6; got != want {
			t.Errorf("since: got %d, want %d", got, want)
		}
		if got, want := a.SinceExcept(began, "m1"), 1; got != want {
			t.Errorf("of other machines: got %d, want %d", got, want)
		}
	})
}

func TestLimitBound(t *testing.T) {
	if got, want := LimitBound(48.2), 294; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
