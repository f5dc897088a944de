package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// requestsService implements Service with an intake.Requests.
type requestsService struct {
	requests *intake.Requests
}

// NewService returns a Service that passes its calls to requests.
func NewService(requests *intake.Requests) Service { return &requestsService{requests: requests} }

// RequestOf returns the request of a submission that has its defaults.
func RequestOf(req callerapi.Request) intake.Request {
	return intake.Request{
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
	}
}

// Submit implements Service.
func (s *requestsService) Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error) {
	req = req.WithDefaults()
	st, err := s.requests.Submit(ctx, RequestOf(req), wait)
	return responseOf(st), err
}

// Lookup implements Service.
func (s *requestsService) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error) {
	st, err := s.requests.Lookup(ctx, workspace, key, wait)
	return responseOf(st), apiError(err)
}

// Cancel implements Service.
func (s *requestsService) Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error) {
	st, err := s.requests.Cancel(ctx, workspace, key)
	return responseOf(st), apiError(err)
}

// List implements Service.
func (s *requestsService) List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error) {
	list, next, err := s.requests.List(ctx, workspace, after, limit)
	if err != nil {
		return callerapi.List{}, apiError(err)
	}
	out := callerapi.List{Jobs: make([]callerapi.Response, 0, len(list)), After: next}
	for _, st := range list {
		r := responseOf(st)
		r.Answer = nil
		out.Jobs = append(out.Jobs, r)
	}
	return out, nil
}

func apiError(err error) error {
	if errors.Is(err, intake.ErrNoJob) {
		return callerapi.ErrNotFound
	}
	var unavailable *table.UnavailableError
	var outcomeUnknown *table.OutcomeUnknownError
	if errors.As(err, &unavailable) || errors.As(err, &outcomeUnknown) || errors.Is(err, intake.ErrStoreDown) {
		return fmt.Errorf("%w: %w", callerapi.ErrUnavailable, err)
	}
	return err
}

func responseOf(st intake.Status) callerapi.Response {
	r := callerapi.Response{Workspace: st.Workspace, Key: st.Key, Job: st.Job, State: callerapi.Queued}
	if st.State == job.Running {
		r.State = callerapi.Dispatched
	}
	return withOutcome(r, st.Outcome)
}
