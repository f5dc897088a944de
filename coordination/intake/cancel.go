package intake

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// MayCancel reports whether the callers of a workspace may cancel a certain job. The workspace is
// empty for callers without one.
type MayCancel func(workspace string) bool

// Canceller identifies a call that cancels a job.
type Canceller struct {
	Workspace string // of the caller; empty if it has none
	RequestID string // of the call; empty if it has none
}

// Cancel records the cancellation of a job that the caller may access. It does nothing if the job
// has ended, all occurrences of it, or is cancelled already.
//
// If no job is recorded under the ID, Cancel records that instead, and then returns ErrNoJob: no
// submission of the caller's workspace is recorded any more, whether it is on its way, was sent to
// the store without an answer or is repeated. It also returns ErrNoJob, and records nothing, if
// the caller may not access the job. After any other error the cancellation is not recorded,
// unless the error is a *table.OutcomeUnknownError.
func (s *Service) Cancel(ctx context.Context, id string, by Canceller, may Access) error {
	c := cancellation{s: s, id: id, by: by, token: rand.Text()}
	for {
		rec, err := s.readJob(ctx, id)
		switch {
		case errors.Is(err, ErrNoJob):
			err = c.recordEarly(ctx)
		case err != nil:
			return cmp.Or(c.unknown, err)
		case !may(rec.job):
			return ErrNoJob
		case rec.ended() || rec.cancelled:
			return nil
		default:
			err = c.record(ctx, rec)
		}
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		// The job was recorded or removed since it was read, or cancelled early by another call.
		c.earlyRow = conflict.Row(job.TableEarlyCancellations, id)
		if !pause.For(ctx, retryPause) {
			return fmt.Errorf("cancel job %s: %w", id, cmp.Or(c.unknown, err))
		}
	}
}

// cancellation is a cancellation in progress.
type cancellation struct {
	s        *Service
	id       string // of the job
	by       Canceller
	token    string    // identifies the cancellation
	earlyRow table.Row // of the early cancellations of the ID, as last seen
	unknown  error     // of the last attempt that may have taken effect; nil if there is none
}

// record records the cancellation of a recorded job.
func (c *cancellation) record(ctx context.Context, rec jobRecord) error {
	tx := table.Tx{Part: c.s.part}.
		WithCondition(job.TableJobs, c.id, rec.rowVersion).
		WithWrite(job.TableJobs, job.CancelKey(c.id), job.Cancellation{RequestID: c.by.RequestID}.Encode())
	if err := c.commit(ctx, tx); err != nil {
		return err
	}
	c.s.log.Info().Int("Event", EventCancelled).Str("Job", c.id).Str("RequestID", c.by.RequestID).Msg("cancellation recorded")
	return nil
}

// recordEarly records the cancellation of an ID under which no job is recorded. It returns
// ErrNoJob once that is done.
func (c *cancellation) recordEarly(ctx context.Context) error {
	early, err := job.DecodeEarlyCancellations(c.earlyRow.Value)
	if err != nil {
		return fmt.Errorf("cancel job %s: %w", c.id, err)
	}
	if early.HasToken(c.token) {
		return ErrNoJob // The answer to the attempt that recorded it was lost.
	}
	now, _ := c.s.clock.Now() // The answer to a read has set it.
	early = early.With(job.EarlyCancellation{
		Workspace: c.by.Workspace, RequestID: c.by.RequestID, Token: c.token, AtMillis: now.Milliseconds(),
	})
	value := early.Encode()
	if len(value) > table.MaxValueBytes {
		return fmt.Errorf("cancel job %s: the callers of %d workspaces have cancelled it before it was submitted", c.id, len(early.Calls)-1)
	}
	tx := table.Tx{Part: c.s.part}.
		WithCondition(job.TableJobs, c.id, 0).
		WithCondition(job.TableEarlyCancellations, c.id, c.earlyRow.Version).
		WithWrite(job.TableEarlyCancellations, c.id, value)
	if err := c.commit(ctx, tx); err != nil {
		return err
	}
	c.s.log.Info().Int("Event", EventCancelledEarly).Str("Job", c.id).Str("RequestID", c.by.RequestID).Str("Workspace", c.by.Workspace).
		Msg("no job is recorded under the ID; later submissions of the workspace are refused")
	c.s.set.GetOrCreateCounter(`medlargrade_early_cancellations_total`).Inc()
	return ErrNoJob
}

// commit makes a transaction. It retries until ctx ends, unless a condition fails.
func (c *cancellation) commit(ctx context.Context, tx table.Tx) error {
	for {
		_, err := c.s.store.Commit(ctx, tx)
		var conflict *table.ConflictError
		var lost *table.OutcomeUnknownError
		switch {
		case err == nil || errors.As(err, &conflict):
			return err
		case errors.As(err, &lost):
			c.unknown = err
		}
		if !pause.For(ctx, retryPause) {
			return fmt.Errorf("cancel job %s: %w", c.id, cmp.Or(c.unknown, err))
		}
	}
}

// checkEarlyCancellations returns the refusal of a job that one of its callers has cancelled before,
// by the row of the early cancellations of its ID, or nil.
func (s *Service) checkEarlyCancellations(j job.Job, row table.Row, may MayCancel) *Refused {
	early, err := job.DecodeEarlyCancellations(row.Value)
	if err != nil {
		r := s.refused(j, err, err)
		return &r
	}
	for _, c := range early.Calls {
		if may(c.Workspace) {
			s.reportSubmission(j, "cancelled", nil)
			return &Refused{Reason: "the job was cancelled before it was recorded", Cancelled: true}
		}
	}
	return nil
}
