package mstore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// call makes a call in the test's goroutine. A status of 0 means that the connection was
// closed without an answer.
func call(t *testing.T, h http.Handler, method, path, body string, into any) (status int, era string) {
	t.Helper()
	w := httptest.NewRecorder()
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		} else if e != nil {
			status, era = 0, ""
		}
	}()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	if into != nil {
		if err := json.Unmarshal(w.Body.Bytes(), into); err != nil {
			t.Fatalf("%s %s: body %q: %v", method, path, w.Body, err)
		}
	}
	return w.Code, w.Header().Get(EraHeader)
}

func names(objects map[string]Object) []string {
	return slices.Sorted(maps.Keys(objects))
}

// Writes that the platform's store refuses must not pass here, or a test would hide an
// unguarded write.
func TestWrites(t *testing.T) {
	const path = "/api/objects/k"
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		status int
		// revision is that of object a afterwards; 0 means that it is gone.
		revision uint64
	}{
		{name: "create again", method: "POST", path: path, body: `{"metadata":{"name":"a"}}`, status: 409, revision: 2},
		{name: "create another", method: "POST", path: path, body: `{"metadata":{"name":"b"}}`, status: 200, revision: 2},
		{name: "create without a name", method: "POST", path: path, body: `{}`, status: 400, revision: 2},
		{name: "replace", method: "PUT", path: path + "/a", body: `{"metadata":{"rev":2},"spec":{"n":2}}`, status: 200, revision: 3},
		{name: "replace without a condition", method: "PUT", path: path + "/a", body: `{"spec":{"n":2}}`, status: 200, revision: 3},
		{name: "replace at another revision", method: "PUT", path: path + "/a", body: `{"metadata":{"rev":1},"spec":{"n":2}}`, status: 409, revision: 2},
		{name: "replace by the same", method: "PUT", path: path + "/a", body: `{"metadata":{"rev":2},"spec":{"n":1}}`, status: 200, revision: 2},
		{name: "replace what is missing", method: "PUT", path: path + "/c", body: `{"metadata":{"rev":2}}`, status: 404, revision: 2},
		{name: "replace the status", method: "PUT", path: path + "/a/status", body: `{"status":{"n":2}}`, status: 200, revision: 3},
		{name: "delete", method: "DELETE", path: path + "/a?rev=2", status: 200, revision: 0},
		{name: "delete at another revision", method: "DELETE", path: path + "/a?rev=1", status: 409, revision: 2},
		{name: "delete what is missing", method: "DELETE", path: path + "/c", status: 404, revision: 2},
		{name: "bad body", method: "PUT", path: path + "/a", body: `{`, status: 400, revision: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewServer()
			s.Put("k", "a", json.RawMessage(`{"n":1}`))
			status, era := call(t, s, test.method, test.path, test.body, nil)
			if got, want := status, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := era, "1"; got != want {
				t.Errorf("era: got %q, want %q", got, want)
			}
			if got, want := s.Objects("k")["a"].Metadata.Rev, test.revision; got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
		})
	}
}

// An object with finalizers must stay until they are gone.
func TestFinalizers(t *testing.T) {
	s := NewServer()
	s.Put("k", "a", json.RawMessage(`{"n":1}`))
	const path = "/api/objects/k/a"
	call(t, s, "PUT", path, `{"metadata":{"finalizers":["f"]},"spec":{"n":1}}`, nil)
	call(t, s, "DELETE", path, "", nil)
	if got, want := s.Objects("k")["a"].Metadata.Deleting, true; got != want {
		t.Errorf("deleting: got %t, want %t", got, want)
	}
	call(t, s, "PUT", path, `{"spec":{"n":1}}`, nil)
	if got, want := len(s.Objects("k")), 0; got != want {
		t.Errorf("objects: got %d, want %d", got, want)
	}
}

