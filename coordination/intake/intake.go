package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// retryAfter is when a caller that was refused for want of the store should
	// return. Outages end within seconds.
	retryAfter = time.Second
	// retryPause is the pause before a call to the store is repeated.
	retryPause = 50 * time.Millisecond
	// overloadPause is the mean pause before a transaction is repeated that the store
	// has turned away for too many others. The store says so when more than a second
	// of them waits. Half of the pause is random, so that entries do not keep step.
	overloadPause = 200 * time.Millisecond
	// waitingLimit bounds the rows that are counted for one queue.
	waitingLimit = 500
)

// Result is the result of a submission: Accepted, Refused or Undecided.
type Result interface {
	isResult()
}

// Accepted reports a job that is recorded, now or by an earlier submission.
type Accepted struct {
	Repeated bool // it was recorded before
}

// Refused reports a job that is not recorded and never will be by this call.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Undecided reports a job that may be recorded.
type Undecided struct {
	Err error
}

func (Accepted) isResult()  {}
func (Refused) isResult()   {}
func (Undecided) isResult() {}

// Service serves callers. Its methods are safe for concurrent use.
type Service struct {
	store table.Store
	part  string
	clock *table.Clock
	gate  *gate
	log   zerolog.Logger
	set   *metrics.Set
}

// New returns a service that records jobs in a part of the store. It measures in set.
func New(store table.Store, part string, clock *table.Clock, set *metrics.Set, log zerolog.Logger) *Service {
	g := newGate(store, table.Range{Table: job.TableJobs, Part: part, From: "0", To: "0", Limit: 1}, log)
	return &Service{store: store, part: part, clock: clock, gate: g, log: log, set: set}
}

// Close ends the probes of a store that does not answer.
func (s *Service) Close() { s.gate.close() }

// StoreSilent returns how long the store has not answered.
func (s *Service) StoreSilent() time.Duration { return s.gate.downFor() }

// ErrStoreDown reports a store that is known not to answer.
var ErrStoreDown = errors.New("the store does not answer")

// Submit records a job. A read shows first that the store answers; without it, the
// job is refused before anything of it is sent. The write is repeated until its
// outcome is known or ctx ends.
func (s *Service) Submit(ctx context.Context, j job.Job) Result {
	begin := time.Now()
	defer func() { s.set.GetOrCreatePrometheusHistogram(`medlargrade_submission_seconds`).UpdateDuration(begin) }()
	if s.gate.isDown() {
		return s.refused(j, ErrStoreDown, ErrStoreDown)
	}
	p, err := s.gate.read(ctx, table.Range{Table: job.TableJobs, Part: s.part, From: j.ID, To: j.ID + "\x00"})
	if err != nil {
		return s.refused(j, ErrStoreDown, err)
	}
	s.clock.Observe(p.Now)
	if len(p.Rows) > 0 {
		return s.repeated(j, p.Rows[0])
	}
	return s.record(ctx, j)
}

// record writes the rows of a job.
func (s *Service) record(ctx context.Context, j job.Job) Result {
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
		tx = tx.WithWrite(job.TableKeys, job.KeysKey(j.Workspace, j.Key), []byte(j.ID))
	}
	lost := false
	for {
		c, err := s.store.Commit(ctx, tx)
		var conflict *table.ConflictError
		var gone *table.LostError
		switch {
		case err == nil:
			s.clock.Observe(c.Now)
			s.logSubmit(j, "accepted", nil)
			return Accepted{}
		case errors.As(err, &conflict):
			return s.repeated(j, conflict.Row(job.TableJobs, j.ID))
		case errors.As(err, &gone):
			lost = true
		case !lost && !errors.Is(err, table.ErrOverloaded):
			return s.refused(j, err, err)
		}
		wait := retryPause
		if errors.Is(err, table.ErrOverloaded) {
			wait = overloadPause/2 + rand.N(overloadPause)
		}
		if pause.For(ctx, wait) {
			continue
		}
		if lost {
			return s.undecided(j, err)
		}
		return s.refused(j, err, err)
	}
}

// repeated is the result for an ID that is recorded.
func (s *Service) repeated(j job.Job, row table.Row) Result {
	old, err := job.Decode(row.Value)
	if err != nil {
		return s.undecided(j, err)
	}
	s.logSubmit(j, "accepted", nil)
	return Accepted{Repeated: old.Token != j.Token}
}

// refused logs the cause of a refusal and returns the refusal with the reason that
// the caller is told.
func (s *Service) refused(j job.Job, reason, cause error) Refused {
	s.logSubmit(j, "refused", cause)
	return Refused{Reason: reason.Error(), RetryAfter: retryAfter}
}

