package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/contention"
)

// lostWork returns the core-seconds that the preemption loses.
func (s *preemption) lostWork() float64 {
	lost := s.loss
	for _, v := range s.victims {
		lost -= v.penalty
	}
	return lost
}

// worthWaitingFor reports whether a unit has the time to wait for the predicted end of a
// run instead of stopping it. Long-running tasks, and runs with too little progress for a
// prediction, are not waited for.
func (p *Planner) worthWaitingFor(u *preemptor, r *run, now time.Time) bool {
	if !p.settings.Policy.WeighVictims || r.task.step.spec.LongRunning || r.percent-r.firstPercent < minProgressPercent {
		return false
	}
	slack := u.objectiveEnd.Sub(now) - p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	return p.remainingTime(r, now) <= contention.WaitForEnd(slack, p.settings.StopTime, claimSlack)
}

// weighVictim adds a penalty to the loss of a victim that was stopped before and has not
// run for its predicted run time since, so that it is stopped again only if there is no other choice.
func (p *Planner) weighVictim(v *victim, r *run, now time.Time) {
	if v == nil || v.endsSoon || !p.settings.Policy.WeighVictims || r.task.preempted == 0 {
		return
	}
	runTime := p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec)
	if r.runningFor(now) >= runTime {
		return
	}
	lost := runTime
	if r.task.step.spec.Checkpointable {
		lost = min(lost, p.settings.RestoreTime)
	}
	v.penalty = contention.RepeatPenalty(r.task.preempted, float64(r.gangSize())*r.cores()*lost.Seconds())
	v.loss += v.penalty
}

// notePreempted counts the stop of a victim for another unit.
func (p *Planner) notePreempted(v *victim) {
	for _, r := range v.runs {
		if r.task.preempted++; r.task.preempted > 1 {
			p.count(`medlargrade_runs_preempted_again_total`)
		}
	}
}

// lossFactor returns the multiple of its own work that may be lost for a unit.
func (p *Planner) lossFactor(u *preemptor) float64 {
	if !p.settings.Policy.WeighVictims {
		return maxLossFactor
	}
	return contention.LossFactor(u.tier == tierOnTime)
}