// A list longer than a page must be complete and say that it continues.
func TestListPages(t *testing.T) {
	s := NewServer()
	s.PageSize = 2
	for i := range 5 {
		s.Put("k", "a"+strconv.Itoa(i), nil)
	}
	s.Put("other", "b", nil)
	var found []string
	for pages, after := 1, ""; ; pages++ {
		var p page
		call(t, s, "GET", "/api/objects/k?after="+after, "", &p)
		for _, o := range p.Items {
			found = append(found, o.Metadata.Name)
		}
		if got, want := p.HasMore, pages < 3; got != want {
			t.Errorf("page %d: has more: got %t, want %t", pages, got, want)
		}
		if !p.HasMore {
			break
		}
		after = found[len(found)-1]
	}
	if got, want := found, []string{"a0", "a1", "a2", "a3", "a4"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// After a restore revisions are given out again to other objects, which a client that
// orders by revision alone must be seen to mix up.
func TestRestore(t *testing.T) {
	tests := []struct {
		name  string
		age   time.Duration
		names []string
		// revision is that of the store after the restore.
		revision uint64
	}{
		{name: "a moment old", age: 100 * time.Millisecond, names: []string{"a", "b"}, revision: 3},
		{name: "seconds old", age: 3 * time.Second, names: []string{"a"}, revision: 2},
		{name: "older than the store", age: time.Minute, names: nil, revision: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer()
				<-time.After(time.Second)
				s.Put("k", "a", nil)
				<-time.After(2 * time.Second)
				s.Put("k", "b", nil)
				<-time.After(2 * time.Second)
				s.SetFault(Fault{
					Reset: true,
				})
				if status, _ := call(t, s, "GET", "/api/objects/k", "", nil); status != 0 {
					t.Errorf("away: got status %d, want a closed connection", status)
				}
				s.Restore(test.age)
				var p page
				status, era := call(t, s, "GET", "/api/objects/k", "", &p)
				if got, want := status, http.StatusOK; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
				if got, want := era, "2"; got != want {
					t.Errorf("era: got %s, want %s", got, want)
				}
				if got, want := names(s.Objects("k")), test.names; !slices.Equal(got, want) {
					t.Errorf("objects: got %v, want %v", got, want)
				}
				if got, want := p.Revision, test.revision; got != want {
					t.Errorf("revision: got %d, want %d", got, want)
				}
				if got, want := s.Put("k", "other", nil).Metadata.Rev, test.revision+1; got != want {
					t.Errorf("revision of the next write: got %d, want %d", got, want)
				}
			})
		})
	}
}

// A second restore must take the copy of its own time, not one from before the first.
func TestRestoreTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer()
		s.Put("k", "first", nil)
		<-time.After(2 * time.Second)
		s.Put("k", "lost", nil)
		<-time.After(time.Second)
		s.Restore(2 * time.Second)
		s.Put("k", "second", nil)
		<-time.After(time.Second)
		s.Put("k", "lost-too", nil)
		s.Restore(500 * time.Millisecond)
		if got, want := names(s.Objects("k")), []string{"first", "second"}; !slices.Equal(got, want) {
			t.Errorf("objects: got %v, want %v", got, want)
		}
		if era, _ := s.Position(); era != 3 {
			t.Errorf("era: got %d, want 3", era)
		}
	})
}

// A watch must report changes, and get 410 for a revision that the store doesn't have.
func TestWatch(t *testing.T) {
	tests := []struct {
		name   string
		from   string
		status int
		events int
		// waited is how long the call takes.
		waited time.Duration
	}{
		{name: "past change", from: "2", status: 200, events: 1},
		{name: "next change", from: "3", status: 200, events: 1, waited: time.Second},
		{name: "compacted", from: "1", status: 410},
		{name: "later than the store", from: "9", status: 410},
		{name: "not a revision", from: "x", status: 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer()
				s.Put("k", "a", nil)
				s.Put("k", "b", nil)
				s.Compact(2)
				began := time.Now()
				time.AfterFunc(time.Second, func() { s.Put("k", "c", nil) })
				var found struct {
					Events []struct {
						Object  Object
						Deleted bool
					}
				}
				var into any
				if test.status == http.StatusOK {
					into = &found
				}
				status, era := call(t, s, "GET", "/api/objects/k?wait_ms=5000&watch="+test.from, "", into)
				if got, want := status, test.status; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
				if got, want := era, "1"; got != want {
					t.Errorf("era: got %q, want %q", got, want)
				}
				if got, want := len(found.Events), test.events; got != want {
					t.Errorf("events: got %d, want %d", got, want)
				}
				if got, want := time.Since(began), test.waited; got != want {
					t.Errorf("waited: got %v, want %v", got, want)
				}
				<-time.After(2 * time.Second)
			})
		})
	}
}

