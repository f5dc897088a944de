package worker

import (
	"errors"
	"fmt"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
)

// ErrUnknownTask is the cause of a *RefusedError if the worker does not know
// the task: it never took it, has restarted, or has forgotten its result.
var ErrUnknownTask = errors.New("unknown task")

// RefusedError reports a call that certainly had no effect.
type RefusedError struct {
	Code workerapi.Code // the worker's; empty if the call was not sent
	Err  error
}

func (e *RefusedError) Error() string {
	if e.Code == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("refused (%s): %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// DuplicateError reports a launch of a task that the worker took before.
type DuplicateError struct {
	ID string
}

func (e *DuplicateError) Error() string { return fmt.Sprintf("task %s was launched before", e.ID) }

// LostAnswerError reports a call that may have had an effect.
type LostAnswerError struct {
	Err error
}

func (e *LostAnswerError) Error() string { return fmt.Sprintf("answer of the worker lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Err }
