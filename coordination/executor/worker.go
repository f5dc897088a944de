package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// Worker is the machine beside the target process. It runs tasks under leases
// and stops a task by itself when its lease lapses.
//
// Methods are safe for concurrent use. An error other than those named below may
// mean that the call took effect.
type Worker interface {
	// Launch hands over a task. It returns a result if the task ended within
	// l.Wait, otherwise nil. It returns a *RefusedError only if the worker
	// certainly has not taken the task and will not take it later.
	Launch(ctx context.Context, l Launch) (*Result, error)
	// Release lets a held task run. Releasing it again has no effect.
	Release(ctx context.Context, id string) error
	// Wait returns the result of a task, or nil if it has not ended within wait.
	// It returns ErrUnknownTask if the worker does not know the task.
	Wait(ctx context.Context, id string, wait time.Duration) (*Result, error)
	// Checkpoint returns once the state of the task is saved.
	Checkpoint(ctx context.Context, id string) error
	// Throttle slows the task down until it is stopped.
	Throttle(ctx context.Context, id string) error
	// Stop returns nil once the task is known not to run any more.
	Stop(ctx context.Context, id string) error
	// Renew extends the leases of tasks and returns those that the worker does
	// not run.
	Renew(ctx context.Context, ids []string, lease time.Duration) (lost []string, err error)
	// Usage returns the load of the worker, which lags.
	Usage(ctx context.Context) (Usage, error)
}

// Launch describes a task for the worker.
type Launch struct {
	ID      string        // job/number of the attempt
	Slots   int           // of all tasks together
	Tasks   int           // that run the payload, sharing the slots equally; 0 means 1
	Held    bool          // wait for Release before user code runs
	Lease   time.Duration // from the arrival of the launch
	Limit   time.Duration // run time after which the worker stops the task; 0 for none
	Payload []byte
	Wait    time.Duration // time that Launch waits for the end of the task; may be 0
}

// Result is the end of a task.
type Result struct {
	Body    []byte
	Failed  bool   // the task ended with an error of its own
	Error   string // of the task, or why the worker stopped it
	Stopped bool   // the worker stopped the task: there is no answer
	Limited bool   // with Stopped: it was stopped at its Limit
}

// Usage is what the worker reports of itself.
type Usage struct {
	LoadPercent uint32
}

// RefusedError reports a launch that the worker certainly has not taken.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the task: %s", e.Reason) }

// ErrUnknownTask reports a task that the worker does not know.
var ErrUnknownTask = errors.New("worker does not know the task")

// Hubs returns connections to other target processes, for pulses.
type Hubs interface {
	Hub(ctx context.Context, address string) (targetrpc.DRPCTargetClient, error)
}

// Entries returns connections to entries, for heartbeats.
type Entries interface {
	Entry(ctx context.Context, address string) (entryrpc.DRPCEntryClient, error)
}
