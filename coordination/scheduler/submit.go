package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/jobs"
	"github.com/medlargrade/medlargrade/state/rows"
)

// storeRetry is the retry time of requests that are refused because the store
// is out.
const storeRetry = 5 * time.Second

// Status is what is known of a job.
type Status struct {
	Workspace string
	Key       string
	Job       string // job ID; empty if the request was refused before it had one
	State     rows.JobState
	Attempt   uint32
	Targets   []string
	Ended     bool
	Outcome   outcome.Outcome // set if Ended
}

// ErrKeyConflict reports an idempotency key that belongs to another request.
var ErrKeyConflict = errors.New("the idempotency key belongs to another request")

// ErrNoJob reports a job that the entry and the store don't know.
var ErrNoJob = errors.New("no such job")

var errShortReply = errors.New("reply names too few attempts")

// Submit takes a request and waits up to wait for its outcome. With a wait of
// zero it returns once the job is recorded, so that it survives this entry.
//
// A short idempotent request that a caller waits for is not recorded: it costs no
// write, and it ends with the wait or with ctx. All others are recorded first and
// go on after the wait. While the store is out, other idempotent requests that a
// caller waits for are served like short ones.
//
// The error is ErrKeyConflict if the key belongs to another request; every
// other end is an Outcome.
func (s *Scheduler) Submit(ctx context.Context, r Request, wait time.Duration) (Status, error) {
	if !s.requests.begin() {
		s.meter.refused(outcome.ReasonLeaving)
		return ended(r.Workspace, r.Key, outcome.NotRun{
			Reason: outcome.ReasonLeaving, Detail: "the entry is shutting down", RetryAfter: time.Second,
		}), nil
	}
	defer s.requests.end()
	sp, refusal := s.admit(r)
	if refusal != nil {
		s.meter.refused(refusal.Reason)
		return ended(r.Workspace, r.Key, *refusal), nil
	}
	if sp.idempotent && wait > 0 && sp.class == operator.ClassShort {
		return s.submitUnrecorded(ctx, sp, wait)
	}
	st, err := s.submitRecorded(ctx, sp, wait)
	if sp.idempotent && wait > 0 && isStoreDown(st) {
		// Idempotent work that a caller waits for goes on through an outage.
		return s.submitUnrecorded(ctx, sp, wait)
	}
	return st, err
}

func isStoreDown(st Status) bool {
	o, ok := st.Outcome.(outcome.NotRun)
	return ok && o.Reason == outcome.ReasonStoreDown
}

// admit checks whether the entry is ready and the configuration allows the
// request.
func (s *Scheduler) admit(r Request) (spec, *outcome.NotRun) {
	if !s.peers.Config.IsReady() {
		return spec{}, &outcome.NotRun{Reason: outcome.ReasonNotReady, Detail: "the entry does not know the current configuration", RetryAfter: time.Second}
	}
	return resolve(r, s.peers.Config.Current().Config)
}

// submitUnrecorded runs an idempotent request that a caller waits for without a
// row. The job ends with the wait, because nobody could look it up later.
func (s *Scheduler) submitUnrecorded(ctx context.Context, sp spec, wait time.Duration) (Status, error) {
	if sp.request.Deadline == 0 || sp.request.Deadline > wait {
		sp.request.Deadline = wait
	}
	j, err := s.newJob(sp, true)
	if err != nil {
		return Status{}, err
	}
	j, added := s.addJob(j)
	if !added {
		if j.Record().Digest != sp.request.digest() {
			return Status{}, ErrKeyConflict
		}
		return s.waitLocal(ctx, j, wait), nil
	}
	s.start(&run{s: s, job: j, spec: sp})
	select {
	case <-j.Done():
	case <-ctx.Done():
		j.Cancel()
	case <-s.leaving:
		j.Cancel()
	}
	<-j.Done() // The deadline or the cancellation ends it.
	if sp.request.Key == "" {
		s.jobs.Remove(j)
	}
	return statusOf(j.Workspace(), j.Key(), j.Record()), nil
}

// submitRecorded claims the request's key before the first attempt. The job is
// attached to its caller during the wait.
func (s *Scheduler) submitRecorded(ctx context.Context, sp spec, wait time.Duration) (Status, error) {
	j, err := s.newJob(sp, wait > 0)
	if err != nil {
		return Status{}, err
	}
	j, added := s.addJob(j)
	if !added {
		if j.Record().Digest != sp.request.digest() {
			return Status{}, ErrKeyConflict
		}
		return s.waitLocal(ctx, j, wait), nil
	}
	record := j.Record()
	found, mine, err := s.claim(ctx, j)
	if err != nil {
		return s.claimFailed(j, err), nil
	}
	if !mine {
		s.jobs.Remove(j)
		if found.ID == j.ID() {
			// Another entry took the job over before this one saw its own claim.
			return s.follow(ctx, j.Workspace(), j.Key(), wait, false)
		}
		return s.joinOther(ctx, sp, found, wait)
	}
	r := &run{s: s, job: j, spec: sp, recorded: true, tokens: []string{record.Token}, detached: !record.Attached}
	s.start(r)
	return s.waitAttached(ctx, r, wait), nil
}

