package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// keyRetention is how long the row of an ended job, and with it the memory of
	// its idempotency key, is kept at least.
	keyRetention = 24 * time.Hour
	// retentionPeriod is how often an entry looks at the rows of ended jobs.
	retentionPeriod = 10 * time.Minute
	// retentionPage is the number of rows in one scan.
	retentionPage = 500
)

// janitor removes the rows of jobs that ended long ago.
//
// It measures the age of a row on its own clock from the first time it has seen
// it, and never compares clocks: a clock that steps must not make an idempotency
// key forgotten early. A restart of the entry only makes rows live longer.
type janitor struct {
	store rows.Store

	mu   sync.Mutex
	seen map[string]sighting // by the key of the ended row
}

// sighting is when a version of a row was first seen.
type sighting struct {
	version uint64
	since   time.Time
}

func newJanitor(store rows.Store) *janitor {
	return &janitor{store: store, seen: make(map[string]sighting)}
}

// sweep looks at all rows of ended jobs once and removes the old ones. It returns
// how many jobs it has removed.
func (j *janitor) sweep(ctx context.Context) (int, error) {
	removed := 0
	seen := make(map[string]sighting)
	after := ""
	for {
		page, err := j.store.Scan(ctx, rows.TableEnded, "", after, retentionPage)
		if err != nil {
			return removed, outcome.Step("scan ended jobs", "store", err)
		}
		for _, row := range page {
			since := j.firstSeen(row)
			if time.Since(since) < keyRetention {
				seen[row.Key] = sighting{version: row.Version, since: since}
				continue
			}
			ok, err := j.remove(ctx, row)
			if err != nil {
				return removed, err
			}
			if ok {
				removed++
			}
		}
		if len(page) < retentionPage {
			break
		}
		after = page[len(page)-1].Key
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seen = seen
	return removed, nil
}

func (j *janitor) firstSeen(row rows.Row) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.seen[row.Key]
	if !ok || s.version != row.Version {
		s = sighting{version: row.Version, since: time.Now()}
		j.seen[row.Key] = s
	}
	return s.since
}

// remove deletes the job of an ended row, unless it was started again since.
func (j *janitor) remove(ctx context.Context, row rows.Row) (bool, error) {
	var ended rows.Ended
	if err := rows.Decode(row, &ended); err != nil {
		return false, err
	}
	writes := []rows.Write{rows.Delete(rows.TableEnded, row.Key, row.Version)}
	jobRow, err := j.store.Read(ctx, rows.TableJob, rows.JobKey(ended.Workspace, ended.Key))
	if err != nil && !errors.Is(err, rows.ErrNotFound) {
		return false, outcome.Step("read ended job", "store", err)
	}
	if err == nil {
		var job rows.Job
		if err := rows.Decode(jobRow, &job); err != nil {
			return false, err
		}
		if job.Token == ended.Token {
			writes = append(writes, rows.Delete(rows.TableJob, jobRow.Key, jobRow.Version))
		}
	}
	err = j.store.Write(ctx, writes...)
	var conflict *rows.ConflictError
	if errors.As(err, &conflict) {
		return false, nil // Another entry was faster, or the job was started again.
	}
	return err == nil, outcome.Step("remove ended job", "store", err)
}

// endedWrite returns the write of the row that marks a job as ended.
func (r *recorder) endedWrite(ctx context.Context, workspace, key, token string) (rows.Write, error) {
	value, err := rows.Encode(rows.Ended{Token: token, Workspace: workspace, Key: key})
	if err != nil {
		return rows.Write{}, err
	}
	k := rows.EndedKey(workspace, key)
	row, err := r.store.Read(ctx, rows.TableEnded, k)
	if errors.Is(err, rows.ErrNotFound) {
		return rows.Insert(rows.TableEnded, k, value), nil
	}
	if err != nil {
		return rows.Write{}, outcome.Step("read ended row", "store", err)
	}
	return rows.Update(rows.TableEnded, k, row.Version, value), nil
}
