package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a request of the callers' API that runs although its cancellation was answered
// that there is no such job.
func TestRequestCancelledBeforeItsRowIsWritten(t *testing.T) {
	tests := []struct {
		name      string
		submitted bool   // a submission is sent before the cancellation, and carried out after it
		cancelKey string // of the cancellation
		workspace string // of the cancellation
		want      string // outcome of a submission after the cancellation
	}{
		{name: "before the submission", cancelKey: "a", workspace: "w1", want: "NotRun Canceled"},
		{name: "written late", submitted: true, cancelKey: "a", workspace: "w1", want: "NotRun Canceled"},
		{name: "another key", cancelKey: "b", workspace: "w1", want: "queued"},
		{name: "another workspace", cancelKey: "a", workspace: "w2", want: "queued"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRequests(t, func(h *requestsHarness) {
				carryOut := func(context.Context) []error { return nil }
				if tt.submitted {
					carryOut = h.store.HoldCommits()
					ctx, cancel := context.WithTimeout(h.c.Context(), time.Second)
					defer cancel()
					st, err := h.Submit(ctx, keyed("a"), 0)
					h.c.Assert(err, qt.IsNil)
					_, unknown := st.Outcome.(outcome.Unknown)
					h.c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", st))
					h.store.OnCommit(nil)
				}
				_, err := h.Cancel(h.c.Context(), tt.workspace, tt.cancelKey)
				h.c.Assert(err, qt.ErrorIs, ErrNoJob)
				for _, err := range carryOut(h.c.Context()) {
					h.c.Check(err, qt.ErrorMatches, "a row has another version")
				}
				st, err := h.Submit(h.c.Context(), keyed("a"), 0)
				h.c.Assert(err, qt.IsNil)
				got := string(st.State)
				if n, ok := st.Outcome.(outcome.NotRun); ok {
					got = "NotRun " + string(n.Reason)
					h.c.Check(n.RetryAfter, qt.Equals, time.Duration(0))
				}
				h.c.Check(got, qt.Equals, tt.want)
				_, err = h.Lookup(h.c.Context(), "w1", "a", 0)
				h.c.Check(err == nil, qt.Equals, tt.want == "queued", qt.Commentf("%v", err))
			})
		})
	}
}

// Guards against a submission that is still sent to the store when the early cancellation of its
// job may have been removed.
func TestSubmissionEndsBeforeEarlyCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tabletest.New()
		last := time.Now()
		store.OnCommit(func(table.Tx) tabletest.CommitResult {
			last = time.Now()
			return tabletest.RequestLost
		})
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		defer s.Close()
		start := time.Now()
		r := s.Submit(t.Context(), job.Job{ID: "a", Kind: "k"}, admission.Demand{}, nil)
		_, unknown := r.(OutcomeUnknown)
		qt.Check(t, unknown, qt.IsTrue, qt.Commentf("%#v", r))
		qt.Check(t, last.Sub(start) < job.MinEarlyCancellationTime/2, qt.IsTrue, qt.Commentf("the last attempt was sent after %v", last.Sub(start)))
	})
}

// Guards against an early cancellation that drops those of other workspaces, or grows with each
// repetition, beyond the size of a row.
func TestEarlyCancellationsOfManyWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tabletest.New()
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		defer s.Close()
		name := func(i int) string { return time.Duration(i).String() }
		for i := range 230 {
			for range 2 {
				qt.Assert(t, s.Cancel(t.Context(), "a", Canceller{Workspace: name(i)}, AnyJob), qt.ErrorIs, ErrNoJob)
			}
		}
		for i := range 231 {
			refused := i < 230
			r := s.Submit(t.Context(), job.Job{ID: "a", Kind: "k", Steps: []job.Step{{Tasks: 1}}}, admission.Demand{}, func(w string) bool { return w == name(i) })
			x, ok := r.(Refused)
			qt.Assert(t, ok && x.Cancelled, qt.Equals, refused, qt.Commentf("%#v", r))
		}
	})
}

// Guards against a job that is shown as cancelled and then as completed: its last task may have ended
// before the planner learns of the cancellation.
func TestFinalStateStays(t *testing.T) {
	tests := []struct {
		name  string
		ended job.State // as the planner records it after the cancellation
	}{
		{"the last task has ended before", job.Completed},
		{"a task has failed before", job.Failed},
		{"the planner has stopped the job", job.Cancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, store := qt.New(t), tabletest.New()
				s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
				defer s.Close()
				j := job.Job{ID: "a", Kind: "k", Steps: []job.Step{{Tasks: 1}}}
				c.Assert(s.Submit(t.Context(), j, admission.Demand{}, nil), qt.Equals, Result(Accepted{}))
				c.Assert(s.Cancel(t.Context(), "a", Canceller{}, AnyJob), qt.IsNil)
				before, err := s.State(t.Context(), "a", AnyJob)
				c.Assert(err, qt.IsNil)
				p := job.NewProgress(j, 0)
				p.State = tt.ended
				_, err = store.Commit(t.Context(), table.Tx{Part: "0"}.WithWrite(job.TableProgress, job.ProgressKey("a", 0), p.Encode()))
				c.Assert(err, qt.IsNil)
				after, err := s.State(t.Context(), "a", AnyJob)
				c.Assert(err, qt.IsNil)
				c.Check(after, qt.Equals, tt.ended)
				c.Check(!before.Final() || before == after, qt.IsTrue, qt.Commentf("shown as %s and then as %s", before, after))
			})
		})
	}
}
