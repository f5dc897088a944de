package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/state/rows"
)

// Service presents a Scheduler in the types of the callers' API.
type Service struct {
	s *Scheduler
}

// NewService returns the callers' view of s.
func NewService(s *Scheduler) *Service { return &Service{s: s} }

// Submit implements the callers' API.
func (v *Service) Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error) {
	req = req.WithDefaults()
	st, err := v.s.Submit(ctx, Request{
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
	if errors.Is(err, ErrKeyConflict) {
		st = ended(req.Workspace, req.Key, outcome.NotRun{Reason: outcome.ReasonKeyConflict, Detail: err.Error()})
		err = nil
	}
	return responseOf(st), err
}

// Lookup implements the callers' API.
func (v *Service) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error) {
	st, err := v.s.Lookup(ctx, workspace, key, wait)
	return responseOf(st), apiError(err)
}

// Cancel implements the callers' API.
func (v *Service) Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error) {
	st, err := v.s.Cancel(ctx, workspace, key)
	return responseOf(st), apiError(err)
}

// List implements the callers' API.
func (v *Service) List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error) {
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
	if errors.Is(err, ErrNoJob) {
		return callerapi.ErrNotFound
	}
	return err
}

func responseOf(st Status) callerapi.Response {
	r := callerapi.Response{Workspace: st.Workspace, Key: st.Key, Job: st.Job}
	switch o := st.Outcome.(type) {
	case outcome.Ran:
		r.Outcome = callerapi.Ran
		r.Elapsed = callerapi.Duration(o.Elapsed)
		r.Answer = &callerapi.Answer{Parts: callerapi.Parts(o.Answer.Parts), Failed: o.Answer.Failed, Error: o.Answer.Error}
	case outcome.NotRun:
		r.Outcome = callerapi.NotRun
		r.Reason = string(o.Reason)
		r.Detail = o.Detail
		r.RetryAfter = callerapi.Duration(o.RetryAfter)
	case outcome.Unknown:
		r.Outcome = callerapi.Unknown
		r.Detail = o.Detail
	default:
		r.State = callerapi.Queued
		if st.State == rows.JobDispatched {
			r.State = callerapi.Dispatched
		}
	}
	return r
}
