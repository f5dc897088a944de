package intake

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// fixedConfig is a configuration.Source.
type fixedConfig struct{ snapshot *configuration.Snapshot }

func (c *fixedConfig) Current(context.Context) *configuration.Snapshot { return c.snapshot }

// requestsHarness is a Requests with its store and configuration.
type requestsHarness struct {
	*Requests
	c     *qt.C
	store *tabletest.Store
	cfg   *fixedConfig
}

func configWithQueueLimit(limit int) *configuration.Snapshot {
	kinds := []operator.Kind{operator.NewKind("w1", "k", operator.ClassLong).WithIdempotent(true), operator.NewKind("w1", "l", operator.ClassLong).WithIdempotent(true)}
	cfg := operator.NewConfig(operator.NewSite("")).WithWorkspace(operator.NewWorkspace("w1").WithQueueLimit(limit)).WithKinds(kinds)
	return configuration.NewSnapshot(1, cfg)
}

func withRequests(t *testing.T, f func(h *requestsHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := tabletest.New()
		cfg := &fixedConfig{configWithQueueLimit(10_000)}
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		h := &requestsHarness{NewRequests(s, cfg, store), qt.New(t), store, cfg}
		defer s.Close()
		defer h.Close()
		f(h)
	})
}

func keyed(key string) Request {
	return Request{Workspace: "w1", Kind: "k", Workers: 1, Accelerators: 1, Key: key}
}

// Guards against a submission that is told that it has not run although the job of its key
// is recorded, by an entry that refuses new jobs for any reason.
func TestRecordedKeyIsNeverToldNotRun(t *testing.T) {
	tests := []struct {
		name   string
		refuse func(h *requestsHarness)
		want   string // of the resubmission: its state, or the type of its outcome
	}{
		{"nothing", func(*requestsHarness) {}, "queued"},
		{"queue full", func(h *requestsHarness) { h.cfg.snapshot = configWithQueueLimit(1) }, "queued"},
		{"leaving", func(h *requestsHarness) { h.StartDrain() }, "queued"},
		{"no configuration", func(h *requestsHarness) { h.cfg.snapshot = nil }, "queued"},
		{"workspace removed", func(h *requestsHarness) {
			h.cfg.snapshot = configuration.NewSnapshot(2, operator.NewConfig(operator.NewSite("")))
		}, "queued"},
		{"store down", func(h *requestsHarness) { h.store.SetDown(true) }, "outcome.Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRequests(t, func(h *requestsHarness) {
				st, err := h.Submit(h.c.Context(), keyed("a"), 0)
				h.c.Assert(err, qt.IsNil)
				h.c.Assert(st.State, qt.Equals, job.Queued)
				tt.refuse(h)
				st, err = h.Submit(h.c.Context(), keyed("a"), 0)
				h.c.Assert(err, qt.IsNil)
				got := string(st.State)
				if st.Outcome != nil {
					got = fmt.Sprintf("%T", st.Outcome)
				}
				h.c.Check(got, qt.Equals, tt.want)
				if u, ok := st.Outcome.(outcome.Unknown); ok {
					h.c.Check(u.RetryAfter > 0, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a refusal that a new request no longer gets, because the entry looks for its
// key first.
func TestNewKeyIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		refuse func(h *requestsHarness)
		want   outcome.Reason
	}{
		{"queue full", "b", func(h *requestsHarness) { h.cfg.snapshot = configWithQueueLimit(1) }, outcome.ReasonQueueFull},
		{"leaving", "b", func(h *requestsHarness) { h.StartDrain() }, outcome.ReasonLeaving},
		{"no configuration", "b", func(h *requestsHarness) { h.cfg.snapshot = nil }, outcome.ReasonNotReady},
		{"store down, without a key", "", func(h *requestsHarness) { h.store.SetDown(true) }, outcome.ReasonStoreDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRequests(t, func(h *requestsHarness) {
				_, err := h.Submit(h.c.Context(), keyed("a"), 0)
				h.c.Assert(err, qt.IsNil)
				tt.refuse(h)
				st, err := h.Submit(h.c.Context(), keyed(tt.key), 0)
				h.c.Assert(err, qt.IsNil)
				n, ok := st.Outcome.(outcome.NotRun)
				h.c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", st.Outcome))
				h.c.Check(n.Reason, qt.Equals, tt.want)
			})
		})
	}
}

// Guards against another request under a recorded key that gets the answer of the first.
func TestKeyConflict(t *testing.T) {
	no := false
	tests := []struct {
		name   string
		change func(r Request) Request
		same   bool
	}{
		{"the same", func(r Request) Request { return r }, true},
		{"other deadline", func(r Request) Request { r.Deadline = time.Minute; return r }, true},
		{"other payload", func(r Request) Request { r.Payload = []byte("x"); return r }, false},
		{"other shape", func(r Request) Request { r.Workers = 2; return r }, false},
		{"other kind", func(r Request) Request { r.Kind = "l"; return r }, false},
		{"at most once", func(r Request) Request { r.Idempotent = &no; return r }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRequests(t, func(h *requestsHarness) {
				_, err := h.Submit(h.c.Context(), keyed("a"), 0)
				h.c.Assert(err, qt.IsNil)
				st, err := h.Submit(h.c.Context(), tt.change(keyed("a")), 0)
				h.c.Assert(err, qt.IsNil)
				n, refused := st.Outcome.(outcome.NotRun)
				h.c.Check(refused, qt.Equals, !tt.same)
				if refused {
					h.c.Check(n.Reason, qt.Equals, outcome.ReasonKeyConflict)
				}
			})
		})
	}
}

// Guards against a queue limit above the size of a page of the store that acts as if it were
// that size.
func TestQueueLimitAbovePageSize(t *testing.T) {
	withRequests(t, func(h *requestsHarness) {
		h.cfg.snapshot = configWithQueueLimit(700)
		kind, _ := h.cfg.snapshot.Kind("w1", "k")
		for i := range 699 {
			tx := table.Tx{Part: "0"}.WithWrite(job.TableWaiting, fmt.Sprintf("%s/%04d", kind.Queue(), i), nil)
			_, err := h.store.Commit(h.c.Context(), tx)
			h.c.Assert(err, qt.IsNil)
		}
		st, err := h.Submit(h.c.Context(), keyed("a"), 0)
		h.c.Assert(err, qt.IsNil)
		h.c.Check(st.State, qt.Equals, job.Queued)
		st, err = h.Submit(h.c.Context(), keyed("b"), 0)
		h.c.Assert(err, qt.IsNil)
		_, refused := st.Outcome.(outcome.NotRun)
		h.c.Check(refused, qt.IsTrue)
	})
}

// Guards against a page of a list without the parameter for the next page, because jobs that
// were removed meanwhile are left out, and against a list that reads more than its page.
func TestListPages(t *testing.T) {
	withRequests(t, func(h *requestsHarness) {
		for i := range 5 {
			_, err := h.Submit(h.c.Context(), keyed(fmt.Sprint("key", i)), 0)
			h.c.Assert(err, qt.IsNil)
		}
		h.store.Delete(job.TableJobs, "0", job.DeriveID("w1", "key1"), false)
		var keys []string
		after := ""
		for range 10 {
			page, next, err := h.List(h.c.Context(), "w1", after, 2)
			h.c.Assert(err, qt.IsNil)
			for _, st := range page {
				keys = append(keys, st.Key)
			}
			if next == "" {
				break
			}
			after = next
		}
		h.c.Check(keys, qt.DeepEquals, []string{"key0", "key2", "key3", "key4"})
	})
}

// countingStore counts reads, and delays each by a time.
type countingStore struct {
	table.Store
	delay time.Duration
	reads int
}

func (s *countingStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	s.reads++
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return table.Page{}, &table.UnavailableError{Err: ctx.Err()}
	}
	return s.Store.Read(ctx, r)
}

