package shard

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/state/table"
)

// loadSpeedsTimeout bounds the read of the learned speeds. A new owner has just read the progress
// of all jobs, so the store answers, and without the row the speeds are learned again.
const loadSpeedsTimeout = 300 * time.Millisecond

// loadSpeeds restores the learned speeds of the workers, if they are used and the store answers.
func (o *owner) loadSpeeds(ctx context.Context) {
	if !o.cfg.Planner.Policy.LearnSpeeds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadSpeedsTimeout)
	defer cancel()
	page, err := o.deps.Store.Read(ctx, table.Range{
		Table: planner.TableSpeeds, Part: o.cfg.Part, From: planner.SpeedsKey, To: planner.SpeedsKey + "\x00",
	})
	if err != nil || len(page.Rows) == 0 {
		o.deps.Log.Info().Int("Event", EventSpeedsNotLoaded).Err(err).Msg("there are no recorded speeds of workers; they are learned again")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.RestoreSpeeds(page.Rows[0].Value, time.Now())
}
