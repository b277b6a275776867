package proxy

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamensaddle/cyclam/poison"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// crashWatch finds out which requests were running when the upstream's process ended.
type crashWatch struct {
	mu sync.Mutex
	// sent holds the runs whose requests have been sent and that have not ended.
	sent map[*job]time.Time
	// lost holds runs that have ended without an answer, from the earliest on, until the
	// process has answered a later one.
	lost []lostRun
	// checking is set while it is checked whether the process listens.
	checking bool
	// endedAt is when the process was last seen to have ended. replaced is set once the
	// process after it is known.
	endedAt  time.Time
	replaced bool
}

// lostRun is a run that has ended without an answer.
type lostRun struct {
	fingerprint poison.Fingerprint
	lostAt      time.Time
	// alone is set if it ran while nothing else did, givenUp if it was cut by this node.
	alone   bool
	givenUp bool
}

const (
	// crashDelay is how long after it was given up a run may end the process: the upstream may
	// go on with it.
	crashDelay = time.Second
	// quietTime is how long after the last such run another one is put down to itself alone.
	// It leaves the sender's word young enough for a start.
	quietTime = 250 * time.Millisecond
	// maxGivenUp bounds the runs given up before an end of the process that are counted with
	// it, the latest ones: a burst of callers that leave would displace what was running.
	maxGivenUp = 16
	// lostKept is how long a lost run may be found to have ended the process, if that does
	// not show before its successor reports itself.
	lostKept = 10 * time.Second
	// maxLostRuns bounds the lost runs that are kept.
	maxLostRuns = 256
	// checkTimeout bounds the connection by which it is checked whether the process listens.
	checkTimeout = 300 * time.Millisecond
	// checkPause is the pause before a second check: the process may still have listened.
	checkPause = 100 * time.Millisecond
)

// fingerprintOf returns the fingerprint of an offer's request with a body, once it is asked
// for.
func fingerprintOf(o *wire.Offer, body func() []byte) func() poison.Fingerprint {
	return sync.OnceValue(func() poison.Fingerprint {
		return poison.FingerprintOf(o.Method, o.Host, string(o.Target), body())
	})
}

// noteSent records that a job's request is about to be sent.
func (w *crashWatch) noteSent(j *job, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent == nil {
		w.sent = map[*job]time.Time{}
	}
	w.sent[j] = now
}

// noteNotRun records that a job's request was not sent after all, or that the upstream did
// not run it.
func (w *crashWatch) noteNotRun(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sent, j)
}

// noteAnswered records that a job was answered: the process has outlived what was lost
// before.
func (w *crashWatch) noteAnswered(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sentAt, ok := w.sent[j]
	if !ok {
		return
	}
	delete(w.sent, j)
	w.lost = slices.DeleteFunc(w.lost, func(l lostRun) bool { return sentAt.Sub(l.lostAt) > crashDelay })
	if sentAt.After(w.endedAt) {
		w.replaced = true
	}
}

// noteLost records that a job ended without an answer; givenUp is set if this node has cut
// it. It returns false if its request was not sent, or if the end of the process has been
// noted since.
func (w *crashWatch) noteLost(j *job, now time.Time, givenUp bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	sentAt, ok := w.sent[j]
	delete(w.sent, j)
	if !ok || !sentAt.After(w.endedAt) {
		return false
	}
	w.replaced = true
	w.lost = slices.DeleteFunc(w.lost, func(l lostRun) bool { return now.Sub(l.lostAt) > lostKept })
	if len(w.lost) >= maxLostRuns {
		w.lost = w.lost[1:]
	}
	w.lost = append(w.lost, lostRun{
		fingerprint: j.fingerprint(),
		lostAt:      now,
		alone:       j.alone,
		givenUp:     givenUp,
	})
	return true
}

// lastLost returns when a run was last lost; zero if none is remembered.
func (w *crashWatch) lastLost() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lost) == 0 {
		return time.Time{}
	}
	return w.lost[len(w.lost)-1].lostAt
}

// beginCheck reports whether a check of the process is to begin; endCheck ends it.
func (w *crashWatch) beginCheck() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	begins := !w.checking
	w.checking = true
	return begins
}

func (w *crashWatch) endCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking = false
}

// crash is an end of the upstream's process: the requests that it may have run then, each
// once; only the one that was on trial, if there was one.
type crash struct {
	running []poison.Fingerprint
	trial   bool
}

// noteEnd records that the process has ended.
func (w *crashWatch) noteEnd(now time.Time) crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end(now, crashDelay)
}

// noteReplaced records that another process has reported itself, and returns the end of the
// one before, if that was not noted: it went unseen, or the process fell silent.
func (w *crashWatch) noteReplaced(now time.Time) crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := !w.replaced && !w.endedAt.IsZero()
	defer func() { w.replaced = true }()
	if known {
		w.lost = nil
		return crash{}
	}
	return w.end(now, lostKept)
}

// end returns the end of a process while requests were running or after they were lost within
// a time. The caller holds mu.
func (w *crashWatch) end(now time.Time, within time.Duration) crash {
	var running, alone []poison.Fingerprint
	for j, sentAt := range w.sent {
		if sentAt.After(w.endedAt) {
			running = append(running, j.fingerprint())
			if j.alone {
				alone = append(alone, j.fingerprint())
			}
		}
	}
	if last := len(w.lost) - 1; len(running) == 0 && last >= 0 && w.lost[last].alone {
		alone = append(alone, w.lost[last].fingerprint)
	}
	givenUp := 0
	for _, run := range slices.Backward(w.lost) {
		if run.givenUp {
			givenUp++
		}
		if now.Sub(run.lostAt) <= within && (!run.givenUp || givenUp <= maxGivenUp) {
			running = append(running, run.fingerprint)
		}
	}
	w.lost = nil
	w.endedAt, w.replaced = now, false
	if len(alone) > 0 {
		running = alone
	}
	slices.Sort(running)
	return crash{
		running: slices.Compact(running),
		trial:   len(alone) > 0,
	}
}

// checkUpstream finds out whether the upstream's process has ended, after an answer was
// lost: it does not listen any more.
func (n *Node) checkUpstream() {
	if !n.crashes.beginCheck() {
		return
	}
	defer n.crashes.endCheck()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		conn, err := n.Dial(ctx, n.Settings.Upstream)
		cancel()
		if err == nil {
			_ = conn.Close()
			<-time.After(checkPause)
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.noteCrash(n.crashes.noteEnd(time.Now()), "refuses connections")
		}
		return
	}
}

// joinFingerprints lists requests for logs.
func joinFingerprints(requests []poison.Fingerprint) string {
	texts := make([]string, 0, len(requests))
	for _, f := range requests {
		texts = append(texts, f.String())
	}
	return strings.Join(texts, ",")
}
