package planner

import "time"

// minProgress is the progress, in percent, from which on the speed of a run is taken
// from it. Workers report whole percents.
const minProgress = 5

// remaining predicts how long a run will still work, from its progress if there is
// enough, or else from the run time of its step. A gang ends with its slowest member.
func (p *Planner) remaining(r *run, now time.Time) time.Duration {
	if !r.task.step.spec.Gang {
		return p.remainingAlone(r, now)
	}
	longest := time.Duration(0)
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			longest = max(longest, p.remainingAlone(o, now))
		}
	}
	return longest
}

// endsBeforeStop reports whether a run will end before a stop would certainly have
// taken effect, as far as its progress shows.
func (p *Planner) endsBeforeStop(r *run, now time.Time) bool {
	return !r.task.step.spec.LongRunning && r.percent-r.firstPercent >= minProgress && p.remaining(r, now) <= p.cfg.StopTime
}

func (p *Planner) remainingAlone(r *run, now time.Time) time.Duration {
	if done := r.percent - r.firstPercent; done >= minProgress {
		each := r.moved.Sub(r.listed) / time.Duration(done)
		return max(each*time.Duration(100-r.percent)-now.Sub(r.moved), 0)
	}
	worked := time.Duration(0)
	if !r.confirmed.IsZero() {
		worked = now.Sub(r.confirmed)
	}
	return max(p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec)-worked, 0)
}
