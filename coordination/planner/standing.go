package planner

import "time"

const (
	// standMin is the least time without progress from which on a run stands still.
	// Agents look at their workers once a second.
	standMin = 900 * time.Millisecond
	// standFactor times the usual time between two percents is the time for slow work.
	standFactor = 3
	// moveFactor times what a move loses is the time after which a run that stands still
	// is moved. A run that has stood for a time is expected to stand as long again, and
	// what a move throws away has to be done again in place of other work.
	moveFactor = 2
)

// standsFor returns how long a run has stood still, as far as looks at its worker show,
// or 0 if it works. Workers that list no progress show nothing.
func (p *Planner) standsFor(r *run) time.Duration {
	if !p.progressListed || r.stop != "" || r.listed.IsZero() || r.task.step.spec.LongRunning {
		return 0
	}
	stood := r.looked.Sub(r.moved)
	limit := max(standMin, standFactor*p.percentTime(r))
	if r.percent == r.firstPercent {
		// A gang waits for its members, and work from a checkpoint is restored first.
		limit += p.cfg.GangWait + p.cfg.Restore
	}
	if stood < limit {
		return 0
	}
	return stood
}

// percentTime returns the time that a run takes for a percent of its work.
func (p *Planner) percentTime(r *run) time.Duration {
	if done := r.percent - r.firstPercent; done > 0 {
		return r.moved.Sub(r.listed) / time.Duration(done)
	}
	return p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec) / 100
}

// watchStanding keeps new work away from workers on which work stands still, and moves
// what has stood still for too long.
func (p *Planner) watchStanding(now time.Time) {
	for _, t := range p.byName {
		for r := range t.runs {
			stood := p.standsFor(r)
			if stood == 0 {
				continue
			}
			t.health.stands(now)
			if stood > moveFactor*p.moveLoss(r) && p.hasRoomElsewhere(r, t, now) {
				r.task.avoidTarget(t.name)
				p.stopGang(r, "it stands still")
			}
		}
	}
}

// moveLoss returns by how much later a run ends if it is stopped and starts elsewhere
// than if it worked on now.
func (p *Planner) moveLoss(r *run) time.Duration {
	if r.task.step.spec.Checkpointable {
		return p.cfg.StopTime + p.cfg.Restore
	}
	return p.cfg.StopTime + time.Duration(r.percent)*p.percentTime(r)
}

// hasRoomElsewhere reports whether another target could take a run at once.
func (p *Planner) hasRoomElsewhere(r *run, from *target, now time.Time) bool {
	js := r.task.step.occ.job
	u := unit{step: r.task.step, tasks: []*task{r.task}, kind: p.kind(js), size: r.size}
	for _, t := range p.byName {
		if t != from && t.takesWork(now) && p.suits(t, u) && t.free().holds(r.size) {
			return true
		}
	}
	return false
}