// waitAttached waits for a job that is attached to the caller, and detaches it if
// it has not ended by then.
func (s *Scheduler) waitAttached(ctx context.Context, r *run, wait time.Duration) Status {
	st := s.waitLocal(ctx, r.job, wait)
	if st.Ended || !r.job.Record().Attached {
		return st
	}
	done := make(chan struct{})
	s.background(func(ctx context.Context) {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, detachTimeout)
		defer cancel()
		r.detach(ctx)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return statusOf(r.job.Workspace(), r.job.Key(), r.job.Record())
}

// detachTimeout bounds the write that detaches a job. Its caller waits for it.
const detachTimeout = 3 * time.Second

// detach allows another entry to go on with the job if this one dies. If the store
// can't record that, the job goes on here, and after a death of this entry it is
// settled without new attempts.
func (r *run) detach(ctx context.Context) {
	r.mu.Lock()
	r.detached = true // Even if the answer to the write is lost.
	r.mu.Unlock()
	err := r.change(ctx, func(record rows.Job) rows.Job {
		record.Attached = false
		return record
	})
	if err != nil {
		r.s.log.Warn().Int("Event", EventDetachFailed).Str("Job", r.job.ID()).Err(err).Send()
	}
}

// claimTimeout bounds the claim of a request. Its caller waits for it.
const claimTimeout = 3 * time.Second

func (s *Scheduler) claim(ctx context.Context, j *jobs.Job) (rows.Job, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return s.rec.claim(ctx, j.Workspace(), j.Key(), j.Record())
}

// claimFailed ends a request whose claim could not be recorded. This entry never
// dispatches it. If a caller waits, the claim row, should it turn up later, is
// attached to that caller, so that no other entry starts it either: the request did
// not run. Without a waiting caller another entry may adopt the row and run it.
func (s *Scheduler) claimFailed(j *jobs.Job, err error) Status {
	s.log.Warn().Int("Event", EventClaimFailed).Str("Job", j.ID()).Err(err).Send()
	record := j.Record()
	var out outcome.Outcome = outcome.NotRun{Reason: outcome.ReasonStoreDown, Detail: "the request could not be recorded", RetryAfter: storeRetry}
	var undecided *undecidedError
	isUndecided := errors.As(err, &undecided)
	if isUndecided && !record.Attached {
		out = outcome.Unknown{Detail: "the request may have been recorded: look it up, or send it again with the same key"}
	}
	final := finalRecord(record, out)
	j.End(final)
	s.jobs.Remove(j)
	if isUndecided && record.Attached {
		s.background(func(ctx context.Context) {
			r := &run{s: s, job: j, recorded: true, tokens: []string{record.Token}}
			if err := r.recordEnd(ctx, final); err != nil {
				s.log.Debug().Int("Event", EventEndNotRecorded).Str("Job", j.ID()).Err(err).Send()
			}
		})
	}
	return ended(j.Workspace(), j.Key(), out)
}

// joinOther waits for the job that has claimed the key before. A job that is
// known not to have run is started anew.
func (s *Scheduler) joinOther(ctx context.Context, sp spec, found rows.Job, wait time.Duration) (Status, error) {
	if found.Digest != sp.request.digest() {
		return Status{}, ErrKeyConflict
	}
	if found.State == rows.JobNotRun {
		if j := s.takeOver(ctx, sp.request.Workspace, sp.request.Key, found, resubmission); j != nil {
			return s.waitLocal(ctx, j, wait), nil
		}
	}
	return s.follow(ctx, sp.request.Workspace, sp.request.Key, wait, true)
}

// newJob returns a queued job for the request.
func (s *Scheduler) newJob(sp spec, attached bool) (*jobs.Job, error) {
	body, err := json.Marshal(sp.request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	id := rows.NewToken()
	key := sp.request.Key
	if key == "" {
		key = id
	}
	return jobs.New(id, sp.request.Workspace, key, rows.Job{
		Token:            rows.NewToken(),
		ID:               id,
		State:            rows.JobQueued,
		Request:          body,
		Digest:           sp.request.digest(),
		Entry:            s.set.Entry,
		EntryIncarnation: s.set.Incarnation,
		Attached:         attached,
		Created:          time.Now().UnixMilli(),
	}), nil
}

// addJob stores j, in place of a job of the same key that is known not to have
// run.
func (s *Scheduler) addJob(j *jobs.Job) (*jobs.Job, bool) {
	for {
		got, added := s.jobs.Add(j)
		if added || got.Record().State != rows.JobNotRun {
			return got, added
		}
		s.jobs.Remove(got)
	}
}

// waitLocal waits for a job of this entry.
func (s *Scheduler) waitLocal(ctx context.Context, j *jobs.Job, wait time.Duration) Status {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-j.Done():
	case <-t.C:
	case <-ctx.Done():
	case <-s.leaving:
	}
	return statusOf(j.Workspace(), j.Key(), j.Record())
}

// Lookup returns what is known of a job and waits up to wait for its end. It
// returns ErrNoJob if there is none, and another error if the store can't be
// asked.
func (s *Scheduler) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (Status, error) {
	return s.follow(ctx, workspace, key, wait, false)
}

// follow waits for a job that another entry may own.
func (s *Scheduler) follow(ctx context.Context, workspace, key string, wait time.Duration, resubmitted bool) (Status, error) {
	if j, ok := s.jobs.Get(workspace, key); ok {
		if record := j.Record(); record.Final() {
			return statusOf(workspace, key, record), nil
		}
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f := &follower{s: s, workspace: workspace, key: key, resubmitted: resubmitted}
	if wait > 0 {
		if final, ok := f.wait(waitCtx); ok {
			return statusOf(workspace, key, final), nil
		}
	}
	return s.look(ctx, workspace, key)
}

// look returns what is known of a job now.
func (s *Scheduler) look(ctx context.Context, workspace, key string) (Status, error) {
	record, err := s.rec.read(ctx, workspace, key)
	if err == nil && record.Final() {
		record, err = s.loadAnswer(ctx, record)
	}
	if err == nil {
		return statusOf(workspace, key, record), nil
	}
	if j, ok := s.jobs.Get(workspace, key); ok {
		return statusOf(workspace, key, j.Record()), nil
	}
	if errors.Is(err, rows.ErrNotFound) {
		return Status{}, ErrNoJob
	}
	return Status{}, err
}

// Cancel stops a job. It returns what is then known of it: a job that had not
// started is not run, one that had started ends as unknown unless its answer was
// already whole.
func (s *Scheduler) Cancel(ctx context.Context, workspace, key string) (Status, error) {
	j, ok := s.jobs.Get(workspace, key)
	if !ok {
		record, err := s.rec.read(ctx, workspace, key)
		if errors.Is(err, rows.ErrNotFound) {
			return Status{}, ErrNoJob
		}
		if err != nil {
			return Status{}, err
		}
		if record.Final() {
			return s.look(ctx, workspace, key)
		}
		// The owner finds out at its next write; until then the row and the hub
		// keep its attempt from running unseen.
		if j = s.takeOver(ctx, workspace, key, record, cancellation); j == nil {
			return s.look(ctx, workspace, key)
		}
	}
	j.Cancel()
	return s.waitLocal(ctx, j, cancelWait), nil
}

// cancelWait bounds how long a caller waits for the confirmation of its
// cancellation.
const cancelWait = 5 * time.Second

// List returns the jobs of a workspace whose keys come after the given key:
// recorded ones from the store and those that only this entry knows.
func (s *Scheduler) List(ctx context.Context, workspace, after string, limit int) ([]Status, error) {
	prefix := workspace + "/"
	list, err := s.peers.Store.Scan(ctx, rows.TableJob, prefix, prefix+after, limit)
	if err != nil {
		return nil, outcome.Step("list jobs", "store", err)
	}
	out := make([]Status, 0, len(list))
	for _, row := range list {
		var record rows.Job
		if err := rows.Decode(row, &record); err != nil {
			return nil, err
		}
		st := statusOf(workspace, row.Key[len(prefix):], record)
		out = append(out, st)
	}
	return out, nil
}

func ended(workspace, key string, o outcome.Outcome) Status {
	return Status{Workspace: workspace, Key: key, Ended: true, Outcome: o}
}

func statusOf(workspace, key string, record rows.Job) Status {
	return Status{
		Workspace: workspace,
		Key:       key,
		Job:       record.ID,
		State:     record.State,
		Attempt:   record.Attempt,
		Targets:   record.Members,
		Ended:     record.Final(),
		Outcome:   outcomeOf(record),
	}
}
