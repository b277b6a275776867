package origin

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

// An upstream in trouble may write a status that is none. A head with it is no answer, whatever
// else it says.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "101"} {
		for name, framing := range map[string]string{
			"length": "Content-Length: 4\r\n",
			"chunks": "Transfer-Encoding: chunked\r\n",
			"close":  "",
		} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				s := newScriptedUpstream(t, "HTTP/1.1 "+status+" Odd\r\nX-Id: $ID\r\nX-Signed: 1\r\n"+framing+"\r\ngood")
				out, err := do(t, newPool(s.address), "id")
				if !errors.Is(err, ErrIllegible) {
					t.Errorf("got %d %q, %v, want %v", out.head.Status, out.body.String(), err, ErrIllegible)
				}
			})
		}
	}
}

// Bytes with the form of a head whose status is none, and that don't name the request, are
// passed over like others that are no answer.
func TestStatusThatIsNoneBeforeAnAnswer(t *testing.T) {
	s := newScriptedUpstream(t, "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"+signedAnswer)
	out, err := do(t, newPool(s.address), "id")
	if err != nil || out.body.String() != "good" {
		t.Errorf("got %q, %v, want the answer", out.body.String(), err)
	}
}
