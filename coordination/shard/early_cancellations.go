package shard

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// earlyCancellationCheck is the time between two reads of all early cancellations by the
	// owner: one call to the store a minute.
	earlyCancellationCheck = time.Minute
	// maxRemovals is the number of early cancellations that are removed in one transaction, which
	// has a condition and a deletion for each.
	maxRemovals = table.MaxEntries / 2
)

// removeEarlyCancellations removes early cancellations that are out of date, until ctx ends.
func (o *owner) removeEarlyCancellations(ctx context.Context) {
	keep := o.cfg.Planner.Retention
	if keep <= 0 {
		return // The rows of ended jobs are kept for good, and so are those of cancelled IDs.
	}
	keep = max(keep, job.MinEarlyCancellationTime)
	for pause.For(ctx, earlyCancellationCheck) {
		sent := time.Now()
		p, err := table.ReadAll(ctx, o.deps.Store, table.Range{Table: job.TableEarlyCancellations, Part: o.cfg.Part})
		if err != nil {
			o.deps.Log.Info().Int("Event", EventEarlyCancellationsKept).Err(err).Msg("early cancellations can't be read; trying again later")
			continue
		}
		o.deps.Clock.Observe(p.Now, sent)
		old := slices.DeleteFunc(p.Rows, func(r table.Row) bool { return !o.earlyCancellationOld(r, p.Now, keep) })
		for batch := range slices.Chunk(old, maxRemovals) {
			o.removeUnchanged(ctx, batch)
		}
	}
}

// earlyCancellationOld reports whether the last cancellation in a row was more than keep before now
// on the store's clock. A row that can't be decoded is kept.
func (o *owner) earlyCancellationOld(r table.Row, now, keep time.Duration) bool {
	e, err := job.DecodeEarlyCancellations(r.Value)
	if err != nil {
		o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
		return false
	}
	return now-e.Last() > keep
}

// removeUnchanged removes the rows that have not changed since they were read. It is safe to repeat,
// and to carry out late.
func (o *owner) removeUnchanged(ctx context.Context, rows []table.Row) {
	for len(rows) > 0 {
		tx := table.Tx{Part: o.cfg.Part}
		for _, r := range rows {
			tx = tx.WithCondition(r.Table, r.Key, r.Version).WithDeletion(r.Table, r.Key)
		}
		_, err := o.deps.Store.Commit(ctx, tx)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			if err != nil {
				o.deps.Log.Info().Int("Event", EventEarlyCancellationsKept).Int("Rows", len(rows)).Err(err).
					Msg("early cancellations can't be removed; trying again later")
			}
			return
		}
		rows = slices.DeleteFunc(rows, func(r table.Row) bool { return conflict.Row(r.Table, r.Key).Version != r.Version })
	}
}
