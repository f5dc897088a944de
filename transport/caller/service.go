package caller

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// Service implements the operations of the callers' API.
//
// A response has an Outcome if the job has ended, otherwise a State. Methods
// return early when ctx ends, which happens when the caller disconnects or
// Shutdown aborts the request.
//
// Errors are a *callerapi.InvalidError for an invalid request and
// callerapi.ErrNotFound for a job that does not exist. Methods other than Submit
// may return callerapi.ErrUnavailable. After any other error of Submit the caller
// is told that the outcome is unknown.
type Service interface {
	// Submit accepts a validated request and waits up to wait for its job to end.
	// A refused request is not an error but a response with the outcome NotRun.
	Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error)
	// Lookup waits up to wait for a job to end and describes it.
	Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error)
	// Cancel requests the cancellation of a job and describes the job, without
	// waiting for its end.
	Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error)
	// List returns up to limit jobs of a workspace with keys after the given one,
	// without their answers.
	List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error)
}