// A watch must end without a change after its wait, and be cut by an outage, a restore
// and a fault of its own client, but not by a fault of another one.
func TestWaitingWatchIsCut(t *testing.T) {
	tests := []struct {
		name   string
		cut    func(*Server)
		status int
	}{
		{name: "nothing", cut: func(*Server) {}, status: 200},
		{name: "away", cut: func(s *Server) { s.SetFault(Fault{Status: http.StatusServiceUnavailable}) }, status: 0},
		{name: "restored", cut: func(s *Server) { s.Restore(0) }, status: 0},
		{name: "refused", cut: func(s *Server) { s.SetClientFault("own", Fault{Reset: true}) }, status: 0},
		{name: "other refused", cut: func(s *Server) { s.SetClientFault("other", Fault{Reset: true}) }, status: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer()
				time.AfterFunc(time.Second, func() {
					if got, want := s.Calls().Waiting, 1; got != want {
						t.Errorf("waiting: got %d, want %d", got, want)
					}
					test.cut(s)
				})
				status, _ := call(t, s.Handler("own"), "GET", "/api/objects/k?wait_ms=2000&watch=1", "", nil)
				if got, want := status, test.status; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
				if got, want := s.Calls().Waiting, 0; got != want {
					t.Errorf("waiting afterwards: got %d, want %d", got, want)
				}
			})
		})
	}
}

// Each fault must show to the client as described, and carry the era if it answers.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault Fault
		// status is 0 if the connection is closed without an answer.
		status int
		era    string
		// stored says whether the write takes effect.
		stored bool
		client string
	}{
		{name: "none", status: 200, era: "1", stored: true, client: "own"},
		{name: "unavailable", fault: Fault{Status: 503}, status: 503, era: "1", client: "own"},
		{name: "throttled", fault: Fault{Status: 429}, status: 429, era: "1", client: "own"},
		{name: "reset", fault: Fault{Reset: true}, client: "own"},
		{name: "silent", fault: Fault{Silent: true}, client: "own"},
		{name: "answer lost", fault: Fault{LoseAnswers: 1}, stored: true, client: "own"},
		{name: "answer late", fault: Fault{Delay: 100 * time.Millisecond}, status: 200, era: "1", stored: true, client: "own"},
		{name: "no era", fault: Fault{Era: EraMissing}, status: 200, stored: true, client: "own"},
		{name: "unreadable era", fault: Fault{Era: "x"}, status: 200, era: "x", stored: true, client: "own"},
		{name: "unreadable era of an error", fault: Fault{Era: "x", Status: 503}, status: 503, era: "x", client: "own"},
		{name: "of another client", fault: Fault{Status: 503}, status: 200, era: "1", stored: true, client: "other"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewServer()
			server := httptest.NewServer(s.Handler("own"))
			defer server.Close()
			s.SetClientFault(test.client, test.fault)
			client := http.Client{
				Timeout: time.Second,
			}
			status, era := 0, ""
			resp, err := client.Post(server.URL+"/api/objects/k", "application/json", strings.NewReader(`{"metadata":{"name":"a"}}`))
			if err == nil {
				status, era = resp.StatusCode, resp.Header.Get(EraHeader)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if got, want := status, test.status; got != want {
				t.Errorf("status: got %d, want %d (%v)", got, want, err)
			}
			if got, want := era, test.era; got != want {
				t.Errorf("era: got %q, want %q", got, want)
			}
			if got, want := len(s.Objects("k")) == 1, test.stored; got != want {
				t.Errorf("stored: got %t, want %t", got, want)
			}
		})
	}
}

// An answer that is held past a restore must keep the era of its call.
func TestLateAnswerIsOfTheOlderEra(t *testing.T) {
	release := make(chan struct{})
	tests := []struct {
		name  string
		fault Fault
	}{
		{name: "delayed", fault: Fault{Delay: time.Second}},
		{name: "held", fault: Fault{Hold: release}},
	}
	time.AfterFunc(time.Second, func() { close(release) })
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewServer()
			s.SetClientFault("own", test.fault)
			done := make(chan string, 1)
			go func() {
				_, era := call(t, s.Handler("own"), "POST", "/api/objects/k", `{"metadata":{"name":"a"}}`, nil)
				done <- era
			}()
			for len(s.Objects("k")) == 0 {
				<-time.After(time.Millisecond)
			}
			s.Restore(0)
			if got, want := <-done, "1"; got != want {
				t.Errorf("got era %s, want %s", got, want)
			}
			if got, _ := s.Position(); got != 2 {
				t.Errorf("store's era: got %d, want 2", got)
			}
		})
	}
}

// A copy must keep the content of its moment, whatever is written afterwards.
func TestRestoreCopy(t *testing.T) {
	s := NewServer()
	s.Put("k", "a", nil)
	c := s.Copy()
	lost := s.Put("k", "b", nil)
	s.RestoreCopy(c)
	if got, want := names(s.Objects("k")), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("objects: got %v, want %v", got, want)
	}
	if got, want := s.Put("k", "c", nil).Metadata.Rev, lost.Metadata.Rev; got != want {
		t.Errorf("revision given out again: got %d, want %d", got, want)
	}
}
