package setup

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestSamples(t *testing.T) {
	for _, name := range []string{"harrowgate", "hanbit"} {
		_, faults, err := Read("../samples/" + name + "/node.json")
		if err != nil || len(faults) > 0 {
			t.Errorf("%s: got %v, %v, want good settings", name, faults, err)
		}
	}
}

// TestEveryFaultAtOnce breaks a sample in several places.
func TestEveryFaultAtOnce(t *testing.T) {
	data, err := os.ReadFile("../samples/harrowgate/node.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		`"region": "north",`, `"regoin": "north",`,
		`"slots": 12`, `"slots": 0`,
		`"queue-wait": "200ms"`, `"queue-wait": 200`,
		`"beat": "500ms"`, `"beat": "5s"`,
		`127.0.0.1:7001`, `localhost:7001`,
	).Replace(string(data))
	_, faults := Parse([]byte(text))
	want := []string{"region", "regoin", "upstream.slots", "upstream.queue-wait", "listen.data", "tuning.lapse"}
	for _, path := range want {
		found := false
		for _, fault := range faults {
			found = found || fault.Path == path
		}
		if !found {
			t.Errorf("got %v, want a fault at %s", faults, path)
		}
	}
}

func FuzzParse(f *testing.F) {
	data, _ := os.ReadFile("../samples/harrowgate/node.json")
	f.Add(data)
	f.Add([]byte(`{"listen":[1,{"a":null}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { Parse(data) })
}

func ExampleParse() {
	_, faults := Parse([]byte(`{"instance":"stockview-1","tuning":{"beat":"soon"}}`))
	for _, fault := range faults {
		if strings.HasPrefix(fault.Path, "tuning") {
			fmt.Println(fault.Path+":", fault.Reason)
		}
	}
	// Output: tuning.beat: got "soon", want a duration with a unit such as "250ms"
}
