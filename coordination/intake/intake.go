package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// defaultRetryAfter is the retry delay given to a caller of the platform's route API
	// whose job was not recorded, and to a caller of the callers' API if the queue is
	// full. Store outages end within seconds.
	defaultRetryAfter = time.Second
	// retryPause is the delay before a transaction is repeated.
	retryPause = 50 * time.Millisecond
	// overloadBackoff is the mean delay before a transaction is repeated that the
	// store rejected with ErrOverloaded, which it does while it has more than one
	// second of transactions queued. The delay is uniform between half and one and a
	// half of it, so that entries do not retry at the same time.
	overloadBackoff = 200 * time.Millisecond
	// maxRecordTime bounds the attempts to record a job. An early cancellation of the job is
	// kept for much longer (job.MinEarlyCancellationTime), so that it is still there when the
	// last attempt is carried out.
	maxRecordTime = 2 * time.Minute
)

// Result is the result of a submission: Accepted, Refused or OutcomeUnknown.
type Result interface {
	isResult()
}

// Accepted reports a job that is recorded, now or by an earlier submission.
type Accepted struct {
	Duplicate bool // the job was recorded by an earlier submission
}

// Refused reports a job that this call has not recorded and never will.
type Refused struct {
	Reason     string
	RetryAfter time.Duration // 0 if the call can't succeed later
	Overloaded bool          // the job certainly can't be served in time
	Cancelled  bool          // a caller has cancelled the job before it was recorded
}

// OutcomeUnknown reports a job that may or may not be recorded.
type OutcomeUnknown struct {
	Err error
}

func (Accepted) isResult()       {}
func (Refused) isResult()        {}
func (OutcomeUnknown) isResult() {}

// Service records, looks up and cancels jobs in the store. Its methods are safe for
// concurrent use.
type Service struct {
	store      table.Store
	part       string
	clock      *table.Clock
	breaker    *breaker
	log        zerolog.Logger
	set        *metrics.Set
	controller *admission.Controller // nil if nothing is refused because of load
}

// New returns a service that records jobs in a part of the store. It registers its
// metrics in set.
func New(store table.Store, part string, clock *table.Clock, set *metrics.Set, log zerolog.Logger) *Service {
	// An empty range: only the arrival of the reply matters.
	b := newBreaker(store, table.Range{Table: job.TableJobs, Part: part, From: "0", To: "0", Limit: 1}, log)
	return &Service{store: store, part: part, clock: clock, breaker: b, log: log, set: set}
}

// WithAdmission makes the service refuse jobs that certainly can't be served in time, as a controller
// decides. It must be called before the first submission.
func (s *Service) WithAdmission(c *admission.Controller) *Service {
	s.controller = c
	return s
}

// Close stops the probes of an unavailable store.
func (s *Service) Close() { s.breaker.close() }

// StoreDowntime returns how long the store has been unavailable, or 0 if it is available.
func (s *Service) StoreDowntime() time.Duration { return s.breaker.downFor() }

// ErrStoreDown reports a store that is known to be unavailable.
var ErrStoreDown = errors.New("the store does not answer")

// Submit records a job. It reads from the store first and refuses the job if the
// store is unavailable, before anything is written. The write is repeated until its
// outcome is known, ctx ends or maxRecordTime has passed. A DeadlineMillis of j above 0 is
// relative to the submission; the recorded one is a time of the store's clock.
// The demand is that of the job; it decides whether the job is refused because of load, which
// happens before anything is written and after it is known that the job is not recorded.
// A job that a caller who may cancel it has cancelled before is refused.
func (s *Service) Submit(ctx context.Context, j job.Job, d admission.Demand, may MayCancel) Result {
	begin := time.Now()
	defer func() { s.set.GetOrCreatePrometheusHistogram(`medlargrade_submission_seconds`).UpdateDuration(begin) }()
	if s.breaker.isDown() {
		return s.refusedByOutage(j, d, ErrStoreDown)
	}
	p, err := s.readJobRow(ctx, j.ID)
	if err != nil {
		return s.refusedByOutage(j, d, err)
	}
	if len(p.Rows) > 0 {
		return s.resultOfExisting(j, p.Rows[0])
	}
	if r := s.checkLoad(j, d); r != nil {
		return *r
	}
	return s.record(ctx, j, may)
}

// readJobRow reads the row of a job.
func (s *Service) readJobRow(ctx context.Context, id string) (table.Page, error) {
	return s.read(ctx, table.Range{Table: job.TableJobs, Part: s.part, From: id, To: id + "\x00"}, 0)
}

