package rpc

import (
	"errors"
	"fmt"
)

// ErrClosed reports a call on a closed pool, or one that its Close ended.
var ErrClosed = errors.New("pool is closed")

// NotSentError reports a call of which no byte left this process, so the peer
// did not receive it. Any other error of a call leaves that open.
type NotSentError struct {
	Err error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent returns true. It lets packages that do not import this one recognize
// the error by an interface.
func (e *NotSentError) NotSent() bool { return true }

// SizeError reports a message above MaxMessage.
type SizeError struct {
	Size int // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessage)
}
