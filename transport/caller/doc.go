// Package caller serves the callers' HTTP API and has a client for it.
//
// Handler maps the API to a Service. Status codes of a response that describes a
// job:
//
//	200  the job has ended; on submission only with Ran or Unknown
//	202  the job has not ended
//	400  NotRun: the request is invalid, or names an unknown workspace or kind
//	409  NotRun: the key belongs to another request, or the job was canceled
//	413  NotRun: the body is too large
//	422  NotRun: the job can never run with the current configuration
//	429  NotRun: the queue is full or retries are spent; try again after Retry-After
//	503  NotRun for a passing reason; try again after Retry-After
//	504  NotRun: the deadline passed before a start
//	500  Unknown: the service failed without saying how the request ended
//
// The codes 4xx and 5xx with an outcome apply to submissions only: lookup and
// cancel describe a job with 200 or 202. Errors of all other requests have a
// callerapi.ErrorBody and code 400, 404, 405 or 500. The outcome in the body
// decides, not the code.
//
// # Usage
//
//	s := caller.NewServer(caller.Handler(service, log), log)
//	go func() { errs <- s.Serve(listener) }()
//	<-leaving
//	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
//	defer cancel()
//	err := s.Shutdown(ctx)
//
// A caller uses Client:
//
//	c := caller.Client{Base: "http://10.0.0.1:8080"}
//	resp, err := c.Submit(ctx, callerapi.Request{Workspace: "web", Kind: "render"}, 30*time.Second)
package caller
