// Package outcome defines how a request can end and the error that carries the
// step and the peer of a failure.
//
// An Outcome is exactly one of Ran, NotRun and Unknown. NotRun is a promise: no
// worker ran any part of the request. Whoever cannot prove that reports Unknown.
//
// # Usage
//
//	switch o := o.(type) {
//	case outcome.Ran:
//		use(o.Answer)
//	case outcome.NotRun:
//		retryAfter(o.RetryAfter)
//	case outcome.Unknown:
//		report(o.Reason) // Must not be sent again unless idempotent.
//	}
package outcome
