package callerapi

import "errors"

// ErrNotFound reports a job that does not exist, or whose result is no longer
// kept.
var ErrNotFound = errors.New("no such job")
