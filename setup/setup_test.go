package setup

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestSamples(t *testing.T) {
	for _, name := range []string{"harrowgate", "hanbit"} {
		_, fieldErrs, err := Read("../samples/" + name + "/node.json")
		if err != nil || len(fieldErrs) > 0 {
			t.Errorf("%s: got %v, %v, want no errors", name, fieldErrs, err)
		}
	}
}

// TestParseReportsAllErrors checks that several errors in one file, of syntax,
// range and relation between fields, are reported together.
func TestParseReportsAllErrors(t *testing.T) {
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
	_, fieldErrs := Parse([]byte(text))
	want := []string{"region", "regoin", "upstream.slots", "upstream.queue-wait", "listen.data", "tuning.lapse"}
	for _, path := range want {
		found := false
		for _, fieldErr := range fieldErrs {
			found = found || fieldErr.Path == path
		}
		if !found {
			t.Errorf("got %v, want an error at %s", fieldErrs, path)
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
	_, fieldErrs := Parse([]byte(`{"instance":"stockview-1","tuning":{"beat":"soon"}}`))
	for _, fieldErr := range fieldErrs {
		if strings.HasPrefix(fieldErr.Path, "tuning") {
			fmt.Println(fieldErr.Path+":", fieldErr.Reason)
		}
	}
	// Output: tuning.beat: got "soon", want a duration with a unit such as "250ms"
}