func (s *Service) undecided(j job.Job, err error) Undecided {
	s.logSubmit(j, "undecided", err)
	return Undecided{Err: err}
}

func (s *Service) logSubmit(j job.Job, outcome string, err error) {
	s.log.Info().Int("Event", EventSubmitted).Str("Job", j.ID).Str("RequestID", j.RequestID).Str("Kind", j.Kind).
		Str("Workspace", j.Workspace).Str("Outcome", outcome).Dur("StoreSilent", s.gate.downFor()).Err(err).Send()
	s.set.GetOrCreateCounter(`medlargrade_submissions_total{outcome="` + outcome + `"}`).Inc()
}

// ErrNoJob reports a job that does not exist.
var ErrNoJob = errors.New("no such job")

// found is what the store has of a job.
type found struct {
	job     job.Job
	version uint64    // of the job's row; 0 if it was not read
	state   job.State // as the planner has recorded it
	// cancelled reports a recorded cancellation, which the planner may not have taken
	// yet.
	cancelled bool
	// progress has the recorded occurrences.
	progress []job.Progress
}

// State returns the state of a job, or ErrNoJob.
func (s *Service) State(ctx context.Context, id string) (job.State, error) {
	f, err := s.find(ctx, id)
	if f.cancelled && !f.state.Final() {
		return job.Cancelled, err
	}
	return f.state, err
}

// find reads the rows of a job.
func (s *Service) find(ctx context.Context, id string) (found, error) {
	from, to := job.KeyRange(id)
	jobs, err := s.read(ctx, table.Range{Table: job.TableJobs, Part: s.part, From: from, To: to})
	if err != nil {
		return found{}, fmt.Errorf("read job %s: %w", id, err)
	}
	var f found
	canceled := false
	for _, r := range jobs.Rows {
		switch rid, cancel := job.ParseJobsKey(r.Key); {
		case rid != id:
		case cancel:
			canceled = true
		default:
			if f.job, err = job.Decode(r.Value); err != nil {
				return found{}, err
			}
			f.version = r.Version
		}
	}
	if f.version == 0 {
		return found{}, ErrNoJob
	}
	progress, err := s.read(ctx, table.Range{Table: job.TableProgress, Part: s.part, From: from, To: to})
	if err != nil {
		return found{}, fmt.Errorf("read progress of job %s: %w", id, err)
	}
	var states []job.State
	for _, r := range progress.Rows {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			return found{}, err
		}
		states = append(states, p.State)
		f.progress = append(f.progress, p)
	}
	f.state = job.Combine(states, f.job.Occurrences())
	f.cancelled = canceled
	return f, nil
}

// read reads a range, or fails at once if the store is known not to answer.
func (s *Service) read(ctx context.Context, r table.Range) (table.Page, error) {
	if s.gate.isDown() {
		return table.Page{}, ErrStoreDown
	}
	p, err := s.gate.read(ctx, r)
	if err == nil {
		s.clock.Observe(p.Now)
	}
	return p, err
}

// Cancel records that a job is cancelled. It returns ErrNoJob if there is none; a
// job that has ended stays as it is.
func (s *Service) Cancel(ctx context.Context, id, requestID string) error {
	f, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	if f.state.Final() || f.cancelled {
		return nil
	}
	tx := table.Tx{Part: s.part}.
		WithCondition(job.TableJobs, id, f.version).
		WithWrite(job.TableJobs, job.CancelKey(id), job.Cancellation{RequestID: requestID}.Encode())
	for {
		_, err := s.store.Commit(ctx, tx)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			s.log.Info().Int("Event", EventCancelled).Str("Job", id).Str("RequestID", requestID).Msg("the cancellation is recorded")
			return nil
		case errors.As(err, &conflict):
			return ErrNoJob
		}
		if !pause.For(ctx, retryPause) {
			return fmt.Errorf("cancel job %s: %w", id, err)
		}
	}
}

// Waiting returns the number of accepted jobs in a queue of which no task has been
// started.
func (s *Service) Waiting(ctx context.Context, queue string) (int, error) {
	from, to := job.WaitingRange(queue)
	p, err := s.read(ctx, table.Range{Table: job.TableWaiting, Part: s.part, From: from, To: to, Limit: waitingLimit})
	if err != nil {
		return 0, fmt.Errorf("count jobs in queue %s: %w", queue, err)
	}
	return len(p.Rows), nil
}
