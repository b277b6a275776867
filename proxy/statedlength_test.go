package proxy

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// A caller that states a length beyond the machine's memory and sends little must not end the
// process, nor keep memory, if the operator sets no limit on bodies or a very high one.
func TestStatedBodyLengths(t *testing.T) {
	for _, limit := range []int64{0, math.MaxInt64} {
		for _, length := range []int64{1 << 44, math.MaxInt64 - 1, math.MaxInt64} {
			t.Run(fmt.Sprint(limit, " ", length), func(t *testing.T) {
				n := &Node{}
				_, share, _, err := n.readBody(nil, &http.Request{
					Body:          io.NopCloser(io.MultiReader(strings.NewReader("few"), &failingReader{})),
					ContentLength: length,
				}, cyclam.Limits{
					BodyBytes: limit,
				}, time.Now().Add(time.Minute))
				if err == nil || share != nil {
					t.Errorf("got %v with a share %v, want an error and none", err, share)
				}
				if got := n.bodies.held + n.smallBodies.held; got != 0 {
					t.Errorf("memory held: got %d bytes, want 0", got)
				}
			})
		}
	}
}

// failingReader fails like the body of a caller that breaks off.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A body of unknown length must be read whole if the operator's limit is the largest number.
func TestLargestBodyLimit(t *testing.T) {
	n := &Node{}
	want := strings.Repeat("x", 3*firstBodyBytes)
	body, share, _, err := n.readBody(nil, &http.Request{
		Body:          io.NopCloser(strings.NewReader(want)),
		ContentLength: -1,
	}, cyclam.Limits{
		BodyBytes: math.MaxInt64,
	}, time.Now().Add(time.Minute))
	if err != nil || string(body) != want {
		t.Fatalf("got %d bytes, %v, want %d", len(body), err, len(want))
	}
	share.release()
}

// A body that no node could hold must be refused by its stated length, at once, if the operator
// sets no limit.
func TestBodyBeyondMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPausedCluster(t)
		config := testConfig(2)
		config.Limits.BodyBytes = 0
		s.platform.apply(t, config)
		n := s.node("door", s.newUpstream("u1"), nil)
		n.Settings.MemoryLimit = testMemoryLimit
		s.run(n)
		s.awaitReady(n)
		c, err := s.dial(t.Context(), n.Settings.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: mesh.example\r\nX-Id: huge\r\nContent-Length: %d\r\n\r\nfew", int64(math.MaxInt64))
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		got, err := io.ReadAll(c)
		if want := "HTTP/1.1 413 "; !strings.HasPrefix(string(got), want) {
			t.Errorf("got %.40q, %v, want %q", got, err, want)
		}
	})
}
