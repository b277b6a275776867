package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// A connect that ends because its caller has left says nothing about the other node.
// If it counted as a failed one, the revocation that follows would get only
// failingConnectTimeout to connect, less than two round trips between regions.
func TestEndedContextIsNoFailedConnect(t *testing.T) {
	tests := []struct {
		name    string
		leaves  bool
		failing bool
	}{
		{name: "the caller leaves", leaves: true, failing: false},
		{name: "the other node does not answer", leaves: false, failing: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dialing := make(chan struct{}, 1)
			n := &Node{
				Log: hclog.NewNullLogger(),
				Dial: func(ctx context.Context, _ string) (net.Conn, error) {
					select {
					case dialing <- struct{}{}:
					default:
					}
					<-ctx.Done()
					return nil, ctx.Err()
				},
			}
			l := &link{
				node:    n,
				address: "127.0.0.1:1",
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.leaves {
				go func() {
					<-dialing
					cancel()
				}()
			}
			began := time.Now()
			if _, err := l.connect(ctx); err == nil {
				t.Fatal("got a connection, want an error")
			}
			if took := time.Since(began); test.leaves && took >= connectTimeout {
				t.Errorf("connect after its caller left: got %v, want less than %v", took, connectTimeout)
			}
			l.mu.Lock()
			got, conn := l.failing, l.conn
			l.mu.Unlock()
			if got != test.failing {
				t.Errorf("failing: got %t, want %t", got, test.failing)
			}
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
