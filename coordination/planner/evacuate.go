package planner

import "time"

const (
	// evacuationMargin is how long the end of a run may take to be recorded, beyond
	// the stop itself: a pass, a transaction, an order and a look at the worker.
	evacuationMargin = 500 * time.Millisecond
	// evacuationOverrunFactor times the time left is the predicted remaining work from which
	// on a run without checkpoints is stopped at once: what it does until its worker
	// leaves would be lost. Predictions are rough, so that others may try.
	evacuationOverrunFactor = 2
)

// evacuate stops what will not end before its worker leaves, so that it starts
// elsewhere with its checkpoint and need not wait until the lease of a worker that is
// gone has lapsed. Runs with checkpoints work on until the last moment.
func (p *Planner) evacuate(now time.Time) {
	for _, t := range p.sortedTargets {
		if !t.worker.GetDraining() || t.leavesAt.IsZero() {
			continue
		}
		left := t.leavesAt.Sub(now)
		here := t.place()
		for r := range t.runs {
			if r.stopCause == "" && r.place == here && !p.mayKeepRunning(r, left, now) {
				p.stopGang(r, "the worker is leaving")
			}
		}
	}
}

// mayKeepRunning reports whether a run may go on, for now, on a worker that leaves.
func (p *Planner) mayKeepRunning(r *run, left time.Duration, now time.Time) bool {
	remaining := p.remaining(r, now)
	if remaining+evacuationMargin <= left {
		return true
	}
	if left <= p.cfg.StopTime+evacuationMargin {
		return false
	}
	return r.task.step.spec.Checkpointable || remaining <= evacuationOverrunFactor*left
}
