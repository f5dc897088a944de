package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Worker is the worker beside the process. Calls carry the fencing token; the
// worker does nothing for a token below the highest it has seen.
//
// Start, Stop and Pace return a *RefusedError if the worker has done nothing, and
// ErrOtherLife if another life of the worker answered. After any other error the
// call may have been carried out or may still be.
type Worker interface {
	// Hold renews the lease of all runs up to until, forgets the ends up to seen
	// and returns what runs and what has ended. It waits up to wait for an end.
	Hold(ctx context.Context, r HoldRequest) (HoldReply, error)
	Start(ctx context.Context, r StartRequest) (Clock, error)
	Stop(ctx context.Context, r StopRequest) (Clock, error)
	Pace(ctx context.Context, r PaceRequest) (Clock, error)
}

// Clock is a time on the worker's own clock, in milliseconds; 0 for unknown.
type Clock int64

// Call is common to all calls to a worker.
type Call struct {
	Worker string // ID of the life that is meant
	Fence  int64
}

// HoldRequest renews leases and asks for the state.
type HoldRequest struct {
	Call
	Until Clock // 0 to leave the lease as it is
	Seen  int64
	Wait  time.Duration
}

// HoldReply is the state of a worker.
type HoldReply struct {
	Clock   Clock
	Born    int64
	Running []*agentrpc.RunStatus
	Ended   []*agentrpc.RunEnd
}

// StartRequest starts a run.
type StartRequest struct {
	Call
	Task       string
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string
	Until      Clock
}

// StopRequest stops a run, or prevents it if it has not arrived.
type StopRequest struct {
	Call
	Task string
	Run  int64
}

// PaceRequest sets the share of its speed at which a run works.
type PaceRequest struct {
	Call
	Task    string
	Run     int64
	Percent int64
}

// ErrOtherLife reports that another life of the worker answered, so the call was
// not carried out.
var ErrOtherLife = errors.New("another life of the worker answered")

// RefusedError reports a call that the worker has not carried out.
type RefusedError struct {
	Reason string // one of the Reason constants, or the worker's own
	Clock  Clock
}

// Reasons of a refusal.
const (
	ReasonFence     = "fence"     // a higher fencing token has been seen
	ReasonOld       = "old"       // this run, or a later one, has been stopped or has ended
	ReasonLate      = "late"      // the lease of the call is over
	ReasonRoom      = "room"      // no capacity
	ReasonTicket    = "ticket"    // the advisor's ticket is missing or out of date
	ReasonUnhealthy = "unhealthy" // the worker takes no orders
	ReasonMalformed = "malformed"
	ReasonDraining  = "draining"   // the worker is leaving
	ReasonNoLease   = "no lease"   // no call of this planner has been confirmed yet
	ReasonOtherLife = "other life" // the order is for another life of the worker
)

func (e *RefusedError) Error() string { return fmt.Sprintf("refused by the worker: %s", e.Reason) }
