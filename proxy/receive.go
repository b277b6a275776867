package proxy

import (
	"io"
	"net/http"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

const (
	// skippedBytes is how much of a body without use is read, so that its connection can be
	// kept, and skipTime how long that may take.
	skippedBytes = 256 << 10
	skipTime     = 5 * time.Second
)

// receive reads a request's body until the deadline of its caller. If it returns false, the
// request has been answered, and has not run.
func (n *Node) receive(w http.ResponseWriter, r *http.Request, id string, began time.Time, limits cyclam.Limits, deadline time.Time) ([]byte, *bodyShare, bool) {
	conn := callerConnOf(r.Context())
	until := began.Add(time.Duration(bodyWaitShare * float64(deadline.Sub(began))))
	if !conn.reserveHead(r.Context(), int(headerSize(r)), fieldCount(r), until) {
		leaveBody(w, r)
		n.answer(w, r, id, began, nil, result{
			completion: cyclam.Refused(cyclam.ReasonOverloaded, bodyRetryAfter),
		})
		return nil, nil, false
	}
	stop := func() bool { return true }
	if r.ContentLength != 0 {
		stop = conn.receive(deadline)
	}
	body, share, code, err := n.readBody(w, r, limits, until)
	if kept := stop(); !kept {
		share.release()
		w.Header().Set("Connection", "close")
		n.meters.countRefusal(reasonBodyTime)
		n.writePlain(w, http.StatusRequestTimeout, reasonBodyTime)
		return nil, nil, false
	}
	if err == nil {
		return body, share, true
	}
	n.Log.Info("request-unreadable", "id", id, "step", "read body", "status", code, "error", err)
	leaveBody(w, r)
	switch code {
	case 0:
		panic(http.ErrAbortHandler)
	case http.StatusServiceUnavailable:
		n.answer(w, r, id, began, nil, result{
			completion: cyclam.Refused(cyclam.ReasonOverloaded, bodyRetryAfter),
		})
	default:
		n.reject(w, id, code, "request-refused")
	}
	return nil, nil, false
}

// reasonBodyTime is the reason for refusing a request whose body has not arrived.
const reasonBodyTime cyclam.Reason = "body-not-received"

// fieldCount returns the number of header fields of a request.
func fieldCount(r *http.Request) int {
	count := 0
	for _, values := range r.Header {
		count += len(values)
	}
	return count
}

// leaveBody ends the connection with the answer if the request has a body. The server reads
// some of it before it closes the connection, however long that takes without a deadline.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(skipTime))
	}
}

// smallBody is the length in bytes up to which the body of a request that is refused by its head
// is read first. It mostly arrives together with the head.
const smallBody = 16 << 10

// refuseBody deals with the body of a request that is refused by its head. A large one, or one of
// unknown length, is not waited for: the answer ends the connection.
func (n *Node) refuseBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		leaveBody(w, r)
		return
	}
	n.skipBody(w, r)
}

// skipBody reads the body of a request that needs none, so that its connection can be kept. The
// connection ends with the answer if the body is large or does not arrive.
func (*Node) skipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength > skippedBytes || r.Header.Get("Expect") != "" {
		leaveBody(w, r)
		return
	}
	stop := callerConnOf(r.Context()).receive(time.Now().Add(skipTime))
	skipped, err := io.CopyN(io.Discard, r.Body, skippedBytes+1)
	if kept := stop(); !kept || !errors.Is(err, io.EOF) || skipped > skippedBytes {
		leaveBody(w, r)
	}
}
