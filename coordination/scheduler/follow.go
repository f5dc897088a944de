package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/jobs"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// dispatchDoubt is how long the row of a job may name an attempt that its
	// hub has not started before another entry takes the job over.
	dispatchDoubt = 5 * time.Second
	// followPoll is how often a follower reads the row.
	followPoll = 500 * time.Millisecond
	// followAwait is a follower's long poll at the hub.
	followAwait = 2 * time.Second
)

// follower waits for the end of a recorded job that this entry may not own. It
// takes the job over once its owner is known to have ended, or once its attempt
// stays unstarted for the dispatch doubt time.
type follower struct {
	s         *Scheduler
	workspace string
	key       string
	// resubmitted is set if the caller has sent the request again, so that a
	// queued job of this entry that is no longer worked on is started anew.
	resubmitted bool

	token string    // last seen
	since time.Time // when it was first seen
}

// wait returns the final record of the job. It reports false if ctx ended first
// or the job has no row.
func (f *follower) wait(ctx context.Context) (rows.Job, bool) {
	for {
		record, err := f.s.rec.read(ctx, f.workspace, f.key)
		switch {
		case errors.Is(err, rows.ErrNotFound):
			return rows.Job{}, false
		case err != nil:
			// The store is out: the local copy, if any, may still end.
			record = rows.Job{}
		case record.State == rows.JobNotRun && f.resubmitted:
			f.takeOver(ctx, record)
		case record.Final():
			return f.loaded(ctx, record)
		}
		if final, ok := f.step(ctx, record); ok {
			return final, true
		}
		if !f.pause(ctx) {
			return rows.Job{}, false
		}
	}
}

func (f *follower) loaded(ctx context.Context, record rows.Job) (rows.Job, bool) {
	record, err := f.s.loadAnswer(ctx, record)
	return record, err == nil
}

// pause waits for the next look at the row, or for the end of the local job.
func (f *follower) pause(ctx context.Context) bool {
	t := time.NewTimer(followPoll)
	defer t.Stop()
	var done <-chan struct{}
	if j, ok := f.s.jobs.Get(f.workspace, f.key); ok {
		done = j.Done()
	}
	select {
	case <-t.C:
	case <-done:
	case <-ctx.Done():
		return false
	}
	return true
}

// step looks at the job once. It returns a final record if the job has ended.
func (f *follower) step(ctx context.Context, record rows.Job) (rows.Job, bool) {
	if j, ok := f.s.jobs.Get(f.workspace, f.key); ok {
		local := j.Record()
		return local, local.Final()
	}
	if record.Token == "" {
		return rows.Job{}, false
	}
	if record.Token != f.token {
		f.token = record.Token
		f.since = time.Now()
	}
	if f.s.isAbandoned(record) {
		f.takeOver(ctx, record)
		return rows.Job{}, false
	}
	if record.State != rows.JobDispatched {
		return rows.Job{}, false
	}
	return f.askHub(ctx, record)
}

func (f *follower) askHub(ctx context.Context, record rows.Job) (rows.Job, bool) {
	id := &targetrpc.AttemptID{Job: record.ID, Number: record.Attempt}
	reply, err := f.s.await(ctx, id, record.HubAddress, record.HubIncarnation, followAwait)
	if err != nil {
		return rows.Job{}, false
	}
	if ran, ok := resultOf(reply, record.Hub).(ranResult); ok {
		f.s.background(func(ctx context.Context) { f.s.settle(ctx, f.workspace, f.key, record.Token) })
		return finalRecord(record, outcome.Ran{Answer: ran.answer, Elapsed: ran.elapsed}), true
	}
	if reply.GetState() != targetrpc.AttemptState_ATTEMPT_RUNNING && time.Since(f.since) >= dispatchDoubt {
		f.takeOver(ctx, record)
	}
	return rows.Job{}, false
}

// takeOver takes the job over. A repeated request starts a job anew only once: if
// that one is canceled, it stays so.
func (f *follower) takeOver(ctx context.Context, record rows.Job) {
	why := abandonment
	if f.resubmitted {
		why = resubmission
	}
	if f.s.takeOver(ctx, f.workspace, f.key, record, why) != nil {
		f.resubmitted = false
	}
}

// isAbandoned reports whether nobody works on a job that this entry does not work
// on: its owner has ended, or this entry owned it and gave it up.
func (s *Scheduler) isAbandoned(record rows.Job) bool {
	mine := record.Entry == s.set.Entry && record.EntryIncarnation == s.set.Incarnation
	return mine || s.peers.Members.Silent(record.Entry, record.EntryIncarnation)
}

