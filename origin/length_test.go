package origin

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// An upstream that states the largest length and breaks its answer off must not end the
// process (review/6): the answer fails like any other that is cut short.
func TestStatedLengths(t *testing.T) {
	for _, length := range []int64{0, 1, chunkSize - 1, chunkSize, math.MaxInt32, math.MaxUint32, math.MaxInt64 - 1, math.MaxInt64} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(length, " ", status), func(t *testing.T) {
				s := newScriptedUpstream(t, fmt.Sprintf("HTTP/1.1 %d Stated\r\nX-Id: $ID\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n", status, length))
				_, err := do(t, newPool(s.address), "id")
				if got, want := err != nil, length > 0; got != want {
					t.Errorf("got %v, want an error: %t", err, want)
				}
			})
		}
	}
}

// A length beyond the largest number is none, and the answer that states it is illegible.
func TestLengthBeyondAllNumbers(t *testing.T) {
	for _, length := range []string{"9223372036854775808", "18446744073709551615", "99999999999999999999", "-1"} {
		s := newScriptedUpstream(t, "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: 1\r\nContent-Length: "+length+"\r\n\r\ngood")
		if _, err := do(t, newPool(s.address), "id"); !errors.Is(err, ErrIllegible) {
			t.Errorf("length %s: got %v, want %v", length, err, ErrIllegible)
		}
	}
}
