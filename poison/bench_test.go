package poison

import (
	"fmt"
	"testing"
)

// BenchmarkVerdict measures what judging a request costs while crashes are remembered.
func BenchmarkVerdict(b *testing.B) {
	var table Table
	for i := range maxRecords {
		table = table.WithCrash(epoch, "a", []Fingerprint{fingerprint(fmt.Sprint("/other/", i))})
	}
	body := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		table.Verdict(epoch, FingerprintOf("POST", "mesh.example", "/book/x", body))
	}
}

// BenchmarkCrash measures what a crash under 18 different requests costs in a full table.
func BenchmarkCrash(b *testing.B) {
	var table Table
	next := 0
	running := func() []Fingerprint {
		var all []Fingerprint
		for range 18 {
			next++
			all = append(all, fingerprint(fmt.Sprint("/other/", next)))
		}
		return all
	}
	for range maxRecords {
		table = table.WithCrash(epoch, "a", running())
	}
	b.ReportAllocs()
	for b.Loop() {
		table = table.WithCrash(epoch, "a", running())
	}
}
