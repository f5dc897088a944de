package table

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Measured returns a store that counts its calls and measures their durations in
// set.
func Measured(s Store, set *metrics.Set) Store { return &measured{s, set} }

type measured struct {
	store Store
	set   *metrics.Set
}

// Commit implements Store.
func (m *measured) Commit(ctx context.Context, tx Tx) (Commit, error) {
	sent := time.Now()
	c, err := m.store.Commit(ctx, tx)
	m.done("commit", sent, err)
	if err == nil {
		m.set.GetOrCreateCounter(`medlargrade_store_rows_written_total`).Add(len(tx.Writes) + len(tx.Deletions))
	}
	return c, err
}

// Read implements Store.
func (m *measured) Read(ctx context.Context, r Range) (Page, error) {
	sent := time.Now()
	p, err := m.store.Read(ctx, r)
	m.done("read", sent, err)
	m.set.GetOrCreateCounter(`medlargrade_store_rows_read_total`).Add(len(p.Rows))
	return p, err
}

// Watch implements Store. Its duration includes the wait.
func (m *measured) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	sent := time.Now()
	c, err := m.store.Watch(ctx, table, after, wait)
	m.done("watch", sent, err)
	m.set.GetOrCreateCounter(`medlargrade_store_rows_read_total`).Add(len(c.Rows))
	return c, err
}

func (m *measured) done(call string, sent time.Time, err error) {
	m.set.GetOrCreateCounter(`medlargrade_store_calls_total{call="` + call + `",outcome="` + outcome(err) + `"}`).Inc()
	m.set.GetOrCreatePrometheusHistogram(`medlargrade_store_call_seconds{call="` + call + `"}`).UpdateDuration(sent)
}

// outcome names the kind of an error.
func outcome(err error) string {
	var conflict *ConflictError
	var lost *LostError
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
