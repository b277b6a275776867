package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
)

func chunkReply(bytes int) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Chunk{Chunk: make([]byte, bytes)}}
}

// An upstream may write its answer byte by byte. The memory of the pieces must count, not
// their bytes alone.
func TestSmallPiecesAreBounded(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	j := newJob(ctx, &wire.Offer{
		RemainingUs: time.Minute.Microseconds(),
	}, cyclam.AttemptID{}, time.Now())
	sink := &jobSink{
		job: j,
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	pieces := 0
	for sink.Chunk([]byte{'x'}) == nil {
		pieces++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got, most := int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(2*answerBufferLimit); got > most {
		t.Errorf("memory of %d pieces: got %d bytes, want at most %d", pieces, got, most)
	}
	runtime.KeepAlive(j)
}

// Many answers at a time must not hold more than the node has room for, whatever each of
// them may hold alone, and each must go on as its reader reads.
func TestAnswersShareMemory(t *testing.T) {
	const answers = 100
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	memory := &answerMemory{}
	var jobs []*job
	for range answers {
		j := newJob(ctx, &wire.Offer{
			RemainingUs: time.Minute.Microseconds(),
		}, cyclam.AttemptID{}, time.Now())
		j.memory = memory
		jobs = append(jobs, j)
		sink := &jobSink{
			job: j,
		}
		go func() {
			var err error
			for err == nil {
				err = sink.Chunk(make([]byte, 32<<10))
			}
		}()
	}
	settled := func() bool {
		for _, j := range jobs {
			j.mu.Lock()
			throttled := j.throttled
			j.mu.Unlock()
			if !throttled {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(10 * time.Second); !settled() && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
	// What exceeds the limit together is bounded for each answer: the least that it may
	// hold, one piece, and the pieces that were let in at the same time.
	most := int64(answersLimit + answers*(minAnswerBuffer+2*(32<<10+replyOverhead)))
	if got := memory.held.Load(); got > most {
		t.Errorf("held: got %d bytes, want at most %d", got, most)
	}
	for i, j := range jobs {
		reader := j.attach()
		read := 0
		for read < 2*answerBufferLimit {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			ready, err := j.next(ctx, reader)
			cancel()
			if err != nil {
				t.Fatalf("answer %d stopped after %d bytes: %v", i, read, err)
			}
			read += bodySize(ready)
		}
		j.cancel(errEnded)
		j.release()
	}
}

// stall sends a request and does not read its answer, for a time.
func (s *testCluster) stall(n *Node, path string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(s.t.Context(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Callers+path, nil)
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "mesh.example"
	req.Header.Set("X-Wait", wait.String())
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	<-ctx.Done()
	_ = resp.Body.Close()
}

// Callers that don't read answers without end must not make the nodes on the way hold more
// of them than they have room for, and must not keep the upstream from being used again.
func TestEndlessBodiesAreBounded(t *testing.T) {
	s := newTestCluster(t)
	bad := newUpstream(t, "bad")
	var calm atomic.Bool
	bad.work = func(w http.ResponseWriter, r *http.Request) {
		if calm.Load() {
			return
		}
		for piece := make([]byte, 64<<10); r.Context().Err() == nil; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
	const calls = 80
	backend := s.node("door-a", bad, nil)
	backend.Settings.Self.Slots = calls
	s.run(backend)
	front := s.start("front", nil, nil)
	s.awaitReady(backend, front)
	for range calls {
		go s.stall(front, "/load/x", 2*time.Second)
	}
	most := int64(answersLimit + calls*(minAnswerBuffer+windowSize+2*(32<<10+replyOverhead)))
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
		for _, n := range []*Node{backend, front} {
			if got := n.answers.held.Load(); got > most {
				t.Fatalf("node %s holds %d bytes, want at most %d", n.Settings.Self.Instance, got, most)
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	if bad.runs.Load() == 0 {
		t.Error("answers without end: got none")
	}
	s.waitFor("all runs have ended", func() bool { return bad.ended.Load() == bad.runs.Load() })
	s.waitFor("the calls' answers are released", func() bool { return front.answers.held.Load() == 0 })
	s.waitFor("the runs' answers are released", func() bool { return backend.answers.held.Load() == 0 })
	calm.Store(true)
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
}

// The answer to a health check may not end either.
func TestEndlessHealthCheckIsGivenUp(t *testing.T) {
	for name, first := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Long: ",
		"body": "HTTP/1.1 200 OK\r\nX-Instance: u1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var written atomic.Int64
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				piece := strings.Repeat("x", 16<<10)
				for _, err = io.WriteString(c, first); err == nil; {
					var n int
					n, err = io.WriteString(c, piece)
					written.Add(int64(n))
				}
			}()
			n := newTestCluster(t).node("door", nil, nil)
			n.Settings.Upstream = l.Addr().String()
			n.prepare()
			began := time.Now()
			_, err = n.checkHealth(t.Context(), "/health")
			if err == nil && name == "head" {
				t.Error("got a health check's answer, want an error")
			}
			if got, most := time.Since(began), 2*probeTimeout; got > most {
				t.Errorf("ended after %v, want at most %v", got, most)
			}
			// What the sockets' buffers of both ends may hold beside what is read.
			if got, most := written.Load(), int64(2*healthAnswerLimit+16<<20); got > most {
				t.Errorf("written: got %d bytes, want at most %d", got, most)
			}
		})
	}
}
