package cyclam_test

import (
	"errors"
	"fmt"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func TestEndpointNewer(t *testing.T) {
	base := cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    "a",
			Incarnation: 2,
		},
		Sequence: 5,
		State:    cyclam.EndpointReady,
	}
	restarted := base
	restarted.Incarnation, restarted.Sequence = 3, 1
	for name, test := range map[string]struct {
		e, o cyclam.Endpoint
		want bool
	}{
		"itself":              {base, base, false},
		"next sequence":       {base.WithNextSequence(), base, true},
		"earlier sequence":    {base, base.WithNextSequence(), false},
		"gone":                {base.WithState(cyclam.EndpointGone), base, true},
		"refuted":             {base.WithNextSequence(), base.WithState(cyclam.EndpointGone), true},
		"next incarnation":    {restarted, base.WithState(cyclam.EndpointGone), true},
		"earlier incarnation": {base.WithNextSequence(), restarted, false},
	} {
		if got := test.e.Newer(test.o); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

func ExamplePlacementRule_Allows() {
	rule := cyclam.PlacementRule{
		Service: "cutorder",
		Regions: []cyclam.Region{"north"},
	}
	fmt.Println(rule.Allows(cyclam.Locality{
		Region:     "north",
		DataCentre: "north-a",
	}))
	fmt.Println(rule.Allows(cyclam.Locality{
		Region:     "south",
		DataCentre: "south-a",
	}))
	// Output:
	// true
	// false
}

func ExampleAtStep() {
	err := cyclam.AtStep("put head/accepted", "127.0.0.1:8000", cyclam.ErrConflict)
	fmt.Println(err)
	fmt.Println(errors.Is(err, cyclam.ErrConflict))
	// Output:
	// put head/accepted at 127.0.0.1:8000: object was changed by another writer
	// true
}

// FuzzParseAttemptID checks that arbitrary text, such as the header of a faulty
// peer, is either refused or parsed to an id whose String is parsed to the same id.
func FuzzParseAttemptID(f *testing.F) {
	f.Add("stockview-1/17/4")
	f.Add("//")
	f.Fuzz(func(t *testing.T, text string) {
		id, ok := cyclam.ParseAttemptID(text)
		if !ok {
			return
		}
		if again, ok := cyclam.ParseAttemptID(id.String()); !ok || again != id {
			t.Errorf("got %v, want %v", again, id)
		}
	})
}
