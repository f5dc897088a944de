package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/coordination/scheduler"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/state/rows"
)

// schedulerService presents a scheduler in the types of the callers' API.
type schedulerService struct {
	s *scheduler.Scheduler
}

// NewService returns the Service of an entry's scheduler.
func NewService(s *scheduler.Scheduler) Service { return &schedulerService{s: s} }

// Submit implements Service.
func (v *schedulerService) Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error) {
	req = req.WithDefaults()
	st, err := v.s.Submit(ctx, scheduler.Request{
		Workspace:    req.Workspace,
		Kind:         req.Kind,
		Workers:      req.Shape.Workers,
		Accelerators: req.Shape.Accelerators,
		Adjacent:     req.Shape.Adjacent,
		Declared:     req.DeclaredDuration(),
		Deadline:     req.DeadlineDuration(),
		Idempotent:   req.Idempotent,
		Key:          req.Key,
		Payload:      req.Payload,
	}, wait)
	if errors.Is(err, scheduler.ErrKeyConflict) {
		st = scheduler.Status{
			Workspace: req.Workspace, Key: req.Key, Ended: true,
			Outcome: outcome.NotRun{Reason: outcome.ReasonKeyConflict, Detail: err.Error()},
		}
		err = nil
	}
	return responseOf(st), err
}

// Lookup implements Service.
func (v *schedulerService) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error) {
	st, err := v.s.Lookup(ctx, workspace, key, wait)
	return responseOf(st), apiError(err)
}

// Cancel implements Service.
func (v *schedulerService) Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error) {
	st, err := v.s.Cancel(ctx, workspace, key)
	return responseOf(st), apiError(err)
}

// List implements Service.
func (v *schedulerService) List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error) {
	list, err := v.s.List(ctx, workspace, after, limit)
	if err != nil {
		return callerapi.List{}, apiError(err)
	}
	out := callerapi.List{Jobs: make([]callerapi.Response, 0, len(list))}
	for _, st := range list {
		r := responseOf(st)
		r.Answer = nil
		out.Jobs = append(out.Jobs, r)
	}
	if len(list) == limit && limit > 0 {
		out.After = list[limit-1].Key
	}
	return out, nil
}

func apiError(err error) error {
	if errors.Is(err, scheduler.ErrNoJob) {
		return callerapi.ErrNotFound
	}
	var unavailable *rows.UnavailableError
	if errors.As(err, &unavailable) {
		return fmt.Errorf("%w: %w", callerapi.ErrUnavailable, err)
	}
	return err
}

func responseOf(st scheduler.Status) callerapi.Response {
	r := callerapi.Response{Workspace: st.Workspace, Key: st.Key, Job: st.Job, State: callerapi.Queued}
	if st.State == rows.JobDispatched {
		r.State = callerapi.Dispatched
	}
	return describe(r, st.Outcome)
}
