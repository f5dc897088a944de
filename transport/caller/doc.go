// Package caller provides a server and a client of the callers' HTTP API.
//
// Handler maps the API to a Service. Responses that describe a job have these
// status codes:
//
//	200  the job has ended; on submission only with Ran or Unknown
//	202  the job has not ended
//	400  NotRun: the request is invalid, or names an unknown workspace or kind
//	408  NotRun: the body did not arrive within BodyTimeout
//	409  NotRun: the key belongs to another request, or the job was canceled
//	413  NotRun: the body is too large
//	422  NotRun: the job can never run with the current configuration
//	429  NotRun: the queue is full or retries are spent; try again after Retry-After
//	503  NotRun: a temporary condition; try again after Retry-After
//	504  NotRun: the deadline passed before the job started
//	500  Unknown: the service failed and the outcome of the request is unknown
//
// The codes 4xx and 5xx with an outcome apply to submissions only: lookup and
// cancel describe a job with 200 or 202. Errors of all other requests have a
// callerapi.ErrorBody and code 400, 404, 405, 500 or 503. Clients should decide by
// the outcome in the body, not by the code.
//
// # Usage
//
//	s := caller.NewServer(caller.Handler(service, log), limits, log)
//	go func() { errs <- s.Serve(listener) }()
//	<-ctx.Done()
//	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
//	defer cancel()
//	err := s.Shutdown(ctx)
//
// A caller uses Client:
//
//	c := caller.Client{Base: "http://10.0.0.1:8080"}
//	resp, err := c.Submit(ctx, callerapi.Request{Workspace: "web", Kind: "render"}, 30*time.Second)
package caller
