package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// WorkerClient is the client of the worker beside the process. Calls carry the
// fencing token; the worker ignores calls with a token lower than the highest it has
// seen.
//
// A call reaches only the incarnation that its header names, also if the worker starts again under
// the same ID while the call is under way.
//
// Start, Stop and Pace return the worker's clock in its answer. They return a
// *RefusedError if the worker did not carry out the call, and ErrOtherIncarnation if
// another incarnation of the worker answered. All methods return ErrNotSent if the call
// was certainly not sent, and ErrNotListening, which is an ErrNotSent, if the worker's
// address refuses connections. After any other error the call may have been carried out or
// may still be.
type WorkerClient interface {
	// Hold renews the leases of all runs up to r.Until, makes the worker discard the
	// ends up to number r.RecordedEnd, and returns the current runs and the remaining
	// ends. Without any ends the worker waits up to r.Wait for one.
	Hold(ctx context.Context, r HoldRequest) (HoldReply, error)
	Start(ctx context.Context, r StartRequest) (WorkerTime, error)
	Stop(ctx context.Context, r StopRequest) (WorkerTime, error)
	Pace(ctx context.Context, r PaceRequest) (WorkerTime, error)
}

// WorkerTime is a time on the worker's own clock, in milliseconds; 0 for unknown.
type WorkerTime int64

// CallHeader has the fields that are common to all calls to a worker.
type CallHeader struct {
	Worker string // ID of the worker that the call is for
	Born   int64  // its start time, Unix milliseconds
	Fence  int64
}

// callHeader returns the header of a call to an incarnation of the worker.
func callHeader(inc *agentrpc.Life, fence int64) CallHeader {
	return CallHeader{Worker: inc.GetWorker(), Born: inc.GetBorn(), Fence: fence}
}

// HoldRequest is a request to renew leases and return the worker's state.
type HoldRequest struct {
	CallHeader
	Until       WorkerTime // lease end; 0 to leave the leases unchanged
	RecordedEnd int64      // number of the last listed end that the planner has recorded; 0 for none
	Wait        time.Duration
}

// HoldReply is the state of a worker.
type HoldReply struct {
	Clock   WorkerTime
	Born    int64 // start time of the worker, Unix milliseconds; 0 if not reported
	Running []*agentrpc.RunStatus
	Ended   []*agentrpc.RunEnd // in the order of their numbers
	// MoreEnds is set if Ended may lack ends, because it has as many as the worker lists at a time. The
	// others are listed once these are discarded.
	MoreEnds bool
}

// StartRequest starts a run.
type StartRequest struct {
	CallHeader
	Task       string
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string
	Until      WorkerTime // lease end
}

// StopRequest stops a run, or prevents its start if the start arrives later.
type StopRequest struct {
	CallHeader
	Task string
	Run  int64
}

// PaceRequest sets the percentage of its full speed at which a run works.
type PaceRequest struct {
	CallHeader
	Task    string
	Run     int64
	Percent int64
}

// ErrOtherIncarnation reports that another incarnation of the worker answered, so
// that the call was not carried out.
var ErrOtherIncarnation = errors.New("another incarnation of the worker answered")

// ErrNotSent reports a call that was certainly not sent to the worker.
var ErrNotSent = errors.New("not sent to the worker")

// ErrNotListening reports a call that was not sent because a connection to the worker's address
// was refused. In most cases no worker runs there, but whoever cuts it off may refuse connections
// in its place.
var ErrNotListening = fmt.Errorf("%w: no listener", ErrNotSent)

// RefusedError reports a call that the worker did not carry out.
type RefusedError struct {
	Reason string     // one of the Reason constants, or the worker's own
	Clock  WorkerTime // of the worker in its answer; 0 if unknown
}

// Reasons of a refusal.
const (
	ReasonFence            = "fence"      // the worker has seen a higher fencing token
	ReasonStaleRun         = "old"        // this run, or a later one, has been stopped or has ended
	ReasonLeaseExpired     = "late"       // the lease in the call has expired
	ReasonNoCapacity       = "room"       // insufficient capacity
	ReasonTicket           = "ticket"     // the ticket of the kind's advisor, which allows a run on this worker, is missing or out of date
	ReasonUnhealthy        = "unhealthy"  // the worker accepts no orders
	ReasonMalformed        = "malformed"  // the worker rejects the call as invalid, or the kind of order is unknown
	ReasonDraining         = "draining"   // the worker is draining or has deregistered
	ReasonNoLease          = "no lease"   // the worker has not confirmed the fencing token, or the lease can't be extended
	ReasonOtherIncarnation = "other life" // the order is for another incarnation of the worker
	ReasonNoPayload        = "no payload" // the payload could not be read from the object store
	ReasonNotSent          = "not sent"   // no attempt reached the worker
)

func (e *RefusedError) Error() string { return fmt.Sprintf("refused by the worker: %s", e.Reason) }
