package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the end of a request: Ran, NotRun or Unknown.
type Outcome interface {
	isOutcome()
}

// Ran reports a request that ran to its end.
type Ran struct {
	Answer  Answer
	Elapsed time.Duration // from the first start of a task to the final state
}

// NotRun reports a request of which no worker ran any part.
type NotRun struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // delay before a retry; 0 if a retry cannot succeed
}

// Unknown reports a request that may have run, in whole or in part.
type Unknown struct {
	Detail string
	// RetryAfter is the delay before another submission under the same idempotency key,
	// which may tell the outcome; 0 if none can.
	RetryAfter time.Duration
}

func (Ran) isOutcome()     {}
func (NotRun) isOutcome()  {}
func (Unknown) isOutcome() {}

// Answer is the result of a request: one part for each task of the gang, in task
// order.
type Answer struct {
	Parts  [][]byte
	Failed bool   // a task returned an error
	Error  string // of the first failed task
}

// Reason says why a request did not run.
type Reason string

// Reasons for NotRun.
const (
	ReasonInvalid      Reason = "Invalid"      // unknown workspace or kind, or an oversized request
	ReasonNeverFits    Reason = "NeverFits"    // the shape does not fit even the idle site
	ReasonQueueFull    Reason = "QueueFull"    // the workspace's queue is full
	ReasonStoreDown    Reason = "StoreDown"    // the request could not be recorded
	ReasonLeaving      Reason = "Leaving"      // the entry is draining
	ReasonNotReady     Reason = "NotReady"     // the entry has not read its configuration yet
	ReasonCanceled     Reason = "Canceled"     // canceled before it started
	ReasonRetriesSpent Reason = "RetriesSpent" // the retry budget is spent; not produced
	ReasonDeadline     Reason = "Deadline"     // the deadline passed before the start
	ReasonKeyConflict  Reason = "KeyConflict"  // the idempotency key belongs to another request
)

// CallError reports a failed call and the peer involved.
type CallError struct {
	Op   string // for example "read configuration"
	Peer string // name or address of the peer
	Err  error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Op, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// WrapCall wraps err with an operation and a peer. It returns nil if err is nil.
func WrapCall(op, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &CallError{Op: op, Peer: peer, Err: err}
}

// CallOp returns the operation and peer of the outermost CallError in err.
func CallOp(err error) (op, peer string, ok bool) {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return "", "", false
	}
	return callErr.Op, callErr.Peer, true
}
