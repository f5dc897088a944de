package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// smallJobTasks is the number of tasks up to which the row of an occurrence is certain to
// have space for a run of each, so that its size is not computed.
const smallJobTasks = 80

// startsThatFit returns how many more runs of an occurrence its row has space for. Checkpoints
// and errors don't count: the row holds those for which it has space.
func (p *Planner) startsThatFit(o *occurrence) int {
	if n := o.job.job.Tasks(); n <= smallJobTasks {
		return n
	}
	size := 0
	for _, s := range o.steps {
		for _, t := range s.tasks {
			size += t.record().RequiredBytes()
		}
	}
	return job.FreeBytes(size) / job.MaxRunBytes(p.maxPlaceNameBytes())
}

// maxPlaceNameBytes returns the greatest length of the names in the place of a run.
func (p *Planner) maxPlaceNameBytes() int {
	n := 0
	for _, t := range p.sortedTargets {
		n = max(n, len(t.name)+len(t.worker.GetLife().GetWorker()))
	}
	return n
}

// recordWithin returns the write of an occurrence's row. If the row would be too long for the store,
// crashes that the tasks are not suspected of are forgotten: one crash of a worker is recorded for each
// task that ran there. An occurrence whose row is still too long ends as failed.
func (p *Planner) recordWithin(o *occurrence, now time.Time) table.Write {
	w, omitted := o.record()
	if len(w.Value) > table.MaxValueBytes && p.forgetCrashes(o) {
		w, omitted = o.record()
	}
	if len(w.Value) > table.MaxValueBytes {
		p.failUnrecordable(o, tooLargeReason(o), now)
		w, omitted = o.record()
	}
	p.noteOmitted(o, omitted)
	return w
}

func tooLargeReason(o *occurrence) string {
	return fmt.Sprintf("what is to be recorded of its %d tasks is too large", o.job.job.Tasks())
}

// noteOmitted notes how many tasks have a checkpoint or an error that the row of their occurrence
// lacks, and logs the first time that there are any.
func (p *Planner) noteOmitted(o *occurrence, omitted int) {
	if omitted > 0 {
		p.count(`medlargrade_rows_reduced_total`)
	}
	if omitted > 0 && o.omitted == 0 {
		p.log.Warn().Int("Event", EventRowReduced).Str("Job", o.job.job.ID).Int("Occurrence", o.ordinal).Int("Tasks", omitted).
			Msg("the row of an occurrence has no space for the checkpoints or errors of some tasks")
	}
	o.omitted = omitted
}

// failIfStuck ends an occurrence that can't go on because its row has no space for another run:
// nothing of it runs, so that no space will become free.
func (p *Planner) failIfStuck(o *occurrence, now time.Time) {
	if p.forgetCrashes(o) || !o.hasNoRuns() {
		return
	}
	p.failUnrecordable(o, tooLargeReason(o), now)
}

// RejectRows handles rows of job.TableProgress that the store rejects as invalid, which would not
// change if they were written again. The occurrences with these keys end as failed. The batch with
// the rows counts as committed otherwise, but its EndAcks must not be carried out: the next batch
// has them again.
func (p *Planner) RejectRows(keys []string, now time.Time) {
	for _, js := range p.jobs {
		for _, o := range js.occurrences {
			if slices.Contains(keys, o.key) && o.unrecordable == "" {
				p.failUnrecordable(o, "the store rejects its progress", now)
			}
		}
	}
	for _, t := range p.sortedTargets {
		if t.worker != nil {
			p.unackedEnds[t] = struct{}{}
		}
	}
}

// failUnrecordable ends an occurrence whose progress can't be recorded: nothing of it may be
// started that a new planner would not know of.
func (p *Planner) failUnrecordable(o *occurrence, reason string, now time.Time) {
	o.unrecordable = reason
	p.log.Error().Int("Event", EventJobNotRecordable).Str("Job", o.job.job.ID).Int("Occurrence", o.ordinal).Str("Reason", reason).
		Msg("the progress of an occurrence can't be recorded")
	p.count(`medlargrade_jobs_not_recordable_total`)
	if o.state.Final() && (o.state != job.Completed || o.job.job.Key == "") {
		p.markDirty(o)
		return
	}
	// The caller of a job with a key would miss the results of a completed one.
	p.finishOccurrence(o, job.Failed, now)
}
