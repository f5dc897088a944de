// Package outcome defines how a request can end, and an error that names the call
// that failed and the peer involved.
//
// An Outcome is exactly one of Ran, NotRun and Unknown. NotRun guarantees that no
// worker ran any part of the request; code that cannot prove this must report
// Unknown.
//
// # Usage
//
//	switch o := o.(type) {
//	case outcome.Ran:
//		use(o.Answer)
//	case outcome.NotRun:
//		retryAfter(o.RetryAfter)
//	case outcome.Unknown:
//		report(o.Detail) // Must not be sent again unless idempotent.
//	}
package outcome
