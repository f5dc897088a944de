package planner

import "time"

// minProgressPercent is the progress, in percent, from which on the speed of a run is taken
// from it. Workers report whole percents.
const minProgressPercent = 5

// remaining predicts how long a run will still work, from its progress if there is
// enough, or else from the run time of its step. A gang ends with its slowest member.
func (p *Planner) remaining(r *run, now time.Time) time.Duration {
	if !r.task.step.spec.Gang {
		return p.remainingOfRun(r, now)
	}
	longest := time.Duration(0)
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			longest = max(longest, p.remainingOfRun(o, now))
		}
	}
	return longest
}

// endsBeforeStop reports whether a run will end before a stop would certainly have
// taken effect, as far as its progress shows.
func (p *Planner) endsBeforeStop(r *run, now time.Time) bool {
	return !r.task.step.spec.LongRunning && r.percent-r.firstPercent >= minProgressPercent && p.remaining(r, now) <= p.cfg.StopTime
}

func (p *Planner) remainingOfRun(r *run, now time.Time) time.Duration {
	if done := r.percent - r.firstPercent; done >= minProgressPercent {
		each := r.progressedAt.Sub(r.firstListedAt) / time.Duration(done)
		return max(each*time.Duration(100-r.percent)-now.Sub(r.progressedAt), 0)
	}
	worked := time.Duration(0)
	if !r.confirmedAt.IsZero() {
		worked = now.Sub(r.confirmedAt)
	}
	return max(p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec)-worked, 0)
}
