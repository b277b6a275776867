package frame

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// endedConn is a connection whose reads find its end and whose writes end with an error after a
// time.
type endedConn struct {
	net.Conn
	after time.Duration
	err   error
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write(p []byte) (int, error) {
	<-time.After(c.after)
	return len(p), c.err
}

// The end of a connection must not be reported as such if a write has failed, also if it has not
// returned yet. A write that is given up by a deadline says nothing of the connection.
func TestEndAfterWrites(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		err   error
		want  error
	}{
		"written": {
			want: io.EOF,
		},
		"reset": {
			err:  syscall.ECONNRESET,
			want: ErrBroken,
		},
		"closed": {
			err:  syscall.EPIPE,
			want: ErrBroken,
		},
		"reset reported late": {
			after: writeGrace / 2,
			err:   syscall.ECONNRESET,
			want:  ErrBroken,
		},
		"no answer to probes": {
			err:  syscall.ETIMEDOUT,
			want: ErrBroken,
		},
		"own deadline": {
			err:  os.ErrDeadlineExceeded,
			want: io.EOF,
		},
		"still being written": {
			after: 10 * writeGrace,
			want:  io.EOF,
		},
		"reset after the grace": {
			after: 10 * writeGrace,
			err:   syscall.ECONNRESET,
			want:  io.EOF,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := NewConn(&endedConn{
					after: c.after,
					err:   c.err,
				})
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write([]byte("x"))
				}()
				synctest.Wait()
				_, err := conn.Read(make([]byte, 1))
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				<-written
			})
		})
	}
}
