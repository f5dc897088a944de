package executor

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/state/attempts"
)

const (
	drainPoll = 100 * time.Millisecond
	// drainStop bounds the wait for the stops at the end of the drain time: a
	// checkpoint, then the lease of a task whose stop the worker does not confirm.
	drainStop = CheckpointGrace + WorkerLease + callTimeout
	// drainFetch is the time in which entries may fetch the last answers.
	drainFetch = 5 * time.Second
)

// Drain makes the target leave. From the call on, new work is refused with
// REFUSAL_LEAVING and reservations that were not released are dropped. Drain
// returns once the released work has ended and its answers were fetched. When
// ctx ends, which is the end of the drain time, it checkpoints and stops what
// still runs.
func (e *Executor) Drain(ctx context.Context) {
	started := time.Now()
	e.table.Leave()
	e.log.Info().Int(eventField, EventDrainStarted).Msg("target leaves")
	e.reporter.kick()
	const reason = "the target is leaving"
	for _, st := range e.table.List(func(st *attempts.Status) bool { return st.Phase == attempts.Held }) {
		e.table.Fence(st.Spec.ID, attempts.CodeLeaving, reason)
	}
	if !e.awaitIdle(ctx) {
		running := e.table.List(isHeld)
		e.log.Warn().Int(eventField, EventDrainTimeout).Int("Attempts", len(running)).Msg("drain time over, tasks stop")
		for _, st := range running {
			e.table.Stop(st.Spec.ID, attempts.Stop{Code: attempts.CodeLeaving, Reason: reason, Checkpoint: CheckpointGrace})
		}
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainStop)
		e.awaitIdle(sctx)
		cancel()
	}
	e.awaitFetched(context.WithoutCancel(ctx), started)
	e.log.Info().Int(eventField, EventDrainEnded).Msg("target holds no work")
}

// isHeld reports whether an attempt still occupies the target.
func isHeld(st *attempts.Status) bool { return !st.Phase.IsEnded() || st.Slots > 0 }

// awaitIdle waits until no attempt is held. It reports false if ctx ended first.
func (e *Executor) awaitIdle(ctx context.Context) bool {
	for len(e.table.List(isHeld)) > 0 {
		if !sleep(ctx, drainPoll) || e.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// awaitFetched waits a while until the entries have the answers.
func (e *Executor) awaitFetched(ctx context.Context, since time.Time) {
	ctx, cancel := context.WithTimeout(ctx, drainFetch)
	defer cancel()
	for e.table.Unfetched(since) > 0 {
		if !sleep(ctx, drainPoll) || e.ctx.Err() != nil {
			return
		}
	}
}
