// Package httpcall makes single HTTP calls and reports whether a failed call may
// have reached the server. The clients of the platform and of the worker use it
// to distinguish requests that had no effect from those that may have had one.
//
// A failed request counts as possibly sent unless the HTTP transport reported
// through net/http/httptrace that it was still waiting for a connection. With a
// round tripper that does not support httptrace, every failed request counts as
// possibly sent.
//
// # Usage
//
//	reply, err := httpcall.Do(ctx, client, httpcall.Request{Method: http.MethodGet, URL: u})
//	var ce *httpcall.Error
//	if errors.As(err, &ce) && !ce.Sent {
//		// The server did not receive the request.
//	}
package httpcall
