package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/rows"
)

// recorder writes the rows of recorded jobs. Each write carries a new token, so
// that a write whose answer was lost is recognized when the row is read back.
type recorder struct {
	store rows.Store
	entry string
}

// supersededError reports that the row no longer holds the writer's last value:
// another entry has taken the job over or ended it.
type supersededError struct {
	Job rows.Job
}

func (e *supersededError) Error() string {
	return fmt.Sprintf("job %s was taken over by entry %s in state %s", e.Job.ID, e.Job.Entry, e.Job.State)
}

// undecidedError reports a write that may or may not have taken effect, or may
// still do so.
type undecidedError struct {
	Err error
}

func (e *undecidedError) Error() string { return fmt.Sprintf("write is undecided: %v", e.Err) }

// Unwrap returns the cause.
func (e *undecidedError) Unwrap() error { return e.Err }

const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// claim inserts the row of a new job and its place in the entry's queue, from
// which another entry adopts it if this one dies. It returns the row of the key's
// first claimant: mine is true if that is job itself.
func (r *recorder) claim(ctx context.Context, workspace, key string, job rows.Job) (found rows.Job, mine bool, err error) {
	insert, err := r.claimWrites(workspace, key, job)
	if err != nil {
		return rows.Job{}, false, err
	}
	undecided := false
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		err := r.store.Write(ctx, insert...)
		if err == nil {
			return job, true, nil
		}
		var lost *rows.LostAnswerError
		undecided = undecided || errors.As(err, &lost)
		var conflict *rows.ConflictError
		if errors.As(err, &conflict) || undecided {
			found, readErr := r.read(ctx, workspace, key)
			if readErr == nil {
				return found, found.Token == job.Token, nil
			}
			if !errors.Is(readErr, rows.ErrNotFound) {
				err = readErr
			}
		}
		if !undecided {
			return rows.Job{}, false, outcome.Step("write claim", "store", err)
		}
		if !sleep(ctx, wait) {
			return rows.Job{}, false, outcome.Step("write claim", "store", &undecidedError{Err: err})
		}
	}
}

func (r *recorder) claimWrites(workspace, key string, job rows.Job) ([]rows.Write, error) {
	value, err := rows.Encode(job)
	if err != nil {
		return nil, err
	}
	insert := rows.Insert(rows.TableJob, rows.JobKey(workspace, key), value)
	enqueue, err := r.enqueue(workspace, key, job.Token)
	if err != nil {
		return nil, err
	}
	return []rows.Write{insert, enqueue}, nil
}

// enqueue returns the write that puts a job into this entry's queue.
func (r *recorder) enqueue(workspace, key, token string) (rows.Write, error) {
	place, err := rows.Encode(rows.Queue{Token: token, Workspace: workspace, Key: key})
	if err != nil {
		return rows.Write{}, err
	}
	return rows.Insert(rows.TableQueue, rows.QueueKey(r.entry, workspace, key), place), nil
}

// read returns the row of a job, or rows.ErrNotFound.
func (r *recorder) read(ctx context.Context, workspace, key string) (rows.Job, error) {
	job, _, err := r.readVersion(ctx, workspace, key)
	return job, err
}

func (r *recorder) readVersion(ctx context.Context, workspace, key string) (rows.Job, uint64, error) {
	row, err := r.store.Read(ctx, rows.TableJob, rows.JobKey(workspace, key))
	if err != nil {
		return rows.Job{}, 0, outcome.Step("read job", "store", err)
	}
	var job rows.Job
	if err := rows.Decode(row, &job); err != nil {
		return rows.Job{}, 0, outcome.Step("read job", "store", err)
	}
	return job, row.Version, nil
}

// replace sets the row of a job to next, which must carry a new token, if the
// row still carries one of the tokens in from. It tries until the write is known to have
// taken effect or ctx ends. The extra writes depend on the row's change.
//
// It returns a *supersededError if the row carries another token, and an
// *undecidedError if ctx ended while a write may still take effect. After any
// other error the row is unchanged.
func (r *recorder) replace(ctx context.Context, workspace, key string, from []string, next rows.Job, extra ...rows.Write) error {
	value, err := rows.Encode(next)
	if err != nil {
		return err
	}
	undecided := false
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		err := r.replaceOnce(ctx, workspace, key, from, next.Token, value, extra)
		if err == nil {
			return nil
		}
		var superseded *supersededError
		if errors.As(err, &superseded) {
			return err
		}
		var lost *rows.LostAnswerError
		undecided = undecided || errors.As(err, &lost)
		if !sleep(ctx, wait) {
			if undecided {
				return outcome.Step("write job", "store", &undecidedError{Err: err})
			}
			return outcome.Step("write job", "store", err)
		}
	}
}

func (r *recorder) replaceOnce(ctx context.Context, workspace, key string, from []string, token string, value []byte, extra []rows.Write) error {
	job, version, err := r.readVersion(ctx, workspace, key)
	if err != nil {
		return err
	}
	if job.Token == token {
		return nil // An earlier write took effect although its answer was lost.
	}
	if !slices.Contains(from, job.Token) {
		return &supersededError{Job: job}
	}
	writes := append([]rows.Write{rows.Update(rows.TableJob, rows.JobKey(workspace, key), version, value)}, extra...)
	return r.store.Write(ctx, writes...)
}

// dequeue returns the write that removes a job from this entry's queue, or none
// if the job is not queued here.
func (r *recorder) dequeue(ctx context.Context, entry, workspace, key string) ([]rows.Write, error) {
	k := rows.QueueKey(entry, workspace, key)
	row, err := r.store.Read(ctx, rows.TableQueue, k)
	if errors.Is(err, rows.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, outcome.Step("read queue", "store", err)
	}
	return []rows.Write{rows.Delete(rows.TableQueue, k, row.Version)}, nil
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
