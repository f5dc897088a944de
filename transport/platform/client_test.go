package platform_test

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	standin "github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/transport/platform"
)

type site struct {
	net    pipenet.Network
	server *standin.Server
	store  *platform.Client
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{server: standin.New(standin.Settings{}, zerolog.Nop())}
	hc := s.net.TestHTTP(t, "entry", "platform:80", s.server)
	s.store = platform.New(hc, platform.Settings{Address: "http://platform:80"})
	return s
}

// errorType names the error of rows that err holds.
func errorType(err error) string {
	var (
		conflict    *rows.ConflictError
		unavailable *rows.UnavailableError
		lost        *rows.LostAnswerError
	)
	switch {
	case err == nil:
		return "none"
	case errors.Is(err, rows.ErrNotFound):
		return "not found"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &lost):
		return "lost"
	}
	return err.Error()
}

// Guards against a fault that is reported as having had no effect although it
// may have had one, or the other way round.
func TestErrors(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(s *site)
		read    string // error of a read
		write   string // error of a write
		object  string // error of a write of an object
		applied bool   // both writes took effect in the end
	}{
		{name: "none", fault: func(*site) {}, read: "none", write: "none", object: "none", applied: true},
		{name: "down", fault: func(s *site) { s.server.SetFaults(standin.Faults{Down: true}) }, read: "unavailable", write: "unavailable", object: "unavailable"},
		{name: "slow", fault: func(s *site) { s.server.SetFaults(standin.Faults{DelayMillis: 1500}) }, read: "none", write: "none", object: "none", applied: true},
		{name: "too slow", fault: func(s *site) { s.server.SetFaults(standin.Faults{DelayMillis: 2500}) }, read: "unavailable", write: "lost", object: "lost"},
		{name: "too slow and late", fault: func(s *site) { s.server.SetFaults(standin.Faults{DelayMillis: 2500, LateWrites: true}) }, read: "unavailable", write: "lost", object: "lost", applied: true},
		{name: "answers lost", fault: func(s *site) { s.server.SetFaults(standin.Faults{LoseAnswers: 2}) }, read: "none", write: "lost", object: "lost", applied: true},
		{name: "dial refused", fault: func(s *site) {
			s.net.Reset("entry", "platform")
			s.net.SetRefuse("entry", "platform", true)
		}, read: "unavailable", write: "unavailable", object: "unavailable"},
		{name: "dial waits", fault: func(s *site) {
			s.net.Reset("entry", "platform")
			s.net.Cut("entry", "platform")
		}, read: "unavailable", write: "unavailable", object: "unavailable"},
		{name: "cut back", fault: func(s *site) { s.net.Cut("platform", "entry") }, read: "unavailable", write: "unavailable", object: "unavailable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ctx := newSite(t), t.Context()
				qt.Assert(t, s.store.Write(ctx, rows.Insert("Job", "w/old", []byte("v"))), qt.IsNil)
				synctest.Wait() // The connection is idle again.
				tt.fault(s)
				_, err := s.store.Read(ctx, "Job", "w/old")
				qt.Check(t, errorType(err), qt.Equals, tt.read)
				err = s.store.Write(ctx, rows.Insert("Job", "w/new", []byte("v")))
				qt.Check(t, errorType(err), qt.Equals, tt.write)
				if err != nil {
					_, peer, ok := outcome.StepOf(err)
					qt.Check(t, ok, qt.IsTrue)
					qt.Check(t, peer, qt.Equals, "http://platform:80")
				}
				err = s.store.WriteObject(ctx, "Config/1/x", []byte("body"))
				qt.Check(t, errorType(err), qt.Equals, tt.object)

				time.Sleep(time.Minute)
				s.server.SetFaults(standin.Faults{})
				s.net.SetRefuse("entry", "platform", false)
				s.net.Heal(pipenet.Any, pipenet.Any)
				want := "not found"
				if tt.applied {
					want = "none"
				}
				_, err = s.store.Read(ctx, "Job", "w/new")
				qt.Check(t, errorType(err), qt.Equals, want)
				_, err = s.store.ReadObject(ctx, "Config/1/x")
				qt.Check(t, errorType(err), qt.Equals, want)
			})
		})
	}
}

