// Package caller simulates the callers and the operator of the users' platform. It
// submits jobs, looks them up and cancels them over the platform's protocol, and
// encodes the operator's configuration.
//
// # Usage
//
//	c := caller.New(http.DefaultTransport)
//	r, err := c.Submit(ctx, "127.0.0.1:8080", queue, job)
//	if err != nil {
//		// No complete response: the job may have been accepted.
//	}
package caller
