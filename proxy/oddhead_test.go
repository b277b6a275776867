package proxy

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

// startOddCluster starts a node beside an upstream that answers with a head as given, after the
// request's id and the signature, and another node.
func startOddCluster(t *testing.T, statusLine, fields, body string) (*testCluster, []*Node, *atomic.Int64) {
	s := newPausedCluster(t)
	runs := &atomic.Int64{}
	u := newRawUpstream(s, "u1", func(_ *rawUpstream, c net.Conn, r *http.Request, _ int) bool {
		runs.Add(1)
		_, _ = fmt.Fprintf(c, "%s\r\nX-Id: %s\r\nX-Signed: 1\r\n%s\r\n%s", statusLine, r.Header.Get("X-Id"), fields, body)
		return false
	})
	nodes := []*Node{s.startBeside("door", u), s.start("front", nil, nil)}
	s.awaitReady(nodes...)
	return s, nodes, runs
}

// A status that is none must not reach the caller, and not take its connection either: the caller
// learns that the outcome is not known.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes, runs := startOddCluster(t, "HTTP/1.1 "+status+" Odd", "Content-Length: 4\r\n", "good")
				for _, n := range nodes {
					got, body, _, err := s.request(t.Context(), n, http.MethodPost, "/book/x", time.Second)
					if err != nil || got != http.StatusBadGateway {
						t.Errorf("at %s: got %d %q, %v, want %d", n.Settings.Self.Instance, got, body, err, http.StatusBadGateway)
					}
				}
				if got, want := runs.Load(), int64(len(nodes)); got != want {
					t.Errorf("runs: got %d, want %d", got, want)
				}
			})
		})
	}
}

// A field whose name holds a blank or a control byte must not cost the caller the framing of the
// body, nor be passed on.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, field := range []string{
		"Content-Length : 4",
		"Transfer-Encoding : chunked",
		"X Odd: 1",
		"X\x01Odd: 1",
	} {
		t.Run(field, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes, _ := startOddCluster(t, "HTTP/1.1 200 OK", field+"\r\n", "4\r\ngood\r\n0\r\n\r\n")
				for _, n := range nodes {
					got, body, _, err := s.request(t.Context(), n, http.MethodPost, "/book/x", time.Second)
					if err != nil || got != http.StatusBadGateway {
						t.Errorf("at %s: got %d %q, %v, want %d", n.Settings.Self.Instance, got, body, err, http.StatusBadGateway)
					}
				}
			})
		})
	}
}

// A head that another node passes on must be checked like one of the upstream: a node of an older
// build does not check it.
func TestHeadOfAnotherNode(t *testing.T) {
	field := func(name, value string) []*wire.Field {
		return []*wire.Field{
			{
				Name:  name,
				Value: []byte(value),
			},
		}
	}
	for name, c := range map[string]struct {
		head *wire.Head
		want cyclam.Outcome
	}{
		"an answer": {
			head: &wire.Head{
				Status:  200,
				Headers: field("X-Odd", "a b"),
			},
			want: cyclam.OutcomeDone,
		},
		"no status": {
			head: &wire.Head{},
			want: cyclam.OutcomeUnknown,
		},
		"status of one": {
			head: &wire.Head{
				Status: 1,
			},
			want: cyclam.OutcomeUnknown,
		},
		"interim status": {
			head: &wire.Head{
				Status: 101,
			},
			want: cyclam.OutcomeUnknown,
		},
		"status beyond all": {
			head: &wire.Head{
				Status: 600,
			},
			want: cyclam.OutcomeUnknown,
		},
		"largest status": {
			head: &wire.Head{
				Status: math.MaxUint32,
			},
			want: cyclam.OutcomeUnknown,
		},
		"blank in a name": {
			head: &wire.Head{
				Status:  200,
				Headers: field("Content-Length ", "4"),
			},
			want: cyclam.OutcomeUnknown,
		},
		"no name": {
			head: &wire.Head{
				Status:  200,
				Headers: field("", "4"),
			},
			want: cyclam.OutcomeUnknown,
		},
		"control byte in a name": {
			head: &wire.Head{
				Status:  200,
				Headers: field("X\x01Odd", "4"),
			},
			want: cyclam.OutcomeUnknown,
		},
		"control byte in a value": {
			head: &wire.Head{
				Status:  200,
				Headers: field("X-Odd", "a\r\nX-Other: b"),
			},
			want: cyclam.OutcomeUnknown,
		},
		"largest length, no bytes": {
			head: &wire.Head{
				Status: 200,
				Length: math.MaxInt64,
			},
			want: cyclam.OutcomeDone,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t)
			n := s.node("front", nil, nil)
			n.prepare()
			a := &attempt{
				node:  n,
				offer: &wire.Offer{},
				held: &heldAnswers{
					memory: &n.answers,
				},
			}
			got, _, err := a.collect(t.Context(), &messageReader{
				messages: []*wire.Replies{
					{
						Replies: []*wire.Reply{
							{
								Kind: &wire.Reply_Head{
									Head: c.head,
								},
							},
							ended(""),
						},
					},
				},
			}, nil)
			if err != nil || got.Outcome != c.want {
				t.Errorf("got %v, %v, want %v", got.Outcome, err, c.want)
			}
		})
	}
}
