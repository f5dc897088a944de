package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	refusal  *outcome.NotRun // of new attempts, for example because the kind was removed

	failedAnswer *outcome.Ran // of the latest attempt that ended with a failed answer

	writes turns    // of the row
	tokens []string // that the row may carry as far as this entry knows; changed in turn

	mayHaveRun atomic.Bool // an attempt of this owner may have run

	mu       sync.Mutex
	detached bool // another entry may make attempts if this one dies

	// Set if another entry, or a former process of this entry, owned the job.
	takenOver     bool
	lastInherited uint32 // latest attempt number of the former owner
	inherited     uint32 // attempt of the former owner that may run; 0 if none
}

// change changes the record of the job, and its row if it has one.
func (r *run) change(ctx context.Context, f func(rows.Job) rows.Job) error {
	if !r.writes.take(ctx) {
		return outcome.Step("write job", "store", ctx.Err())
	}
	defer r.writes.give()
	record := r.job.Record()
	if record.Final() {
		return nil
	}
	next := f(record)
	next.MayHaveRun = next.MayHaveRun || r.mayHaveRun.Load()
	next.Token = rows.NewToken()
	if r.recorded {
		if err := r.replaceLocked(ctx, next); err != nil {
			return err
		}
	}
	r.job.Update(next)
	return nil
}

// replaceLocked writes the row of the job and keeps track of the tokens that it
// may carry.
func (r *run) replaceLocked(ctx context.Context, next rows.Job, extra ...rows.Write) error {
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
	r.s.tasks.Go(func() {
		select {
		case <-r.job.Canceled():
			cancel()
		case <-ctx.Done():
		}
	})
	out := r.attempts(ctx)
	if r.recorded && r.s.life.Err() != nil {
		return // The process ends. The row stays, and another entry goes on with the job.
	}
	if out == nil {
		r.handedOver()
		return
	}
	r.finish(r.honest(out))
}

// honest replaces a refusal of a job that may have run in an earlier attempt by
// what that attempt proved.
func (r *run) honest(out outcome.Outcome) outcome.Outcome {
	if _, ok := out.(outcome.NotRun); !ok {
		return out
	}
	if r.failedAnswer != nil {
		return *r.failedAnswer
	}
	if r.mayHaveRun.Load() || r.job.Record().MayHaveRun {
		return outcome.Unknown{Detail: "an earlier attempt may have run"}
	}
	return out
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
			if exclude, again := r.tryElsewhere(ctx, res, where); again {
				r.mayHaveRun.Store(true) // A later owner of the job must not report it as not run.
				r.failedAnswer = &outcome.Ran{Answer: res.answer, Elapsed: res.elapsed}
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
			if !r.s.plan.fitsWithout(r.spec.shape, avoid) {
				avoid = nil
			}
			if !r.s.plan.retry() {
				wait = lastBackoff // The site refuses much: try again slowly.
			}
			front = true
		case lostResult:
			// The next write of the row records it; until then the row names this
			// attempt, and a later owner asks its hub.
			r.mayHaveRun.Store(true)
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
	if !v.Retry || !r.s.plan.fitsWithout(r.spec.shape, v.Exclude) || !r.s.plan.retry() {
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

// finish ends the job for its callers at once and records the end of a recorded
// job in the background, through an outage of the store if need be.
func (r *run) finish(out outcome.Outcome) {
	r.s.meter.ended(r, out)
	if !r.recorded {
		r.endAtOnce(out)
		return
	}
	// Before the callers hear of the end, so that Drain, which waits for them
	// first, sees it.
	r.s.recording.Add(1)
	final, ended := r.endAtOnce(out)
	r.s.background(func(ctx context.Context) {
		defer r.s.recording.Add(-1)
		if !ended {
			r.endAfterRow(ctx, final)
			return
		}
		if err := r.recordEnd(ctx, final); err != nil {
			r.s.log.Warn().Int("Event", EventEndNotRecorded).Str("Job", r.job.ID()).Err(err).Send()
		}
	})
}

// endAtOnce tells the callers of the outcome, unless the job is detached and did
// not run: another entry may adopt such a job and run it as long as its row does
// not say that it has ended, so nobody may be told before.
func (r *run) endAtOnce(out outcome.Outcome) (final rows.Job, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	final = finalRecord(r.job.Record(), out)
	if _, notRun := out.(outcome.NotRun); notRun && r.recorded && r.detached {
		return final, false
	}
	return final, r.job.End(final)
}

// endAfterRow records the end of a job and then tells its callers.
func (r *run) endAfterRow(ctx context.Context, final rows.Job) {
	err := r.recordEnd(ctx, final)
	var superseded *supersededError
	switch {
	case err == nil:
		r.job.End(final)
	case errors.As(err, &superseded):
		r.handedOver()
	default:
		r.s.log.Warn().Int("Event", EventEndNotRecorded).Str("Job", r.job.ID()).Err(err).Send()
		r.job.End(finalRecord(r.job.Record(), outcome.Unknown{Detail: "the end of the job could not be recorded"}))
	}
}

// recordEnd writes the final record, the answer object of a large answer and the
// removal of the queue row.
func (r *run) recordEnd(ctx context.Context, final rows.Job) error {
	ctx, cancel := context.WithTimeout(ctx, finalWriteTimeout)
	defer cancel()
	if !r.writes.take(ctx) {
		return outcome.Step("write job", "store", ctx.Err())
	}
	defer r.writes.give()
	final, err := r.s.storeAnswer(ctx, final)
	if err != nil {
		return err
	}
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		extra, err := r.endWrites(ctx, final.Token)
		if err == nil {
			return r.replaceLocked(ctx, final, extra...)
		}
		if !sleep(ctx, wait) {
			return err
		}
	}
}

// endWrites returns the writes that go with the final record: out of the queue,
// into the ended jobs.
func (r *run) endWrites(ctx context.Context, token string) ([]rows.Write, error) {
	writes, err := r.s.rec.dequeue(ctx, r.s.set.Entry, r.job.Workspace(), r.job.Key())
	if err != nil {
		return nil, err
	}
	ended, err := r.s.rec.endedWrite(ctx, r.job.Workspace(), r.job.Key(), token)
	if err != nil {
		return nil, err
	}
	return append(writes, ended), nil
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
