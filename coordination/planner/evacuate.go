package planner

import "time"

const (
	// evacuationMargin is the time that it takes to record the end of a run, beyond the
	// stop itself: a pass, a transaction, an order and a poll of the worker.
	evacuationMargin = 500 * time.Millisecond
	// evacuationOverrunFactor is the largest ratio of predicted remaining time to time left
	// with which a run without checkpoints goes on. Predictions are rough, so such a run may
	// still end in time. Beyond it, the run is stopped at once, because what it does until
	// its worker leaves would be lost.
	evacuationOverrunFactor = 2
)

// evacuate stops the runs that will not end before their draining worker leaves. They can
// then start elsewhere from their checkpoints, without waiting until the lease of the
// worker has lapsed. Runs with checkpoints go on until the last moment.
func (p *Planner) evacuate(now time.Time) {
	for _, t := range p.sortedTargets {
		if !t.worker.GetDraining() || t.leavesAt.IsZero() {
			continue
		}
		timeLeft := t.leavesAt.Sub(now)
		current := t.incarnation()
		for r := range t.runs {
			if r.stopReason == "" && r.incarnation == current && (p.movesInTurn(r, t, now) || !p.mayKeepRunning(r, timeLeft, now)) {
				p.disruptGang(r, "the worker is leaving", now)
			}
		}
	}
}

// mayKeepRunning reports whether a run may go on for now on a worker that leaves after
// the given time.
func (p *Planner) mayKeepRunning(r *run, timeLeft time.Duration, now time.Time) bool {
	remaining := p.remainingTime(r, now)
	if remaining+evacuationMargin <= timeLeft {
		return true
	}
	if timeLeft <= p.settings.StopTime+evacuationMargin {
		return false
	}
	return r.task.step.spec.Checkpointable || remaining <= evacuationOverrunFactor*timeLeft
}
