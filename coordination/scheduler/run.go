package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/jobs"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// maxAvoided bounds the targets that a job avoids because their worker did
	// not take it. A job that no worker takes must still be able to start later.
	maxAvoided = 3
	// finalWriteTimeout bounds the write of a final record through an outage.
	finalWriteTimeout = resultRetention
	// inlineAnswerLimit is the largest answer, in bytes, that is kept in a row.
	inlineAnswerLimit = 16 << 10
)

// run takes one job from its admission to its end.
type run struct {
	s        *Scheduler
	job      *jobs.Job
	spec     spec
	recorded bool            // the job has a row
	queued   bool            // the job has a queue row
	tokens   []string        // that the row may carry as far as this entry knows
	refusal  *outcome.NotRun // of new attempts: the configuration no longer has the kind

	// Set if another entry, or a former process of this entry, owned the job.
	takenOver     bool
	lastInherited uint32 // latest attempt number of the former owner
	inherited     uint32 // attempt of the former owner that may run; 0 if none

	// mayHaveRun is set once an attempt has ended without a proof that it did not
	// run. The job can then no longer end as not run.
	mayHaveRun bool
}

// replace writes the row of the job and keeps track of the tokens that it may
// carry.
func (r *run) replace(ctx context.Context, next rows.Job, extra ...rows.Write) error {
	err := r.s.rec.replace(ctx, r.job.Workspace(), r.job.Key(), r.tokens, next, extra...)
	var undecided *undecidedError
	switch {
	case err == nil:
		r.tokens = []string{next.Token}
	case errors.As(err, &undecided):
		r.tokens = append(r.tokens, next.Token)
	}
	return err
}

// execute runs the job to its end and records it.
func (r *run) execute(ctx context.Context) {
	ctx, cancel := r.deadline(ctx)
	defer cancel()
	r.s.background(func(context.Context) {
		select {
		case <-r.job.Canceled():
			cancel()
		case <-ctx.Done():
		}
	})
	out := r.attempts(ctx)
	if out == nil {
		r.handedOver()
		return
	}
	if refusal, ok := out.(outcome.NotRun); ok && r.mayHaveRun {
		out = outcome.Unknown{Detail: "an earlier attempt may have run; the last one did not: " + refusal.Detail}
	}
	r.finish(out)
}

func (r *run) deadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if d := r.spec.request.Deadline; d > 0 {
		return context.WithDeadline(ctx, r.job.Created().Add(d))
	}
	return context.WithCancel(ctx)
}

// attempts makes attempts until one gives the job's outcome. It returns nil if
// another entry has taken the job over.
func (r *run) attempts(ctx context.Context) outcome.Outcome {
	var avoid []string // targets on which the job failed
	wait := firstBackoff
	front := false
	for number := r.firstNumber(); ; number = r.numberAfter(number) {
		res, where, refusal := r.next(ctx, number, avoid, front)
		if refusal != nil {
			return *refusal
		}
		switch res := res.(type) {
		case ranResult:
			r.mayHaveRun = true
			if exclude, again := r.tryElsewhere(ctx, res, where); again {
				avoid = exclude
				front = true
				break
			}
			return outcome.Ran{Answer: res.answer, Elapsed: res.elapsed}
		case notRunResult:
			if ctx.Err() != nil {
				return r.ended(ctx)
			}
			if res.code == targetrpc.RefusalCode_REFUSAL_WORKER && len(avoid) < maxAvoided {
				avoid = append(avoid, res.target)
			}
			if !r.recorded && !r.s.plan.retry() {
				return outcome.NotRun{Reason: outcome.ReasonRetriesSpent, Detail: res.detail, RetryAfter: time.Second}
			}
			front = true
		case lostResult:
			r.mayHaveRun = true
			if !r.spec.idempotent || ctx.Err() != nil {
				return outcome.Unknown{Detail: res.detail}
			}
			front = true
			if !res.preempted && !r.recorded && !r.s.plan.retry() {
				return outcome.Unknown{Detail: res.detail + "; the retry budget is spent"}
			}
		case supersededResult:
			return nil
		}
		sleep(ctx, time.Duration(rand.Int64N(int64(wait))))
		wait = min(2*wait, lastBackoff)
	}
}

// tryElsewhere decides whether a failed idempotent job is tried on another
// target, and which targets it then avoids.
func (r *run) tryElsewhere(ctx context.Context, res ranResult, where []string) ([]string, bool) {
	if !res.answer.Failed || !r.spec.idempotent || ctx.Err() != nil || len(where) == 0 {
		return nil, false
	}
	v := r.s.plan.jobFailed(r, where[0])
	if !v.Retry || !r.s.plan.retry() {
		return nil, false
	}
	return v.Exclude, true
}

// ownerNumbers is the range of attempt numbers of one owner of a job. Owners
// that follow each other never use the same number, so that an attempt that a
// former owner reserved but never sent can't be mixed up with a new one.
const ownerNumbers = 1 << 20

// firstNumber returns the first attempt number of this owner, or the number of
// the attempt that it inherited.
func (r *run) firstNumber() uint32 {
	if r.inherited != 0 {
		return r.inherited
	}
	return r.numberAfter(r.job.Record().Attempt)
}

// numberAfter returns the attempt number that follows n.
func (r *run) numberAfter(n uint32) uint32 {
	if r.takenOver && n <= r.lastInherited {
		return (r.lastInherited/ownerNumbers+1)*ownerNumbers + 1
	}
	return n + 1
}

