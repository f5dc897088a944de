package planner

import "time"

// minProgressPercent is the progress, in percent, from which the speed of a run is derived
// from its progress instead of its predicted run time. Workers report whole percents.
const minProgressPercent = 5

// remainingTime predicts how much longer a run takes. A gang ends with its slowest member.
func (p *Planner) remainingTime(r *run, now time.Time) time.Duration {
	if !r.task.step.spec.Gang {
		return p.remainingTimeAlone(r, now)
	}
	longest := time.Duration(0)
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			longest = max(longest, p.remainingTimeAlone(o, now))
		}
	}
	return longest
}

// endsBeforeStop predicts from the progress of a run whether it will end by the time by
// which a stop would be certain to have taken effect. It returns false for long-running
// tasks, and if there is too little progress for a prediction.
func (p *Planner) endsBeforeStop(r *run, now time.Time) bool {
	return !r.task.step.spec.LongRunning && r.percent-r.firstPercent >= minProgressPercent && p.remainingTime(r, now) <= p.settings.StopTime
}

// remainingTimeAlone predicts how much longer a run takes by itself: from its progress if there
// is enough, or else from the predicted run time of its step.
func (p *Planner) remainingTimeAlone(r *run, now time.Time) time.Duration {
	if done := r.percent - r.firstPercent; done >= minProgressPercent {
		perPercent := r.progressedAt.Sub(r.firstListedAt) / time.Duration(done)
		return max(perPercent*time.Duration(100-r.percent)-now.Sub(r.progressedAt), 0)
	}
	elapsed := time.Duration(0)
	if !r.confirmedAt.IsZero() {
		elapsed = now.Sub(r.confirmedAt)
	}
	return max(p.runTimeOn(r)-elapsed, 0)
}
