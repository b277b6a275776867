package intent

import (
	"testing"
	"time"
)

func TestSentAt(t *testing.T) {
	const remaining = time.Second
	recent := epoch.Add(-300 * time.Millisecond)
	tests := []struct {
		name   string
		stated time.Time
		want   time.Time
	}{
		{
			name:   "recent",
			stated: recent,
			want:   recent,
		},
		{
			name: "not stated",
		},
		{
			name:   "in the future",
			stated: epoch.Add(time.Millisecond),
		},
		{
			name:   "past the deadline",
			stated: epoch.Add(-remaining),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := SentAt(epoch, test.stated, remaining); !got.Equal(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	const remaining = time.Second
	tests := []struct {
		name   string
		sentAt time.Time
		want   time.Time
	}{
		{
			name:   "time on the way is taken off",
			sentAt: epoch.Add(-300 * time.Millisecond),
			want:   epoch.Add(700 * time.Millisecond),
		},
		{
			name: "not known",
			want: epoch.Add(remaining),
		},
		{
			name:   "in the future",
			sentAt: epoch.Add(time.Minute),
			want:   epoch.Add(remaining),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Deadline(epoch, test.sentAt, remaining); !got.Equal(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
