package table

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
)

// stubStore is a Store whose calls all return the same error or number of rows.
type stubStore struct {
	err  error
	rows int
}

func (a stubStore) Commit(context.Context, Tx) (Commit, error) { return Commit{}, a.err }

func (a stubStore) Read(context.Context, Range) (Page, error) {
	return Page{Rows: make([]Row, a.rows)}, a.err
}

func (a stubStore) Watch(context.Context, string, uint64, time.Duration) (Changes, error) {
	return Changes{Rows: make([]Row, a.rows)}, a.err
}

// Guards against calls counted under a wrong outcome label, and against counting the
// rows of a failed transaction as written.
func TestInstrumented(t *testing.T) {
	set := metrics.NewSet()
	ctx := t.Context()
	tx := Tx{}.WithWrite("t", "a", nil).WithWrite("t", "b", nil).WithDeletion("t", "c")
	commits := []struct {
		err     error
		outcome string
	}{
		{nil, "done"},
		{&ConflictError{}, "conflict"},
		{&OutcomeUnknownError{Err: errors.New("no answer")}, "unknown"},
		{&UnavailableError{Err: errors.New("busy")}, "failed"},
	}
	for _, c := range commits {
		_, err := Instrumented(stubStore{err: c.err}, set).Commit(ctx, tx)
		qt.Check(t, err, qt.Equals, c.err)
	}
	s := Instrumented(stubStore{rows: 5}, set)
	_, err := s.Read(ctx, Range{})
	qt.Check(t, err, qt.IsNil)
	_, err = s.Watch(ctx, "t", 0, 0)
	qt.Check(t, err, qt.IsNil)
	_, err = Instrumented(stubStore{err: ErrHistoryLost}, set).Watch(ctx, "t", 0, 0)
	qt.Check(t, err, qt.Equals, ErrHistoryLost)

	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, want := range []string{
		`medlargrade_store_calls_total{call="commit",outcome="done"} 1`,
		`medlargrade_store_calls_total{call="commit",outcome="conflict"} 1`,
		`medlargrade_store_calls_total{call="commit",outcome="unknown"} 1`,
		`medlargrade_store_calls_total{call="commit",outcome="failed"} 1`,
		`medlargrade_store_calls_total{call="watch",outcome="history_lost"} 1`,
		`medlargrade_store_rows_written_total 3`,
		`medlargrade_store_rows_read_total 10`,
		`medlargrade_store_call_seconds_count{call="commit"} 4`,
	} {
		qt.Check(t, text.String(), qt.Contains, want+"\n")
	}
}
