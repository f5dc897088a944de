package rpc

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls on a closed pool and by calls that Close ended.
var ErrClosed = errors.New("pool is closed")

// NotSentError reports a call that failed before any byte of it was written, so
// the peer did not receive it. After any other error the peer may have received
// the call.
type NotSentError struct {
	Err error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent returns true. Packages that do not import this one detect the error by
// an interface with this method.
func (e *NotSentError) NotSent() bool { return true }

// SizeError reports a message larger than MaxMessageBytes.
type SizeError struct {
	Size int // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessageBytes)
}
