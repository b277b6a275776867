package cyclam

import (
	"encoding/json"
	"testing"
)

// A store that returns from a copy gives revisions out again: a position of a newer era
// is later at any revision.
func TestPositionOrder(t *testing.T) {
	ascending := []Position{
		{},
		{Era: 0, Revision: 7},
		{Era: 1, Revision: 0},
		{Era: 1, Revision: 900},
		{Era: 2, Revision: 3},
		{Era: 2, Revision: 4},
		{Era: 10, Revision: 1},
	}
	for i, a := range ascending {
		for j, b := range ascending {
			want := 0
			switch {
			case i < j:
				want = -1
			case i > j:
				want = 1
			}
			if got := a.Compare(b); got != want {
				t.Errorf("%v compared with %v: got %d, want %d", a, b, got, want)
			}
			if got, want := a.Before(b), i < j; got != want {
				t.Errorf("%v before %v: got %t, want %t", a, b, got, want)
			}
		}
	}
	if got, want := AtRevision(0).IsZero(), true; got != want {
		t.Errorf("position without a revision is zero: got %t, want %t", got, want)
	}
}

// Files and stores written before there were eras must read and write the same.
func TestPositionInObjects(t *testing.T) {
	tests := []struct {
		name string
		at   Position
		want string
	}{
		{name: "new", at: Position{}, want: `{"kind":"route","name":"a","spec":{}}`},
		{name: "no era", at: AtRevision(7), want: `{"kind":"route","name":"a","revision":7,"spec":{}}`},
		{name: "era", at: Position{Era: 2, Revision: 7}, want: `{"kind":"route","name":"a","era":2,"revision":7,"spec":{}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := json.Marshal(Object{
				Kind:     KindRoute,
				Name:     "a",
				Position: test.at,
				Spec:     json.RawMessage(`{}`),
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := string(data); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
			var read Object
			if err := json.Unmarshal(data, &read); err != nil {
				t.Fatal(err)
			}
			if got, want := read.Position, test.at; got != want {
				t.Errorf("read back: got %v, want %v", got, want)
			}
		})
	}
}
