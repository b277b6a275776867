package intent

import (
	"testing"
	"time"
)

func TestWord(t *testing.T) {
	ago := func(d time.Duration) time.Time { return epoch.Add(-d) }
	tests := []struct {
		name   string
		word   Word
		allows bool
		askDue bool
	}{
		{
			name:   "sender that can't be asked",
			allows: true,
		},
		{
			name:   "just sent",
			word:   Received(epoch, ago(10*time.Millisecond)),
			allows: true,
		},
		{
			name:   "some time ago",
			word:   Received(epoch, ago(200*time.Millisecond)),
			allows: true,
			askDue: true,
		},
		{
			name:   "asked",
			word:   Received(epoch, ago(200*time.Millisecond)).WithQuestion(ago(10 * time.Millisecond)),
			allows: true,
		},
		{
			name:   "too long on the way",
			word:   Received(epoch, ago(450*time.Millisecond)),
			askDue: true,
		},
		{
			name:   "asked in vain",
			word:   Received(ago(time.Second), ago(time.Second)).WithQuestion(ago(200 * time.Millisecond)),
			askDue: true,
		},
		{
			name:   "answered",
			word:   Received(ago(time.Second), ago(time.Second)).With(epoch, ago(50*time.Millisecond)),
			allows: true,
		},
		{
			name:   "older answer after a newer one",
			word:   Received(epoch, ago(50*time.Millisecond)).With(epoch, ago(time.Second)),
			allows: true,
		},
		{
			name:   "time on the way not known",
			word:   Received(epoch, time.Time{}),
			askDue: true,
		},
		{
			name:   "sent in the future",
			word:   Received(epoch, epoch.Add(time.Second)),
			askDue: true,
		},
		{
			name:   "answered in the future",
			word:   Received(epoch, time.Time{}).With(epoch, epoch.Add(time.Second)),
			askDue: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.word.Allows(epoch); got != test.allows {
				t.Errorf("allows: got %t, want %t", got, test.allows)
			}
			if got := test.word.AskDue(epoch); got != test.askDue {
				t.Errorf("ask due: got %t, want %t", got, test.askDue)
			}
		})
	}
}
