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
	Elapsed time.Duration // from the release to the end of the last task
}

// NotRun reports a request of which no worker ran any part.
type NotRun struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // when to try again; 0 if trying again is pointless
}

// Unknown reports a request that may have run, in whole or in part.
type Unknown struct {
	Detail string
}

func (Ran) isOutcome()     {}
func (NotRun) isOutcome()  {}
func (Unknown) isOutcome() {}

// Answer is the whole result of a request: one part for each member of the
// gang, in member order.
type Answer struct {
	Parts  [][]byte
	Failed bool   // a task ended with an error of its own
	Error  string // of the first failed task
}

// Reason says why a request did not run.
type Reason string

// Reasons for NotRun.
const (
	ReasonInvalid      Reason = "Invalid"      // unknown workspace or kind, or an oversized request
	ReasonNeverFits    Reason = "NeverFits"    // the shape exceeds the site
	ReasonQueueFull    Reason = "QueueFull"    // the workspace's queue is full
	ReasonStoreDown    Reason = "StoreDown"    // the claim of the request could not be recorded
	ReasonLeaving      Reason = "Leaving"      // the entry is shutting down
	ReasonNotReady     Reason = "NotReady"     // the entry has not learned its configuration
	ReasonCanceled     Reason = "Canceled"     // canceled before it started
	ReasonRetriesSpent Reason = "RetriesSpent" // the retry budget is spent
	ReasonDeadline     Reason = "Deadline"     // the deadline passed before a start
	ReasonKeyConflict  Reason = "KeyConflict"  // the idempotency key belongs to another request
)

// StepError reports the step and the peer at which an operation failed.
type StepError struct {
	Step string // for example "reserve" or "write claim"
	Peer string // name or address of the peer
	Err  error
}

func (e *StepError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Step wraps err with a step and a peer. It returns nil if err is nil.
func Step(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: err}
}

// StepOf returns the step and peer of the outermost StepError in err.
func StepOf(err error) (step, peer string, ok bool) {
	var se *StepError
	if !errors.As(err, &se) {
		return "", "", false
	}
	return se.Step, se.Peer, true
}
