package router

import (
	"fmt"
	"testing"

	cyclam "github.com/cyclamensaddle/cyclam"
)

func exampleTable() *Table {
	return New(cyclam.Config{
		Version: 7,
		Routes: []cyclam.Route{
			{
				Name:       "short",
				Host:       "a.example",
				PathPrefix: "/x/",
				Service:    "one",
			},
			{
				Name:       "long",
				Host:       "A.example",
				PathPrefix: "/x/y/",
				Service:    "two",
			},
			{
				Name:       "any",
				PathPrefix: "/any/",
				Service:    "three",
			},
		},
		Services: []cyclam.Service{
			{
				Name:       "one",
				HealthPath: "/health",
			},
		},
	})
}

func TestLookup(t *testing.T) {
	for _, c := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
		{"b.example", "/any/1", "any"},
		{"[::1]:80", "/any/1", "any"},
	} {
		r, _ := exampleTable().Lookup(c.host, c.path)
		if got := r.Name; got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if _, ok := exampleTable().Service("one"); !ok {
		t.Error("declared service: got false, want true")
	}
}

// Guards against a split that is right only on average: after each request, at any
// offset, the count of a service may differ from its share by at most one.
func TestSplitStaysWithinOneRequest(t *testing.T) {
	services := []cyclam.WeightedService{
		{
			Service: "a",
			Weight:  90,
		},
		{
			Service: "b",
			Weight:  10,
		},
	}
	for start := range 7 {
		s := NewSplit(services, start*13)
		counts := map[cyclam.ServiceName]int{}
		for i := 1; i <= 300; i++ {
			var service cyclam.ServiceName
			s, service = s.Next()
			counts[service]++
			want := float64(i) * 0.1
			if got := float64(counts["b"]); got > want+1 || got < want-1 {
				t.Fatalf("start %d, after %d requests: got %v for the service of weight 10, want %v within one", start, i, got, want)
			}
		}
	}
}

func TestSplitWithoutWeights(t *testing.T) {
	s := NewSplit([]cyclam.WeightedService{{Service: "a"}}, 3)
	if _, got := s.Next(); got != "" {
		t.Errorf("got %q, want no service", got)
	}
}

func ExampleTable_Lookup() {
	route, ok := exampleTable().Lookup("a.example", "/x/y/coils")
	fmt.Println(route.Name, ok)
	// Output: long true
}