// Guards against a count of a long queue that fails, and refuses all calls after it, because
// its many pages together take longer than one read may.
func TestCountOfLongQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waiting = 3000 // six pages
		memory := tabletest.New()
		for i := range waiting {
			_, err := memory.Commit(t.Context(), table.Tx{Part: "0"}.WithWrite(job.TableWaiting, fmt.Sprintf("k/%05d", i), nil))
			qt.Assert(t, err, qt.IsNil)
		}
		s := New(&countingStore{Store: memory, delay: minReadTimeout / 2}, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		defer s.Close()
		n, err := s.Waiting(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, waiting)
		qt.Check(t, s.StoreDowntime(), qt.Equals, time.Duration(0))
	})
}

// Guards against a list that waits for a store that is known to be unavailable.
func TestListIsRefusedWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := tabletest.New()
		store := &countingStore{Store: memory, delay: time.Hour}
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		q := NewRequests(s, &fixedConfig{configWithQueueLimit(1)}, memory)
		defer s.Close()
		defer q.Close()
		_, err := s.State(t.Context(), "a", AnyJob)
		qt.Assert(t, err, qt.IsNotNil)
		begin := time.Now()
		_, _, err = q.List(t.Context(), "w1", "", 10)
		qt.Check(t, err, qt.ErrorIs, ErrStoreDown)
		qt.Check(t, time.Since(begin), qt.Equals, time.Duration(0))
	})
}
