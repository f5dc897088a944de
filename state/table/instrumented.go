package table

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Instrumented returns a Store that passes all calls to s and records their number,
// duration and outcome, and the number of rows, in set.
func Instrumented(s Store, set *metrics.Set) Store { return &instrumentedStore{s, set} }

type instrumentedStore struct {
	store Store
	set   *metrics.Set
}

// Commit implements Store.
func (m *instrumentedStore) Commit(ctx context.Context, tx Tx) (Commit, error) {
	start := time.Now()
	c, err := m.store.Commit(ctx, tx)
	m.recordCall("commit", start, err)
	if err == nil {
		m.set.GetOrCreateCounter(`medlargrade_store_rows_written_total`).Add(len(tx.Writes) + len(tx.Deletions))
	}
	return c, err
}

// Read implements Store.
func (m *instrumentedStore) Read(ctx context.Context, r Range) (Page, error) {
	start := time.Now()
	p, err := m.store.Read(ctx, r)
	m.recordCall("read", start, err)
	m.set.GetOrCreateCounter(`medlargrade_store_rows_read_total`).Add(len(p.Rows))
	return p, err
}

// Watch implements Store. The recorded duration includes the wait for a change.
func (m *instrumentedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	start := time.Now()
	c, err := m.store.Watch(ctx, table, after, wait)
	m.recordCall("watch", start, err)
	m.set.GetOrCreateCounter(`medlargrade_store_rows_read_total`).Add(len(c.Rows))
	return c, err
}

func (m *instrumentedStore) recordCall(call string, start time.Time, err error) {
	m.set.GetOrCreateCounter(`medlargrade_store_calls_total{call="` + call + `",outcome="` + outcomeLabel(err) + `"}`).Inc()
	m.set.GetOrCreatePrometheusHistogram(`medlargrade_store_call_seconds{call="` + call + `"}`).UpdateDuration(start)
}

// outcomeLabel returns the value of the outcome label for a call that returned err.
func outcomeLabel(err error) string {
	var conflict *ConflictError
	var lost *OutcomeUnknownError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &lost):
		return "unknown"
	case errors.Is(err, ErrHistoryLost):
		return "history_lost"
	}
	return "failed"
}
