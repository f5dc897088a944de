package planner

import "time"

const (
	// minStallTime is the shortest time without progress after which a run counts as
	// stalled. Agents poll their workers about once a second. It is just under that, so that
	// one poll without progress can be enough.
	minStallTime = 900 * time.Millisecond
	// stallFactor is the multiple of a run's usual time per percent for which it may make
	// no progress and still count as slow instead of stalled.
	stallFactor = 3
	// moveDelayFactor is the multiple of the delay caused by a move after which a stalled
	// run is moved. A run is expected to stay stalled for as long as it has been already,
	// and the work that a move discards has to be done again in place of other work.
	moveDelayFactor = 2
	// maxStallMoves bounds the moves of one task because its runs stand still. A task that has
	// been moved so often is more likely the cause than its workers.
	maxStallMoves = 3
	// percentDone is the percentage of a run that has done its work.
	percentDone = 100
)

// stalledFor returns how long a run had made no progress when its worker was last polled,
// or 0 if it is not stalled. Runs do not count as stalled before any worker has reported
// progress, because some workers never report it. Neither do members of a gang that have done
// their work: they wait for slower members.
func (p *Planner) stalledFor(r *run) time.Duration {
	if r.task.step.spec.Gang && r.percent >= percentDone {
		return 0
	}
	if !p.percentReported || r.stopReason != "" || r.firstListedAt.IsZero() || r.task.step.spec.LongRunning {
		return 0
	}
	stallTime := r.lastListedAt.Sub(r.progressedAt)
	limit := max(minStallTime, stallFactor*p.timePerPercent(r))
	if r.percent == r.firstPercent {
		// Before its first progress, a run may wait for the other members of its gang or
		// restore a checkpoint.
		limit += p.settings.GangWait + p.settings.RestoreTime
	}
	if stallTime < limit {
		return 0
	}
	return stallTime
}

// timePerPercent returns the time that a run takes for one percent of its work, predicted
// from its step as long as it has made no progress.
func (p *Planner) timePerPercent(r *run) time.Duration {
	if done := r.percent - r.firstPercent; done > 0 {
		return r.progressedAt.Sub(r.firstListedAt) / time.Duration(done)
	}
	return p.runTimeOn(r) / 100
}

// handleStalledRuns keeps new work away from workers with stalled runs, and moves the runs
// that have been stalled for too long. Tasks that have been moved maxStallMoves times stay where
// they are, and their workers get new work.
func (p *Planner) handleStalledRuns(now time.Time) {
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			stallTime := p.stalledFor(r)
			if stallTime == 0 || r.task.stallMoves >= maxStallMoves {
				continue
			}
			t.health.recordStall(now)
			if stallTime > moveDelayFactor*p.moveDelay(r) && p.fitsElsewhere(r, t, now) {
				r.task.avoidTarget(t.name)
				for _, k := range r.task.withGang() {
					k.stallMoves++
				}
				p.disruptGang(r, "it stands still", now)
			}
		}
	}
}

// moveDelay returns how much later a run ends if it is stopped and started elsewhere than
// if it resumed work now.
func (p *Planner) moveDelay(r *run) time.Duration {
	if r.task.step.spec.Checkpointable {
		return p.settings.StopTime + p.settings.RestoreTime
	}
	return p.settings.StopTime + time.Duration(r.percent)*p.timePerPercent(r)
}

// fitsElsewhere reports whether another target has the capacity for a run. Capacity that is
// freed by runs still being stopped counts, and of a gang only the one run is checked.
func (p *Planner) fitsElsewhere(r *run, from *target, now time.Time) bool {
	js := r.task.step.occ.job
	u := unit{step: r.task.step, tasks: []*task{r.task}, kind: p.kindOf(js), resources: r.resources}
	for _, t := range p.sortedTargets {
		if t != from && t.acceptsWork(now) && !p.isEvacuated(t) && p.meetsRequirement(t, u) && t.available().holds(r.resources) {
			return true
		}
	}
	return false
}
