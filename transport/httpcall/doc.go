// Package httpcall makes single HTTP calls and tells whether a failed call may
// have reached the server. The clients of the platform and of the worker use
// it to separate requests that certainly had no effect from those that may
// have had one.
//
// A request counts as possibly sent unless the HTTP transport reported through
// net/http/httptrace that it was still waiting for a connection. A round
// tripper that reports nothing thus counts as having sent the request.
//
// # Usage
//
//	reply, err := httpcall.Do(ctx, client, httpcall.Request{Method: http.MethodGet, URL: u})
//	var ce *httpcall.Error
//	if errors.As(err, &ce) && !ce.Sent {
//		// The server has not seen the request.
//	}
package httpcall
