package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// scriptedStore is a store with scripted results of transactions and a fixed duration
// of reads.
type scriptedStore struct {
	readTime      time.Duration // duration of a read, which fails if its context ends first
	restored      chan struct{} // reads block until it is closed; nil for none
	commits       []error       // results of the transactions in order; the last one repeats
	conflictToken string        // token in the row of a conflict; empty for the caller's own
	commitCount   int           // number of transactions so far
}

// Commit implements table.Store.
func (s *scriptedStore) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	pause.For(ctx, 5*time.Millisecond)
	err := s.commits[min(s.commitCount, len(s.commits)-1)]
	s.commitCount++
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		j, _ := job.Decode(tx.Writes[0].Value) // The service encoded the value itself.
		if s.conflictToken != "" {
			j.Token = s.conflictToken
		}
		conflict.Rows = []table.Row{{Table: job.TableJobs, Key: j.ID, Value: j.Encode(), Version: 1}}
	}
	return table.Commit{Version: 1}, err
}

// Read implements table.Store.
func (s *scriptedStore) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	t := time.NewTimer(s.readTime)
	defer t.Stop()
	if s.restored != nil {
		select {
		case <-ctx.Done():
			return table.Page{}, &table.UnavailableError{Err: ctx.Err()}
		case <-s.restored:
		}
	}
	select {
	case <-ctx.Done():
		return table.Page{}, &table.UnavailableError{Err: ctx.Err()}
	case <-t.C:
		return table.Page{}, nil
	}
}

// Watch implements table.Store.
func (s *scriptedStore) Watch(context.Context, string, uint64, time.Duration) (table.Changes, error) {
	return table.Changes{}, table.ErrHistoryLost
}

// Guards against the refusal of a job that may be recorded because the answer of the
// store was lost, or that an overloaded store accepts on a retry, and against callers
// that wait for a store that does not answer.
func TestSubmit(t *testing.T) {
	overloaded := &table.UnavailableError{Err: table.ErrOverloaded}
	busy := &table.UnavailableError{Err: errors.New("busy")}
	lost := &table.OutcomeUnknownError{Err: errors.New("no answer")}
	conflict := &table.ConflictError{}
	const callerTimeout = 2 * time.Second
	tests := []struct {
		name   string
		store  scriptedStore
		want   string
		within time.Duration
	}{
		{name: "answers", store: scriptedStore{commits: []error{nil}}, want: "accepted", within: 10 * time.Millisecond},
		{name: "busy", store: scriptedStore{commits: []error{busy}}, want: "refused", within: 10 * time.Millisecond},
		{name: "overloaded for a while", store: scriptedStore{commits: []error{overloaded, overloaded, nil}}, want: "accepted", within: time.Second},
		{name: "overloaded", store: scriptedStore{commits: []error{overloaded}}, want: "refused", within: callerTimeout},
		{name: "overloaded after a lost answer", store: scriptedStore{commits: []error{lost, overloaded}}, want: "undecided", within: callerTimeout},
		{name: "answers are lost", store: scriptedStore{commits: []error{lost}}, want: "undecided", within: callerTimeout},
		{name: "answer lost, written", store: scriptedStore{commits: []error{lost, conflict}}, want: "accepted", within: 100 * time.Millisecond},
		{name: "answer lost, not written", store: scriptedStore{commits: []error{lost, nil}}, want: "accepted", within: 100 * time.Millisecond},
		{name: "recorded before", store: scriptedStore{commits: []error{conflict}, conflictToken: "other"}, want: "duplicate", within: 10 * time.Millisecond},
		{name: "slow", store: scriptedStore{readTime: 450 * time.Millisecond, commits: []error{nil}}, want: "accepted", within: 500 * time.Millisecond},
		{name: "silent", store: scriptedStore{readTime: time.Hour, commits: []error{nil}}, want: "refused", within: minReadTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(&tt.store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
				defer s.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				begin := time.Now()
				got := ""
				switch r := s.Submit(ctx, job.Job{ID: "a", Token: "mine", Kind: "k", Steps: []job.Step{{Tasks: 1}}}, admission.Demand{}, nil).(type) {
				case Accepted:
					got = "accepted"
					if r.Duplicate {
						got = "duplicate"
					}
				case Refused:
					got = "refused"
					qt.Check(t, r.RetryAfter > 0, qt.IsTrue)
				case OutcomeUnknown:
					got = "undecided"
				}
				qt.Check(t, got, qt.Equals, tt.want)
				qt.Check(t, time.Since(begin) <= tt.within, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
			})
		})
	}
}

// Guards against a breaker that lets each caller wait for its own timeout while the
// store is known to be unavailable, and against refusals after it is available again.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{restored: make(chan struct{}), commits: []error{nil}}
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		defer s.Close()
		submit := func() (Result, time.Duration) {
			begin := time.Now()
			r := s.Submit(t.Context(), job.Job{ID: "a", Kind: "k"}, admission.Demand{}, nil)
			return r, time.Since(begin)
		}
		_, took := submit()
		qt.Check(t, took, qt.Equals, minReadTimeout)
		for range 3 {
			r, took := submit()
			_, refused := r.(Refused)
			qt.Check(t, refused, qt.IsTrue)
			qt.Check(t, took, qt.Equals, time.Duration(0))
		}
		time.Sleep(2 * time.Second)
		qt.Check(t, s.StoreDowntime(), qt.Equals, minReadTimeout+2*time.Second)
		close(store.restored)
		time.Sleep(probeTimeout + probePause + time.Millisecond)
		qt.Check(t, s.StoreDowntime(), qt.Equals, time.Duration(0))
		r, _ := submit()
		qt.Check(t, r, qt.Equals, Result(Accepted{}))
	})
}
