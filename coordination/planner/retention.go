package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// retentionMargin is added to the time for which ended jobs are kept: callers
	// learn of the end later than the planner.
	retentionMargin = 30 * time.Second
	// tombstoneTTL is how long the ID of a removed job is remembered. A read of the
	// table that was sent before the removal may be answered after it, within the
	// time limit of a call.
	tombstoneTTL = time.Minute
	// maxJobRows bounds the rows of a job that is removed: all go in one transaction,
	// because a job of which only a part is left would run again.
	maxJobRows = maxBatchRows - 10
)

// tombstone is a job that has been removed.
type tombstone struct {
	token string
	at    time.Time
}

// removeOldJobs removes the jobs that ended long ago from the plan, and lets a batch
// remove their rows.
func (p *Planner) removeOldJobs(now time.Time) {
	if p.cfg.Retention <= 0 {
		return
	}
	for id, r := range p.tombstones {
		if now.Sub(r.at) > tombstoneTTL {
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

// mayRemove reports whether a job has ended long ago and nothing of it is left to do.
func (p *Planner) mayRemove(js *jobState, now time.Time) bool {
	if len(js.occurrences) == 0 || !js.cancelled && len(js.occurrences) < js.job.Occurrences() {
		return false
	}
	for _, o := range js.occurrences {
		if !o.state.Final() || now.Sub(o.finalAt) <= p.cfg.Retention+retentionMargin || !o.hasNoRuns() {
			return false
		}
		if _, dirty := p.dirty[o]; dirty {
			return false
		}
	}
	return true
}

// deletions returns those of all rows of a job.
func (js *jobState) deletions() []table.Deletion {
	out := []table.Deletion{{Table: job.TableJobs, Key: js.job.ID}}
	if js.cancelled {
		out = append(out, table.Deletion{Table: job.TableJobs, Key: job.CancelKey(js.job.ID)})
	}
	if js.job.Key != "" {
		out = append(out, table.Deletion{Table: job.TableKeys, Key: job.KeysKey(js.job.Workspace, js.job.Key)})
	}
	for _, o := range js.occurrences {
		out = append(out, table.Deletion{Table: job.TableProgress, Key: o.key})
	}
	return out
}
