package shard

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// commitApart commits a batch that the store has rejected as invalid, row by row, so that a row
// that the store never accepts holds up nothing else. It returns the batch without the
// acknowledgements of ends, which may not be recorded.
func (o *owner) commitApart(ctx context.Context, b planner.Batch) (planner.Batch, error) {
	var parts []table.Tx
	for _, w := range b.Writes {
		parts = append(parts, table.Tx{Writes: []table.Write{w}})
	}
	if len(b.Deletions) > 0 {
		parts = append(parts, table.Tx{Deletions: b.Deletions})
	}
	// Without other rows, the transaction shows whether this process still owns the shard.
	if err := o.commit(ctx, table.Tx{}); err != nil {
		return b, err
	}
	var rejected []string
	for _, tx := range parts {
		err := o.commit(ctx, tx)
		if errors.Is(err, table.ErrRejected) {
			for _, w := range tx.Writes {
				o.deps.Log.Error().Int("Event", EventRowRejected).Str("Table", w.Table).Str("Key", w.Key).Int("Bytes", len(w.Value)).Err(err).
					Msg("the store rejects a row")
				if w.Table == job.TableProgress {
					rejected = append(rejected, w.Key)
				}
			}
			if len(tx.Deletions) > 0 {
				o.deps.Log.Error().Int("Event", EventRowRejected).Int("Deletions", len(tx.Deletions)).Err(err).Msg("the store rejects deletions")
			}
			o.deps.Metrics.GetOrCreateCounter(`medlargrade_rows_rejected_total`).Inc()
			continue
		}
		if err != nil {
			return b, err
		}
	}
	o.mu.Lock()
	o.plan.RejectRows(rejected, time.Now())
	o.mu.Unlock()
	o.requestPass()
	b.EndAcks = nil
	return b, nil
}
