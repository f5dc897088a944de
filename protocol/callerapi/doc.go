// Package callerapi holds the JSON types of the callers' API and their
// validation. Field names are in Pascal case and case-sensitive.
//
// A response to a submission has either an Outcome, if the request has ended, or
// a State. The outcome NotRun guarantees that no worker ran any part of the
// request.
//
// # Usage
//
//	req, err := callerapi.Decode(body)
//	var invalid *callerapi.InvalidError
//	switch {
//	case errors.Is(err, callerapi.ErrTooLarge):
//		// 413
//	case errors.As(err, &invalid):
//		// 400 with invalid.Problems
//	case err != nil:
//		// The body could not be read.
//	}
package callerapi
