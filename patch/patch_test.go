package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// routes returns a configuration in JSON as operators write it, with the timeout
// of one route changed; -1 changes none.
func routes(count, changed int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	b.WriteString(`{"routes":{`)
	for i := range count {
		timeout := 1500
		if i == changed {
			timeout = 900
		}
		fmt.Fprintf(&b, `"r-%x":{"host":"%x.example","path_prefix":"/%x/","timeout":"%dms"},`, random.Uint32(), random.Uint32(), random.Uint32(), timeout)
	}
	b.WriteString(`}}`)
	return b.Bytes()
}

func TestRoundTrip(t *testing.T) {
	for _, count := range []int{0, 1, 50, 1100, 12000} {
		base, text := routes(count, -1), routes(count, count/2)
		for name, from := range map[string][]byte{"whole": nil, "difference": base} {
			packed, err := Encode(from, text)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(from, packed)
			if err != nil || !bytes.Equal(got, text) {
				t.Errorf("%s of %d routes: got %d bytes, %v, want the %d bytes that were encoded", name, count, len(got), err, len(text))
			}
			// One route of 1,100 changed: the difference must be small compared
			// with the tens of kilobytes of the whole configuration.
			if limit := 2 << 10; name == "difference" && count == 1100 && len(packed) > limit {
				t.Errorf("difference of one route: got %d bytes of %d, want at most %d", len(packed), len(text), limit)
			}
		}
	}
}

func TestWrongBase(t *testing.T) {
	packed, err := Encode(routes(100, -1), routes(100, 5))
	if err != nil {
		t.Fatal(err)
	}
	if text, err := Decode(routes(100, 7)[:500], packed); err == nil && bytes.Equal(text, routes(100, 5)) {
		t.Error("decode with another base: got the encoded text, want an error or another text")
	}
	if _, err := Decode(nil, []byte("not packed")); err == nil {
		t.Error("decode of bytes that are not a zstd frame: got no error, want one")
	}
}

func FuzzDecode(f *testing.F) {
	packed, _ := Encode(routes(3, -1), routes(3, 1))
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) {
		base := routes(3, -1)
		text, err := Decode(base, data)
		if err != nil {
			return
		}
		packed, err := Encode(base, text)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(base, packed); err != nil || !bytes.Equal(again, text) {
			t.Errorf("got %d bytes, %v, want the %d bytes that were encoded", len(again), err, len(text))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	base, text := routes(1100, -1), routes(1100, 500)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(base, text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	base, text := routes(1100, -1), routes(1100, 500)
	packed, err := Encode(base, text)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(base, packed); err != nil {
			b.Fatal(err)
		}
	}
}
