package planner

import "github.com/medlargrade/medlargrade/state/job"

// smallJobTasks is the number of tasks up to which the row of an occurrence is certain to
// have space for a run of each, so that its size is not computed.
const smallJobTasks = 80

// startsThatFit returns how many more runs of an occurrence its row has space for. Rows
// have a maximum size, and a transaction with a larger one would be refused for good.
func (p *Planner) startsThatFit(o *occurrence) int {
	if n := o.job.job.Tasks(); n <= smallJobTasks {
		return n
	}
	size := 0
	for _, s := range o.steps {
		for _, t := range s.tasks {
			size += t.record().MaxBytes(s.spec.Checkpointable)
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
