package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// retentionMargin is added to Settings.Retention, because callers learn of the end of
	// a job later than the planner.
	retentionMargin = 30 * time.Second
	// tombstoneTTL is how long the ID of a removed job is kept. A read of the table that
	// was sent before the removal may return the job after it, within the time limit of
	// a call.
	tombstoneTTL = time.Minute
	// maxJobRows bounds the rows of a job that can be removed: those of its occurrences, and
	// three for the job, its cancellation and its idempotency key. They must be deleted in
	// one transaction, because a job with only part of its rows left would run again. A job
	// with more rows is kept forever.
	maxJobRows = maxBatchRows - 10
)

// tombstone marks a removed job, so that it is not added again.
type tombstone struct {
	token string    // of the job
	at    time.Time // when the job was removed
}

// removeOldJobs removes the jobs whose retention is over and queues their rows for
// deletion.
func (p *Planner) removeOldJobs(now time.Time) {
	if p.settings.Retention <= 0 {
		return
	}
	for id, t := range p.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(p.tombstones, id)
		}
	}
	var toDelete []*jobState
	for _, js := range p.jobs {
		if len(js.occurrences)+3 <= maxJobRows && p.mayRemove(js, now) {
			toDelete = append(toDelete, js)
		}
	}
	slices.SortFunc(toDelete, func(x, y *jobState) int { return cmp.Compare(x.job.ID, y.job.ID) })
	for _, js := range toDelete {
		delete(p.jobs, js.job.ID)
		p.tombstones[js.job.ID] = tombstone{js.job.Token, now}
	}
	p.toDelete = append(p.toDelete, toDelete...)
}

// mayRemove reports whether the retention of a job is over and nothing of it is left to run
// or to write.
func (p *Planner) mayRemove(js *jobState, now time.Time) bool {
	if len(js.occurrences) == 0 || !js.cancelled && !js.givenUp && len(js.occurrences) < js.job.Occurrences() {
		return false
	}
	for _, o := range js.occurrences {
		if !o.state.Final() || now.Sub(o.finalAt) <= p.settings.Retention+retentionMargin || !o.hasNoRuns() {
			return false
		}
		if _, dirty := p.dirty[o]; dirty {
			return false
		}
	}
	return true
}

// deletions returns the deletions of all rows of a job, except the one in job.TableWaiting,
// which is deleted when the job starts or ends.
func (js *jobState) deletions() []table.Deletion {
	out := []table.Deletion{{Table: job.TableJobs, Key: js.job.ID}}
	if js.cancelled {
		out = append(out, table.Deletion{Table: job.TableJobs, Key: job.CancelKey(js.job.ID)})
	}
	if js.job.Key != "" {
		out = append(out, table.Deletion{Table: job.TableIdempotencyKeys, Key: job.IdempotencyRowKey(js.job.Workspace, js.job.Key)})
	}
	for _, o := range js.occurrences {
		out = append(out, table.Deletion{Table: job.TableProgress, Key: o.key})
	}
	return out
}