// takeOverReason says why an entry takes over a job, which decides whether it
// may make new attempts.
type takeOverReason int

const (
	// abandonment: the owner has ended. A job that was attached to a caller is
	// settled without new attempts, since its caller may have been told that it
	// did not run.
	abandonment takeOverReason = iota
	// resubmission: the caller has sent the request again.
	resubmission
	// cancellation: the caller wants no new attempts.
	cancellation
)

// settlePeriod is how often a job is looked at whose owner may have ended before
// it wrote the job's end.
const settlePeriod = 3 * time.Second

// settle waits until the row of a job that has ended changes, and takes the job
// over if its owner has ended, so that the answer is recorded before its target
// forgets it.
func (s *Scheduler) settle(ctx context.Context, workspace, key, token string) {
	ctx, cancel := context.WithTimeout(ctx, resultRetention)
	defer cancel()
	for sleep(ctx, settlePeriod) {
		record, err := s.rec.read(ctx, workspace, key)
		switch {
		case errors.Is(err, rows.ErrNotFound), err == nil && (record.Token != token || record.Final()):
			return
		case err == nil && s.peers.Members.Silent(record.Entry, record.EntryIncarnation):
			s.takeOver(ctx, workspace, key, record, abandonment)
			return
		}
	}
}

// takeOver makes this entry the owner of a recorded job, if the row still holds
// the given record, and goes on with it. It returns the local job, or nil if
// another entry was faster or the store is out.
func (s *Scheduler) takeOver(ctx context.Context, workspace, key string, record rows.Job, why takeOverReason) *jobs.Job {
	r, err := s.adopt(ctx, workspace, key, record, why)
	if err != nil {
		s.log.Info().Int("Event", EventTakeOverFailed).Str("Job", record.ID).Err(err).Send()
		return nil
	}
	s.log.Info().Int("Event", EventTakeOver).Str("Job", record.ID).Str("From", record.Entry).Str("State", string(record.State)).Send()
	if why == cancellation {
		r.job.Cancel()
	}
	s.start(r)
	return r.job
}

// adopt writes this entry into the row of the job and moves its queue row.
func (s *Scheduler) adopt(ctx context.Context, workspace, key string, record rows.Job, why takeOverReason) (*run, error) {
	var request Request
	if err := json.Unmarshal(record.Request, &request); err != nil {
		return nil, fmt.Errorf("request of job %s: %w", record.ID, err)
	}
	next := record
	next.Token = rows.NewToken()
	next.Entry = s.set.Entry
	next.EntryIncarnation = s.set.Incarnation
	if next.Final() {
		next = requeued(next)
	}
	next.Attached = why == abandonment && record.Attached
	moves, err := s.moveQueueRow(ctx, workspace, key, record.Entry, next.Token)
	if err != nil {
		return nil, err
	}
	j := jobs.New(record.ID, workspace, key, next)
	if _, added := s.jobs.Add(j); !added {
		return nil, fmt.Errorf("job %s is already worked on", record.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	if err := s.rec.replace(ctx, workspace, key, []string{record.Token}, next, moves...); err != nil {
		s.jobs.Remove(j)
		return nil, err
	}
	r := &run{
		s: s, job: j, recorded: true, tokens: []string{next.Token},
		takenOver: true, lastInherited: next.Attempt, detached: !next.Attached,
	}
	if next.State == rows.JobDispatched {
		r.inherited = next.Attempt
	}
	r.spec, r.refusal = s.resolveAgain(request)
	if why == abandonment && record.Attached {
		r.refusal = &outcome.NotRun{
			Reason: outcome.ReasonLeaving, Detail: "the entry that took the request ended before it started it", RetryAfter: time.Second,
		}
	}
	return r, nil
}

// requeued clears the end of a job that did not run, so that it can be tried
// again under the same key.
func requeued(record rows.Job) rows.Job {
	record.State = rows.JobQueued
	record.Reason, record.Detail, record.RetryMillis = "", "", 0
	return record
}

// moveQueueRow returns the writes that take a job out of the queue of its former
// owner and put it into this entry's.
func (s *Scheduler) moveQueueRow(ctx context.Context, workspace, key, from, token string) ([]rows.Write, error) {
	writes, err := s.rec.dequeue(ctx, from, workspace, key)
	if err != nil {
		return nil, err
	}
	if from == s.set.Entry && len(writes) > 0 {
		return nil, nil
	}
	enqueue, err := s.rec.enqueue(workspace, key, token)
	if err != nil {
		return nil, err
	}
	return append(writes, enqueue), nil
}