// Guards against a write on an open connection that a cut or a freeze silences
// and that is reported as not sent.
func TestSilentConnection(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(n *pipenet.Network)
		applied bool // by the end of the call
		heals   bool
	}{
		{name: "cut back", fault: func(n *pipenet.Network) { n.Cut("platform", "entry") }, applied: true, heals: true},
		{name: "cut forth", fault: func(n *pipenet.Network) { n.Cut("entry", "platform") }, heals: true},
		{name: "freeze", fault: func(n *pipenet.Network) { n.Freeze("entry", "platform") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ctx := newSite(t), t.Context()
				_, err := s.store.Read(ctx, "Job", "k")
				qt.Assert(t, errorType(err), qt.Equals, "not found")
				synctest.Wait()
				tt.fault(&s.net)
				start := time.Now()
				err = s.store.Write(ctx, rows.Insert("Job", "k", []byte("v")))
				qt.Check(t, errorType(err), qt.Equals, "lost")
				qt.Check(t, time.Since(start), qt.Equals, platform.DefaultTimeout)
				qt.Check(t, len(s.server.Rows("Job")) == 1, qt.Equals, tt.applied)
				if !tt.heals { // A new connection works at once.
					_, err = s.store.Read(ctx, "Job", "k")
					qt.Check(t, errorType(err), qt.Equals, "not found")
				}
				s.net.Heal(pipenet.Any, pipenet.Any)
			})
		})
	}
}

// Guards against a status that something else than the service gives being
// taken for the service's word, and against a request that is sent twice.
func TestForeignReplies(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		read   string
		write  string
	}{
		{name: "503 without a word", status: 503, read: "unavailable", write: "lost"},
		{name: "503 not applied", status: 503, body: `{"Error":"down","NotApplied":true}`, read: "unavailable", write: "unavailable"},
		{name: "400 not applied", status: 400, body: `{"Error":"bad","NotApplied":true}`, read: "unavailable", write: "unavailable"},
		{name: "404 of a router", status: 404, body: "404 page not found", read: "unavailable", write: "lost"},
		{name: "409 of a proxy", status: 409, body: "x", read: "unavailable", write: "lost"},
		{name: "redirect", status: 307, read: "unavailable", write: "lost"},
		{name: "200 without a body", status: 200, read: "unavailable", write: "lost"},
		{name: "200 of another row", status: 200, body: `{"Key":"other","Version":1}`, read: "unavailable", write: "lost"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n pipenet.Network
			calls := 0
			hc := n.TestHTTP(t, "entry", "platform:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Location", "/again")
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			store := platform.New(hc, platform.Settings{Address: "http://platform:80/"})
			_, err := store.Read(t.Context(), "Job", "k")
			qt.Check(t, errorType(err), qt.Equals, tt.read)
			err = store.Write(t.Context(), rows.Insert("Job", "k", nil))
			qt.Check(t, errorType(err), qt.Equals, tt.write)
			qt.Check(t, calls, qt.Equals, 2)
		})
	}
}