// record writes the rows of a job. Until ctx ends or maxRecordTime has passed, it retries while
// the store is overloaded, after a conflict with a cancellation by others and, once the answer
// to an attempt was lost, after any failure. An attempt that the store carries out late has no
// effect if the job was cancelled meanwhile, since that changes the row of its early
// cancellations.
func (s *Service) record(ctx context.Context, j job.Job, may MayCancel) Result {
	ctx, cancel := context.WithTimeout(ctx, maxRecordTime)
	defer cancel()
	if now, ok := s.clock.Now(); ok {
		j.AcceptedMillis = now.Milliseconds()
	}
	if j.DeadlineMillis > 0 {
		j.DeadlineMillis += j.AcceptedMillis
	}
	tx := table.Tx{Part: s.part}.
		WithCondition(job.TableJobs, j.ID, 0).
		WithWrite(job.TableJobs, j.ID, j.Encode()).
		WithWrite(job.TableWaiting, j.WaitingKey(), nil)
	if j.Key != "" {
		tx = tx.WithWrite(job.TableIdempotencyKeys, job.IdempotencyRowKey(j.Workspace, j.Key), []byte(j.ID))
	}
	earlyVersion := uint64(0) // of the row of early cancellations, none of which concerns the job
	answerLost := false
	for {
		sent := time.Now()
		c, err := s.store.Commit(ctx, tx.WithCondition(job.TableEarlyCancellations, j.ID, earlyVersion))
		var conflictErr *table.ConflictError
		var lostErr *table.OutcomeUnknownError
		switch {
		case err == nil:
			s.clock.Observe(c.Now, sent)
			s.reportSubmission(j, "accepted", nil)
			return Accepted{}
		case errors.As(err, &conflictErr):
			if row := conflictErr.Row(job.TableJobs, j.ID); row.Version != 0 {
				return s.resultOfExisting(j, row)
			}
			early := conflictErr.Row(job.TableEarlyCancellations, j.ID)
			if r := s.checkEarlyCancellations(j, early, may); r != nil {
				return *r
			}
			earlyVersion = early.Version
		case errors.As(err, &lostErr):
			answerLost = true
		case !answerLost && !errors.Is(err, table.ErrOverloaded):
			return s.refused(j, err, err)
		}
		wait := retryPause
		if errors.Is(err, table.ErrOverloaded) {
			wait = overloadBackoff/2 + rand.N(overloadBackoff)
		}
		if pause.For(ctx, wait) {
			continue
		}
		if answerLost {
			return s.outcomeUnknown(j, err)
		}
		return s.refused(j, err, err)
	}
}

// resultOfExisting returns the result for a job whose ID is already recorded in row,
// by an earlier attempt of the same call or by another submission.
func (s *Service) resultOfExisting(j job.Job, row table.Row) Result {
	recorded, err := job.Decode(row.Value)
	if err != nil {
		return s.outcomeUnknown(j, err)
	}
	if recorded.Workspace != j.Workspace && recorded.Workspace != "" && j.Workspace != "" {
		err := errors.New("the ID belongs to a job of another workspace")
		s.reportSubmission(j, "refused", err)
		return Refused{Reason: err.Error()}
	}
	s.reportSubmission(j, "accepted", nil)
	return Accepted{Duplicate: recorded.Token != j.Token}
}

// refused logs the cause of a refusal and returns the refusal with the reason for the
// caller.
func (s *Service) refused(j job.Job, reason, cause error) Refused {
	s.reportSubmission(j, "refused", cause)
	return Refused{Reason: reason.Error(), RetryAfter: defaultRetryAfter}
}

func (s *Service) outcomeUnknown(j job.Job, err error) OutcomeUnknown {
	s.reportSubmission(j, "undecided", err)
	return OutcomeUnknown{Err: err}
}

func (s *Service) reportSubmission(j job.Job, outcome string, err error) {
	s.log.Info().Int("Event", EventSubmitted).Str("Job", j.ID).Str("RequestID", j.RequestID).Str("Kind", j.Kind).
		Str("Workspace", j.Workspace).Str("Outcome", outcome).Dur("StoreSilent", s.breaker.downFor()).Err(err).Send()
	s.set.GetOrCreateCounter(`medlargrade_submissions_total{outcome="` + outcome + `"}`).Inc()
}

// ErrNoJob reports a job that does not exist.
var ErrNoJob = errors.New("no such job")

