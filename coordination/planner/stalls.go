package planner

import "time"

const (
	// minStallTime is the least time without progress from which on a run stands still.
	// Agents look at their workers once a second.
	minStallTime = 900 * time.Millisecond
	// stallFactor times the usual time between two percents is the time for slow work.
	stallFactor = 3
	// moveDelayFactor times what a move loses is the time after which a run that stands still
	// is moved. A run that has stood for a time is expected to stand as long again, and
	// what a move throws away has to be done again in place of other work.
	moveDelayFactor = 2
)

// stalledFor returns how long a run has stood still, as far as looks at its worker show,
// or 0 if it works. Workers that list no progress show nothing.
func (p *Planner) stalledFor(r *run) time.Duration {
	if !p.progressReported || r.stopCause != "" || r.firstListedAt.IsZero() || r.task.step.spec.LongRunning {
		return 0
	}
	stood := r.lastListedAt.Sub(r.progressedAt)
	limit := max(minStallTime, stallFactor*p.timePerPercent(r))
	if r.percent == r.firstPercent {
		// A gang waits for its members, and work from a checkpoint is restored first.
		limit += p.cfg.GangWait + p.cfg.Restore
	}
	if stood < limit {
		return 0
	}
	return stood
}

// timePerPercent returns the time that a run takes for a percent of its work.
func (p *Planner) timePerPercent(r *run) time.Duration {
	if done := r.percent - r.firstPercent; done > 0 {
		return r.progressedAt.Sub(r.firstListedAt) / time.Duration(done)
	}
	return p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec) / 100
}

// handleStalledRuns keeps new work away from workers on which work stands still, and moves
// what has stood still for too long.
func (p *Planner) handleStalledRuns(now time.Time) {
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			stood := p.stalledFor(r)
			if stood == 0 {
				continue
			}
			t.health.recordStall(now)
			if stood > moveDelayFactor*p.moveDelay(r) && p.fitsElsewhere(r, t, now) {
				r.task.avoidTarget(t.name)
				p.stopGang(r, "it stands still")
			}
		}
	}
}

// moveDelay returns by how much later a run ends if it is stopped and starts elsewhere
// than if it worked on now.
func (p *Planner) moveDelay(r *run) time.Duration {
	if r.task.step.spec.Checkpointable {
		return p.cfg.StopTime + p.cfg.Restore
	}
	return p.cfg.StopTime + time.Duration(r.percent)*p.timePerPercent(r)
}

// fitsElsewhere reports whether another target could take a run at once.
func (p *Planner) fitsElsewhere(r *run, from *target, now time.Time) bool {
	js := r.task.step.occ.job
	u := unit{step: r.task.step, tasks: []*task{r.task}, kind: p.kind(js), resources: r.resources}
	for _, t := range p.sortedTargets {
		if t != from && t.acceptsWork(now) && p.meetsRequirement(t, u) && t.available().holds(r.resources) {
			return true
		}
	}
	return false
}
