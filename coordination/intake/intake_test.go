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

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// scripted is a store whose transactions follow a script and whose reads take a
// time.
type scripted struct {
	read    time.Duration // of a read; it fails with the context
	back    chan struct{} // closed when the store answers; nil if it always does
	commits []error       // of the transactions, one after the other; the last one stays
	token   string        // of the row that a conflict shows
	done    int           // transactions
}

// Commit implements table.Store.
func (s *scripted) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	pause.For(ctx, 5*time.Millisecond)
	err := s.commits[min(s.done, len(s.commits)-1)]
	s.done++
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		j, _ := job.Decode(tx.Writes[0].Value) // The service writes jobs that can be decoded.
		if s.token != "" {
			j.Token = s.token
		}
		conflict.Rows = []table.Row{{Table: job.TableJobs, Key: j.ID, Value: j.Encode(), Version: 1}}
	}
	return table.Commit{Version: 1}, err
}

// Read implements table.Store.
func (s *scripted) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	t := time.NewTimer(s.read)
	defer t.Stop()
	if s.back != nil {
		select {
		case <-ctx.Done():
			return table.Page{}, &table.UnavailableError{Err: ctx.Err()}
		case <-s.back:
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
func (s *scripted) Watch(context.Context, string, uint64, time.Duration) (table.Changes, error) {
	return table.Changes{}, table.ErrHistoryLost
}

// Guards against a refusal of a job that may be recorded, against one of a job that
// the store would have taken a moment later, and against callers who wait for a store
// that does not answer.
func TestSubmit(t *testing.T) {
	overloaded := &table.UnavailableError{Err: table.ErrOverloaded}
	busy := &table.UnavailableError{Err: errors.New("busy")}
	lost := &table.LostError{Err: errors.New("no answer")}
	conflict := &table.ConflictError{}
	const callerTime = 2 * time.Second
	tests := []struct {
		name   string
		store  scripted
		want   string
		within time.Duration
	}{
		{name: "answers", store: scripted{commits: []error{nil}}, want: "accepted", within: 10 * time.Millisecond},
		{name: "busy", store: scripted{commits: []error{busy}}, want: "refused", within: 10 * time.Millisecond},
		{name: "overloaded for a while", store: scripted{commits: []error{overloaded, overloaded, nil}}, want: "accepted", within: time.Second},
		{name: "overloaded", store: scripted{commits: []error{overloaded}}, want: "refused", within: callerTime},
		{name: "overloaded after a lost answer", store: scripted{commits: []error{lost, overloaded}}, want: "undecided", within: callerTime},
		{name: "answers are lost", store: scripted{commits: []error{lost}}, want: "undecided", within: callerTime},
		{name: "answer lost, written", store: scripted{commits: []error{lost, conflict}}, want: "accepted", within: 100 * time.Millisecond},
		{name: "answer lost, not written", store: scripted{commits: []error{lost, nil}}, want: "accepted", within: 100 * time.Millisecond},
		{name: "recorded before", store: scripted{commits: []error{conflict}, token: "other"}, want: "repeated", within: 10 * time.Millisecond},
		{name: "slow", store: scripted{read: 450 * time.Millisecond, commits: []error{nil}}, want: "accepted", within: 500 * time.Millisecond},
		{name: "silent", store: scripted{read: time.Hour, commits: []error{nil}}, want: "refused", within: patience},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(&tt.store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
				defer s.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callerTime)
				defer cancel()
				begin := time.Now()
				got := ""
				switch r := s.Submit(ctx, job.Job{ID: "a", Token: "mine", Kind: "k"}).(type) {
				case Accepted:
					got = "accepted"
					if r.Repeated {
						got = "repeated"
					}
				case Refused:
					got = "refused"
					qt.Check(t, r.RetryAfter > 0, qt.IsTrue)
				case Undecided:
					got = "undecided"
				}
				qt.Check(t, got, qt.Equals, tt.want)
				qt.Check(t, time.Since(begin) <= tt.within, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
			})
		})
	}
}

// Guards against callers that wait one after the other for a store that is known to
// be silent, and against refusals after its return.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scripted{back: make(chan struct{}), commits: []error{nil}}
		s := New(store, "0", &table.Clock{}, metrics.NewSet(), zerolog.Nop())
		defer s.Close()
		submit := func() (Result, time.Duration) {
			begin := time.Now()
			r := s.Submit(t.Context(), job.Job{ID: "a", Kind: "k"})
			return r, time.Since(begin)
		}
		_, took := submit()
		qt.Check(t, took, qt.Equals, patience)
		for range 3 {
			r, took := submit()
			_, refused := r.(Refused)
			qt.Check(t, refused, qt.IsTrue)
			qt.Check(t, took, qt.Equals, time.Duration(0))
		}
		time.Sleep(2 * time.Second)
		qt.Check(t, s.StoreSilent(), qt.Equals, patience+2*time.Second)
		close(store.back)
		time.Sleep(probeTimeout + probePause + time.Millisecond)
		qt.Check(t, s.StoreSilent(), qt.Equals, time.Duration(0))
		r, _ := submit()
		qt.Check(t, r, qt.Equals, Result(Accepted{}))
	})
}