// Access reports whether a caller may see and cancel a job. To others the job does not
// exist.
type Access func(j job.Job) bool

// AnyJob is the Access of a caller that is known to be allowed.
func AnyJob(job.Job) bool { return true }

// jobRecord is the recorded state of a job.
type jobRecord struct {
	job        job.Job
	rowVersion uint64    // of the job's row; 0 if it was not read
	state      job.State // as the planner has recorded it
	// cancelled is whether a cancellation is recorded. The planner may not have
	// processed it yet.
	cancelled bool
	progress  []job.Progress // of the recorded occurrences
}

// ended reports whether all occurrences of the job have ended. The state of a recurring job can be
// final before, since one failed occurrence determines it.
func (r jobRecord) ended() bool {
	n := 0
	for _, p := range r.progress {
		if p.State.Final() {
			n++
		}
	}
	return n >= r.job.Occurrences()
}

// State returns the state of a job that the caller may access, or ErrNoJob. A job whose cancellation
// is recorded is queued or running until the planner has processed that: its last task may have ended
// before, and then the job is completed. A final state never changes.
func (s *Service) State(ctx context.Context, id string, may Access) (job.State, error) {
	rec, err := s.readJob(ctx, id)
	if err == nil && !may(rec.job) {
		return "", ErrNoJob
	}
	return rec.state, err
}

// readJob reads the rows of a job. It returns ErrNoJob if the job is not recorded.
func (s *Service) readJob(ctx context.Context, id string) (jobRecord, error) {
	from, to := job.RowRange(id)
	jobs, err := s.read(ctx, table.Range{Table: job.TableJobs, Part: s.part, From: from, To: to}, 0)
	if err != nil {
		return jobRecord{}, fmt.Errorf("read job %s: %w", id, err)
	}
	var rec jobRecord
	cancelled := false
	for _, r := range jobs.Rows {
		switch rid, cancel := job.ParseJobsKey(r.Key); {
		case rid != id:
		case cancel:
			cancelled = true
		default:
			if rec.job, err = job.Decode(r.Value); err != nil {
				return jobRecord{}, err
			}
			rec.rowVersion = r.Version
		}
	}
	if rec.rowVersion == 0 {
		return jobRecord{}, ErrNoJob
	}
	progress, err := s.read(ctx, table.Range{Table: job.TableProgress, Part: s.part, From: from, To: to}, 0)
	if err != nil {
		return jobRecord{}, fmt.Errorf("read progress of job %s: %w", id, err)
	}
	var states []job.State
	for _, r := range progress.Rows {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			return jobRecord{}, err
		}
		states = append(states, p.State)
		rec.progress = append(rec.progress, p)
	}
	rec.state = job.CombineStates(states, rec.job.Occurrences())
	rec.cancelled = cancelled
	return rec, nil
}

// Read reads a range, as the service itself does: it fails at once with ErrStoreDown while
// the store is known to be unavailable.
func (s *Service) Read(ctx context.Context, r table.Range) (table.Page, error) {
	return s.read(ctx, r, 0)
}

// read reads the first maxRows rows of a range, or all of them if maxRows is 0. It fails at
// once with ErrStoreDown while the breaker is open.
func (s *Service) read(ctx context.Context, r table.Range, maxRows int) (table.Page, error) {
	readPage := func(ctx context.Context, r table.Range) (table.Page, error) {
		if s.breaker.isDown() {
			return table.Page{}, ErrStoreDown
		}
		return s.breaker.readPage(ctx, r)
	}
	sent := time.Now()
	p, err := table.ReadUpTo(ctx, readPage, r, maxRows)
	if err == nil {
		s.clock.Observe(p.Now, sent)
	}
	return p, err
}

// Waiting returns the number of accepted jobs in a queue of which no task has been
// started.
func (s *Service) Waiting(ctx context.Context, queue string) (int, error) {
	return s.waitingUpTo(ctx, queue, 0)
}

// waitingUpTo returns the number of waiting jobs in a queue, but at most limit unless that
// is 0.
func (s *Service) waitingUpTo(ctx context.Context, queue string, limit int) (int, error) {
	from, to := job.WaitingRange(queue)
	p, err := s.read(ctx, table.Range{Table: job.TableWaiting, Part: s.part, From: from, To: to}, limit)
	if err != nil {
		return 0, fmt.Errorf("count jobs in queue %s: %w", queue, err)
	}
	return len(p.Rows), nil
}
