package jobs

import (
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/rows"
)

// Job is one job of an entry. Its methods are safe for concurrent use.
type Job struct {
	id        string
	workspace string
	key       string
	created   time.Time
	done      chan struct{}
	canceled  chan struct{}

	mu         sync.Mutex
	record     rows.Job
	ended      time.Time // zero until the job has ended
	isCanceled bool
}

// New returns a job that has not ended. The record is its initial state.
func New(id, workspace, key string, record rows.Job) *Job {
	return &Job{
		id:        id,
		workspace: workspace,
		key:       key,
		created:   time.Now(),
		done:      make(chan struct{}),
		canceled:  make(chan struct{}),
		record:    record,
	}
}

// ID returns the job ID, unique over all entries.
func (j *Job) ID() string { return j.id }

// Workspace returns the workspace that submitted the job.
func (j *Job) Workspace() string { return j.workspace }

// Key returns the idempotency key, unique in the workspace.
func (j *Job) Key() string { return j.key }

// Created returns when this entry took the job.
func (j *Job) Created() time.Time { return j.created }

// Done returns a channel that is closed at the end of the job.
func (j *Job) Done() <-chan struct{} { return j.done }

// Canceled returns a channel that is closed when the job is canceled.
func (j *Job) Canceled() <-chan struct{} { return j.canceled }

// Record returns the latest state.
func (j *Job) Record() rows.Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.record
}

// Update replaces the state of a job that has not ended. It reports false if
// the job has ended.
func (j *Job) Update(record rows.Job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ended.IsZero() {
		return false
	}
	j.record = record
	return true
}

// End ends the job with a final record. Only the first call has an effect; it
// reports true.
func (j *Job) End(final rows.Job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ended.IsZero() {
		return false
	}
	j.record = final
	j.ended = time.Now()
	close(j.done)
	return true
}

// Cancel asks whoever works on the job to stop it. It has no effect on a job
// that has ended.
func (j *Job) Cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isCanceled || !j.ended.IsZero() {
		return
	}
	j.isCanceled = true
	close(j.canceled)
}

// endedBefore reports whether the job ended before t.
func (j *Job) endedBefore(t time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.ended.IsZero() && j.ended.Before(t)
}
