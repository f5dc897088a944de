package callerapi

import "errors"

// ErrUnavailable reports that the entry can't look up a job at the moment, for
// example because the platform's store is down.
var ErrUnavailable = errors.New("the job can't be looked up now")

// ErrNotFound reports a job that does not exist or whose result is no longer
// retained.
var ErrNotFound = errors.New("no such job")