// Guards against a round tripper that reports no connections, such as one of a
// test, whose failed writes would pass as not sent.
func TestUntracedTransport(t *testing.T) {
	hc := &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) { return nil, errors.New("gone") })}
	store := platform.New(hc, platform.Settings{Address: "http://platform:80"})
	qt.Check(t, errorType(store.Write(t.Context(), rows.Insert("Job", "k", nil))), qt.Equals, "lost")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Check(t, errorType(store.Write(ctx, rows.Insert("Job", "k", nil))), qt.Equals, "unavailable")
	qt.Check(t, errorType(store.Write(t.Context(), rows.Insert("Job", "\xff", nil))), qt.Equals, "unavailable")
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against writes that apply in part or against their conditions.
func TestConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := newSite(t), t.Context()
		write := func(want string, writes ...rows.Write) {
			t.Helper()
			qt.Check(t, errorType(s.store.Write(ctx, writes...)), qt.Equals, want)
		}
		version := func(key string) uint64 {
			row, err := s.store.Read(ctx, "Job", key)
			qt.Assert(t, err, qt.IsNil)
			return row.Version
		}
		write("none", rows.Insert("Job", "a", []byte{0, 0xff}), rows.Insert("Job", "b", []byte("b")))
		row, err := s.store.Read(ctx, "Job", "a")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, row.Value, qt.DeepEquals, []byte{0, 0xff})
		write("conflict", rows.Insert("Job", "c", nil), rows.Insert("Job", "a", nil))
		write("unavailable", rows.Insert("Job", "c", nil), rows.Insert("Job", "c", nil))
		_, err = s.store.Read(ctx, "Job", "c")
		qt.Check(t, err, qt.ErrorIs, rows.ErrNotFound)

		first := version("a")
		write("none", rows.Update("Job", "a", first, []byte("2")))
		write("conflict", rows.Update("Job", "a", first, []byte("3")))
		write("conflict", rows.Delete("Job", "a", first))
		write("none", rows.Delete("Job", "a", version("a")))
		write("none", rows.Insert("Job", "a", []byte("4")))
		qt.Check(t, version("a") > first+1, qt.IsTrue, qt.Commentf("a version was used again"))

		var conflict *rows.ConflictError
		qt.Assert(t, errors.As(s.store.Write(ctx, rows.Insert("Job", "a", nil), rows.Insert("Job", "b", nil)), &conflict), qt.IsTrue)
		qt.Check(t, conflict.Keys, qt.DeepEquals, []string{"Job/a", "Job/b"})

		qt.Check(t, s.store.WriteObject(ctx, "o/1", []byte("x")), qt.IsNil)
		qt.Check(t, s.store.WriteObject(ctx, "o/1", []byte("x")), qt.IsNil)
		qt.Check(t, errorType(s.store.WriteObject(ctx, "o/1", []byte("y"))), qt.Equals, "conflict")
		body, err := s.store.ReadObject(ctx, "o/1")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "x")
	})
}

// Guards against a scan that skips or repeats rows at the end of a page.
func TestScan(t *testing.T) {
	tests := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{limit: 10, want: []string{"a", "a/1", "a/2", "a/3", "b/1"}},
		{prefix: "a/", limit: 10, want: []string{"a/1", "a/2", "a/3"}},
		{prefix: "a/", limit: 2, want: []string{"a/1", "a/2"}},
		{prefix: "a/", after: "a/2", limit: 2, want: []string{"a/3"}},
		{prefix: "a", after: "a", limit: 2, want: []string{"a/1", "a/2"}},
		{prefix: "a/", after: "a/15", limit: 1, want: []string{"a/2"}},
		{prefix: "a/", after: "b", limit: 1},
		{prefix: "c", limit: 1},
		{limit: 0},
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for _, k := range []string{"b/1", "a/3", "a", "a/1", "a/2"} {
			qt.Assert(t, s.store.Write(t.Context(), rows.Insert("Queue", k, nil)), qt.IsNil)
		}
		for _, tt := range tests {
			found, err := s.store.Scan(t.Context(), "Queue", tt.prefix, tt.after, tt.limit)
			qt.Assert(t, err, qt.IsNil)
			var keys []string
			for _, r := range found {
				keys = append(keys, r.Key)
			}
			qt.Check(t, reflect.DeepEqual(keys, tt.want), qt.IsTrue, qt.Commentf("%+v: got %v", tt, keys))
		}
	})
}