// next makes the attempt of that number and returns its result and its targets.
func (r *run) next(ctx context.Context, number uint32, avoid []string, front bool) (result, []string, *outcome.NotRun) {
	a := &attempt{run: r, id: &targetrpc.AttemptID{Job: r.job.ID(), Number: number}}
	if number == r.inherited {
		record := r.job.Record()
		return a.resume(ctx, record), record.Members, nil
	}
	if r.refusal != nil {
		return nil, nil, r.refusal
	}
	where, refusal := r.s.plan.acquire(ctx, &waiter{run: r, number: number, avoid: avoid, front: front})
	if refusal != nil {
		return nil, nil, refusal
	}
	a.place = where
	res := a.make(ctx)
	r.s.plan.release(r, where, res)
	r.s.log.Debug().Int("Event", EventAttemptEnded).Str("Job", r.job.ID()).Uint32("Attempt", number).
		Strs("Targets", where.targets()).Str("Result", fmt.Sprintf("%T", res)).Send()
	return res, where.targets(), nil
}

// ended says why ctx ended before the job was released.
func (r *run) ended(ctx context.Context) outcome.Outcome {
	select {
	case <-r.job.Canceled():
		return outcome.NotRun{Reason: outcome.ReasonCanceled, Detail: "canceled before it started"}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the deadline passed before a start", RetryAfter: time.Second}
	}
	return outcome.NotRun{Reason: outcome.ReasonLeaving, Detail: "the entry is shutting down", RetryAfter: time.Second}
}

// finish ends the job for its callers and records the end of a recorded job,
// through an outage of the store if need be.
//
// Callers get an answer at once. That a recorded job did not run is told only
// once its row says so: until then another entry may adopt the job and run it.
func (r *run) finish(out outcome.Outcome) {
	final := finalRecord(r.job.Record(), out)
	r.s.meter.ended(r, out)
	if !r.recorded {
		r.job.End(final)
		return
	}
	// A graceful shutdown waits for the record of the end, as for the callers.
	counted := r.s.requests.extend()
	_, notRun := out.(outcome.NotRun)
	if !notRun {
		r.job.End(final)
	}
	r.s.background(func(ctx context.Context) {
		if counted {
			defer r.s.requests.end()
		}
		ctx, cancel := context.WithTimeout(ctx, finalWriteTimeout)
		defer cancel()
		err := r.recordEnd(ctx, final)
		if err != nil {
			r.s.log.Warn().Int("Event", EventEndNotRecorded).Str("Job", r.job.ID()).Err(err).Send()
		}
		if notRun {
			r.endNotRun(final, err)
		}
	})
}

// endNotRun ends a job that did not run, after the write of its row.
func (r *run) endNotRun(final rows.Job, err error) {
	var superseded *supersededError
	switch {
	case err == nil:
		r.job.End(final)
	case errors.As(err, &superseded):
		r.handedOver()
	default:
		r.job.End(finalRecord(final, outcome.Unknown{Detail: "the end could not be recorded; another entry may run the job"}))
	}
}

// recordEnd writes the final record, the answer object of a large answer and the
// removal of the queue row.
func (r *run) recordEnd(ctx context.Context, final rows.Job) error {
	final, err := r.s.storeAnswer(ctx, final)
	if err != nil {
		return err
	}
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		var extra []rows.Write
		if r.queued {
			extra, err = r.s.rec.dequeue(ctx, r.s.set.Entry, r.job.Workspace(), r.job.Key())
		}
		if err == nil {
			return r.replace(ctx, final, extra...)
		}
		if !sleep(ctx, wait) {
			return err
		}
	}
}

// handedOver ends the job here and follows the entry that has taken it over, so
// that callers who wait here get its outcome.
func (r *run) handedOver() {
	r.s.log.Info().Int("Event", EventJobTakenOver).Str("Job", r.job.ID()).Send()
	r.s.jobs.Remove(r.job)
	r.s.background(func(ctx context.Context) {
		ctx, cancel := r.deadline(ctx)
		defer cancel()
		f := follower{s: r.s, workspace: r.job.Workspace(), key: r.job.Key()}
		if final, ok := f.wait(ctx); ok {
			r.job.End(final)
			return
		}
		r.job.End(finalRecord(r.job.Record(), outcome.Unknown{Detail: "another entry took the job over; look it up again"}))
	})
}

// finalRecord returns the record of a job that ended with the outcome.
func finalRecord(record rows.Job, out outcome.Outcome) rows.Job {
	record.Token = rows.NewToken()
	switch o := out.(type) {
	case outcome.Ran:
		record.State = rows.JobRan
		record.Parts = o.Answer.Parts
		record.Failed = o.Answer.Failed
		record.Error = o.Answer.Error
		record.RunMillis = o.Elapsed.Milliseconds()
	case outcome.NotRun:
		record.State = rows.JobNotRun
		record.Reason = string(o.Reason)
		record.Detail = o.Detail
		record.RetryMillis = o.RetryAfter.Milliseconds()
	case outcome.Unknown:
		record.State = rows.JobUnknown
		record.Detail = o.Detail
	}
	return record
}

// outcomeOf returns the outcome of a final record.
func outcomeOf(record rows.Job) outcome.Outcome {
	switch record.State {
	case rows.JobRan:
		return outcome.Ran{
			Answer:  outcome.Answer{Parts: record.Parts, Failed: record.Failed, Error: record.Error},
			Elapsed: time.Duration(record.RunMillis) * time.Millisecond,
		}
	case rows.JobNotRun:
		return outcome.NotRun{
			Reason:     outcome.Reason(record.Reason),
			Detail:     record.Detail,
			RetryAfter: time.Duration(record.RetryMillis) * time.Millisecond,
		}
	case rows.JobUnknown:
		return outcome.Unknown{Detail: record.Detail}
	case rows.JobQueued, rows.JobDispatched:
		return nil
	}
	return nil
}
