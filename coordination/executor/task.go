package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/attempts"
)

const (
	// resultPoll is the time that one Wait call to the worker may take.
	resultPoll = 10 * time.Second
	// retryPause is the time between two tries of a failed call.
	retryPause = 250 * time.Millisecond
	// afterStop is the time in which the worker's result of a stopped task may
	// still arrive. A task that ended just before the stop has its answer then.
	afterStop = 200 * time.Millisecond
	// stopTimeout is the time of one Stop call; several fit into a lease.
	stopTimeout = time.Second
)

// task is the owner of one task on the worker, from the launch to its end.
type task struct {
	e       *Executor
	spec    attempts.Spec
	name    string
	payload []byte
	lease   *lease
	results chan *Result // gets the end of the task once
	waiter  sync.WaitGroup
	cancel  context.CancelFunc // ends the waiter
}

func (e *Executor) newTask(spec attempts.Spec, payload []byte) *task {
	return &task{
		e:       e,
		spec:    spec,
		name:    spec.ID.String(),
		payload: payload,
		results: make(chan *Result, 1),
		cancel:  func() {},
	}
}

// launch hands the task to the worker. Unless it returns a *RefusedError, the
// worker may have the task, and the lease of the task is registered.
func (t *task) launch(ctx context.Context, held bool, wait time.Duration, valid func(time.Time) bool) (*Result, error) {
	sent := time.Now()
	cctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	res, err := t.e.cfg.Worker.Launch(cctx, Launch{
		ID:      t.name,
		Slots:   t.spec.Slots,
		Tasks:   t.spec.Tasks,
		Held:    held,
		Lease:   WorkerLease,
		Limit:   t.spec.Limit,
		Payload: t.payload,
		Wait:    wait,
	})
	var refused *RefusedError
	if errors.As(err, &refused) {
		t.e.log.Warn().Int(eventField, EventLaunchRefused).Str("Attempt", t.name).Err(err).Msg("worker refused a task")
		return nil, err
	}
	t.lease = t.e.leases.add(t.name, sent, valid)
	if err != nil {
		t.e.leases.suspend(t.lease)
		t.e.log.Warn().Int(eventField, EventLaunchLost).Str("Attempt", t.name).Err(err).Msg("answer to a launch was lost")
	}
	return res, err
}

// watch starts to wait for the result of the task.
func (t *task) watch(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.waiter.Go(func() {
		for ctx.Err() == nil {
			res, err := t.e.cfg.Worker.Wait(ctx, t.name, resultPoll)
			switch {
			case errors.Is(err, ErrUnknownTask):
				res = &Result{Stopped: true, Error: "the worker does not know the task"}
			case err != nil:
				sleep(ctx, retryPause)
				continue
			case res == nil:
				continue
			}
			t.results <- res
			return
		}
	})
}

// close ends the waiter and forgets the lease.
func (t *task) close() {
	t.cancel()
	t.waiter.Wait()
	t.e.leases.remove(t.name)
}

// stop stops the task on the worker and returns once it does not run any more:
// the worker has confirmed it or the last lease that it may have granted has
// lapsed. It returns the answer of a task that ended before the stop, or nil.
func (t *task) stop(ctx context.Context) *Result {
	possible := t.e.leases.suspend(t.lease)
	for {
		cctx, cancel := context.WithTimeout(ctx, stopTimeout)
		err := t.e.cfg.Worker.Stop(cctx, t.name)
		cancel()
		if err == nil {
			break
		}
		left := time.Until(possible)
		if left <= 0 {
			t.e.log.Warn().Int(eventField, EventStopUnconfirmed).Str("Attempt", t.name).Err(err).Msg("stop not confirmed, lease lapsed")
			return nil
		}
		if !sleep(ctx, min(retryPause, left)) {
			return nil
		}
	}
	timer := time.NewTimer(afterStop)
	defer timer.Stop()
	select {
	case res := <-t.results:
		if !res.Stopped {
			return res
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// checkpoint saves the state of the task within the given time and throttles it
// meanwhile.
func (t *task) checkpoint(ctx context.Context, grace time.Duration) {
	if grace <= 0 {
		return
	}
	t.e.leases.suspend(t.lease)
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	var wg sync.WaitGroup
	// The throttle only limits what the task does beyond the checkpoint, so its
	// errors are of no account.
	wg.Go(func() { _ = t.e.cfg.Worker.Throttle(ctx, t.name) })
	if err := t.e.cfg.Worker.Checkpoint(ctx, t.name); err == nil {
		t.e.table.Checkpointed(t.spec.ID)
	}
	cancel()
	wg.Wait()
}

// ending is why a released task is at its end.
type ending struct {
	result *Result
	limit  bool
	lapsed bool
	stop   *attempts.Stop
}

// limitTimer returns a channel that fires at the limit on the run time of a task
// that was released at the given time.
func (t *task) limitTimer(released time.Time) (<-chan time.Time, func() bool) {
	if t.spec.Limit <= 0 {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(max(t.spec.Limit-time.Since(released), 1))
	return timer.C, timer.Stop
}

// settle turns an ending into the part of the answer. It reports false if the task
// has no answer; reason says why.
func (t *task) settle(ctx context.Context, end ending) (p attempts.Part, reason string, ok bool) {
	res := end.result
	switch {
	case end.limit:
		if res = t.stop(ctx); res == nil {
			return t.overLimit(), "", true
		}
	case end.lapsed:
		t.e.log.Warn().Int(eventField, EventLeaseLapsed).Str("Attempt", t.name).Msg("lease on the worker lapsed")
		if res = t.stop(ctx); res == nil {
			return p, "the lease on the worker lapsed", false
		}
	case end.stop != nil:
		t.checkpoint(ctx, min(end.stop.Checkpoint, CheckpointGrace))
		if res = t.stop(ctx); res == nil {
			t.e.log.Info().Int(eventField, EventTaskStopped).Str("Attempt", t.name).Str("Reason", end.stop.Reason).Msg("task stopped")
			return p, end.stop.Reason, false
		}
	}
	switch {
	case res.Stopped && res.Limited:
		return t.overLimit(), "", true
	case res.Stopped:
		return p, "the worker stopped the task: " + res.Error, false
	}
	return attempts.Part{Body: res.Body, Failed: res.Failed, Error: res.Error, Tasks: t.spec.Tasks}, "", true
}

// overLimit is the part of a task that ran longer than its limit. It counts as
// an error of the task, since it would run into the limit again elsewhere.
func (t *task) overLimit() attempts.Part {
	return attempts.Part{Failed: true, Error: "run time limit of " + t.spec.Limit.String() + " exceeded"}
}
