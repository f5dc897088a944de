package process

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/executor"
	"github.com/medlargrade/medlargrade/coordination/scheduler"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/transport/entry"
	"github.com/medlargrade/medlargrade/transport/target"
	"github.com/medlargrade/medlargrade/transport/worker"
)

// targetsOf gives a scheduler access to targets over a pool.
type targetsOf struct {
	pool *target.Pool
}

// Session implements scheduler.Targets.
func (t targetsOf) Session(ctx context.Context, address string) (scheduler.Session, error) {
	s, err := t.pool.Session(ctx, address)
	if err != nil {
		return scheduler.Session{}, err
	}
	return scheduler.Session{
		ID: s.ID(), Incarnation: s.Incarnation(), Target: s.Target(), Address: s.Address(), Uptime: s.Uptime(),
		Client: effects{s.Client()}, Live: s.Live,
	}, nil
}

// Client implements scheduler.Targets.
func (t targetsOf) Client(ctx context.Context, address string) (targetrpc.DRPCTargetClient, error) {
	return t.pool.Client(ctx, address)
}

// effects marks the errors of calls that were not sent.
type effects struct {
	targetrpc.DRPCTargetClient
}

// Start marks a call that was not sent with scheduler.ErrNotSent.
func (e effects) Start(ctx context.Context, in *targetrpc.StartRequest) (*targetrpc.AttemptReply, error) {
	out, err := e.DRPCTargetClient.Start(ctx, in)
	return out, markNotSent(err)
}

// Release marks a call that was not sent with scheduler.ErrNotSent.
func (e effects) Release(ctx context.Context, in *targetrpc.ReleaseRequest) (*targetrpc.AttemptReply, error) {
	out, err := e.DRPCTargetClient.Release(ctx, in)
	return out, markNotSent(err)
}

func markNotSent(err error) error {
	var notSent *target.NotSentError
	if errors.As(err, &notSent) {
		return fmt.Errorf("%w: %w", scheduler.ErrNotSent, err)
	}
	return err
}

// hubsOf gives an executor access to other target processes.
type hubsOf struct {
	pool *target.Pool
}

// Hub implements executor.Hubs.
func (h hubsOf) Hub(ctx context.Context, address string) (targetrpc.DRPCTargetClient, error) {
	return h.pool.Client(ctx, address)
}

// entriesOf gives an executor access to entries.
type entriesOf struct {
	pool *entry.Pool
}

// Entry implements executor.Entries.
func (e entriesOf) Entry(ctx context.Context, address string) (entryrpc.DRPCEntryClient, error) {
	return e.pool.Client(ctx, address)
}

// workerOf gives an executor access to the worker beside it.
type workerOf struct {
	client *worker.Client
}

// Launch implements executor.Worker.
func (w workerOf) Launch(ctx context.Context, l executor.Launch) (*executor.Result, error) {
	task := worker.Task{
		ID: l.ID, Slots: l.Slots, Held: l.Held, Payload: l.Payload, Lease: l.Lease, Limit: l.Limit,
	}
	if l.Wait <= 0 {
		return nil, launchError(w.client.Launch(ctx, task))
	}
	res, err := w.client.LaunchAndWait(ctx, task, l.Wait)
	if err != nil {
		return nil, launchError(err)
	}
	return resultOf(res), nil
}

func launchError(err error) error {
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		return &executor.RefusedError{Reason: refused.Error()}
	}
	return err
}

// Release implements executor.Worker.
func (w workerOf) Release(ctx context.Context, id string) error { return w.client.Release(ctx, id) }

// Wait implements executor.Worker.
func (w workerOf) Wait(ctx context.Context, id string, wait time.Duration) (*executor.Result, error) {
	res, err := w.client.Wait(ctx, id, wait)
	if errors.Is(err, worker.ErrUnknownTask) {
		return nil, executor.ErrUnknownTask
	}
	if err != nil {
		return nil, err
	}
	return resultOf(res), nil
}

// resultOf returns nil for a task that has not ended.
func resultOf(r worker.Result) *executor.Result {
	switch {
	case r.Stopped:
		return &executor.Result{Stopped: true, Error: r.StopReason, Limited: r.StopReason == workerapi.StopLimit}
	case r.Done:
		return &executor.Result{Body: r.Body, Failed: r.Failed, Error: r.Error}
	default:
		return nil
	}
}

// Checkpoint implements executor.Worker.
func (w workerOf) Checkpoint(ctx context.Context, id string) error {
	return w.client.Checkpoint(ctx, id)
}

// Throttle implements executor.Worker.
func (w workerOf) Throttle(ctx context.Context, id string) error { return w.client.Throttle(ctx, id) }

// Stop implements executor.Worker.
func (w workerOf) Stop(ctx context.Context, id string) error { return w.client.Stop(ctx, id) }

// Renew implements executor.Worker.
func (w workerOf) Renew(ctx context.Context, ids []string, lease time.Duration) ([]string, error) {
	return w.client.Renew(ctx, ids, lease)
}

// Usage implements executor.Worker.
func (w workerOf) Usage(ctx context.Context) (executor.Usage, error) {
	u, err := w.client.Usage(ctx)
	if err != nil {
		return executor.Usage{}, err
	}
	return executor.Usage{LoadPercent: uint32(100 * u.UsedSlots / max(u.Slots, 1))}, nil
}
