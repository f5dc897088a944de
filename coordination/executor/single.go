package executor

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/state/attempts"
)

// launchWait is the time that the launch of a short task waits for its end. It
// saves a second call to the worker for most short tasks.
const launchWait = time.Second

// runSingle runs the only task of a job. The attempt is released already.
func (e *Executor) runSingle(ctx context.Context, spec attempts.Spec, payload []byte) {
	t := e.newTask(spec, payload)
	end := t.single(ctx)
	t.close()
	e.results.count(spec, end)
	if ctx.Err() == nil {
		// The slots come free before the end is reported, so that whoever hears
		// of the end finds them free or held.
		e.table.Free(spec.ID)
		e.table.Finish(spec.ID, end)
	}
	e.table.Disown(spec.ID)
}

func (t *task) single(ctx context.Context) attempts.End {
	e := t.e
	st := e.table.Get(t.spec.ID)
	if st.Stopping != nil {
		return attempts.End{Phase: attempts.NotRun, Code: st.Stopping.Code, Reason: st.Stopping.Reason}
	}
	if t.spec.Lent && !e.contact.isValid(time.Now()) {
		return attempts.End{Phase: attempts.NotRun, Code: attempts.CodeCanceled, Reason: reasonNoContact}
	}
	var wait time.Duration
	if t.spec.Class == attempts.ClassShort {
		wait = launchWait
	}
	res, err := t.launch(ctx, false, wait, t.mayGoOn)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return attempts.End{Phase: attempts.NotRun, Code: attempts.CodeWorker, Reason: refused.Reason}
	case err != nil:
		// The worker may run the task, so the attempt stays Running until it
		// certainly does not, and is never reported as not run.
		t.stop(ctx)
		return attempts.End{Phase: attempts.Stopped, Reason: "the worker's answer to the launch was lost"}
	case res != nil:
		return t.endOf(ctx, ending{result: res})
	}
	t.watch(ctx)
	limit, stopLimit := t.limitTimer(st.Released)
	defer stopLimit()
	for {
		st = e.table.Get(t.spec.ID)
		if st.Stopping != nil {
			return t.endOf(ctx, ending{stop: st.Stopping})
		}
		select {
		case <-ctx.Done():
			return attempts.End{}
		case <-st.Changed:
		case res := <-t.results:
			return t.endOf(ctx, ending{result: res})
		case <-limit:
			return t.endOf(ctx, ending{limit: true})
		case <-t.lease.ended:
			return t.endOf(ctx, ending{lapsed: true})
		}
	}
}

// endOf stops the task as far as needed and returns the end of the attempt.
func (t *task) endOf(ctx context.Context, end ending) attempts.End {
	part, reason, ok := t.settle(ctx, end)
	if !ok {
		return attempts.End{Phase: attempts.Stopped, Reason: reason}
	}
	return attempts.End{Phase: attempts.Ran, Part: part}
}

// mayGoOn reports whether the lease of a single task may be renewed.
func (t *task) mayGoOn(now time.Time) bool {
	return !t.spec.Lent || t.e.contact.isValid(now)
}
