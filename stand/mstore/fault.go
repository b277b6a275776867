package mstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Fault describes how the store fails its clients. The zero value is no fault.
type Fault struct {
	// Status answers every call with this status without doing anything.
	Status int
	// Reset closes the connection of every call without an answer.
	Reset bool
	// Silent leaves every call without an answer until the client gives up.
	Silent bool
	// LoseAnswers is how many of the next writes take effect but have their connection
	// closed in place of an answer.
	LoseAnswers int
	// Delay holds answers after the call has taken effect. A delayed answer can be of an
	// older era than the store.
	Delay time.Duration
	// Hold, if set, holds answers in the same way until it is closed.
	Hold <-chan struct{}
	// Era, if not empty, is sent in place of the era; EraMissing leaves the header out.
	Era string
}

// EraMissing is the value of Fault.Era for answers without an era.
const EraMissing = "-"

// refuses reports whether calls are not executed.
func (f Fault) refuses() bool { return f.Status != 0 || f.Reset || f.Silent }

// refuse fails a call that is not executed.
func (f Fault) refuse(w http.ResponseWriter, r *http.Request, era uint64) {
	switch {
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Reset:
		panic(http.ErrAbortHandler)
	default:
		f.writeAnswer(w, answer{
			status: f.Status,
			era:    era,
		})
	}
}

// hold waits until an answer may be written.
func (f Fault) hold(ctx context.Context) {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Hold != nil {
		select {
		case <-f.Hold:
		case <-ctx.Done():
		}
	}
}

// writeAnswer writes an answer with the era that the fault lets through.
func (f Fault) writeAnswer(w http.ResponseWriter, a answer) {
	switch f.Era {
	case "":
		w.Header().Set(EraHeader, strconv.FormatUint(a.era, 10))
	case EraMissing:
	default:
		w.Header().Set(EraHeader, f.Era)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}

// faultOf returns the fault that a client meets. The caller holds mu.
func (s *Server) faultOf(client string) Fault {
	if s.fault != (Fault{}) {
		return s.fault
	}
	return s.clientFaults[client]
}

// takeLostAnswer reports whether to lose the answer to a write, and counts it. The
// caller holds mu.
func (s *Server) takeLostAnswer(client string) bool {
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return true
	}
	f := s.clientFaults[client]
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	s.clientFaults[client] = f
	return true
}
