package caller

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// Service does what callers ask for.
//
// A response carries an Outcome if the job has ended, otherwise a State. Methods
// return early when ctx ends, which is when the caller has gone away or the
// server cuts the request short.
//
// Errors: a *callerapi.InvalidError for an invalid request, callerapi.ErrNotFound
// for a job that does not exist. After any other error of Submit the caller is
// told that the outcome is unknown.
type Service interface {
	// Submit accepts a validated request and waits up to wait for its end. A
	// request that is refused is a response with the outcome NotRun.
	Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error)
	// Lookup waits up to wait for the end of a job and describes it.
	Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error)
	// Cancel asks for the end of a job and describes it. It does not wait.
	Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error)
	// List returns up to limit jobs of a workspace with keys after the given one,
	// without their answers.
	List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error)
}
