package planner

import (
	"time"
)

// placeTasks places a gang as a whole, or the waiting tasks of a step one by one.
func (p *Planner) placeTasks(u unit, now time.Time) {
	if u.step.spec.Gang {
		p.placeUnit(u, now)
		return
	}
	tasks := u.tasks
	for i, t := range tasks {
		u.tasks = tasks[i : i+1]
		// If there is no place for one task, there is none for the others, which are
		// equal but for the targets that they avoid.
		if !p.placeUnit(u, now) && len(t.avoidedTargets) == 0 {
			return
		}
	}
}

// placeUnit starts a unit, claims room for it, or leaves it waiting. It reports whether
// the unit has a place.
func (p *Planner) placeUnit(u unit, now time.Time) bool {
	s := p.eligibleTargets(u, now)
	if p.mustKeepHeadroom(u, s, now) {
		p.logWait(u, s, "too little room beside what is kept free for urgent work")
		return false
	}
	on := p.chooseTargets(u, s, now)
	if on == nil {
		why := p.preempt(u, s, now)
		if why != "" {
			p.logWait(u, s, why)
		}
		return why == ""
	}
	if fitsNow(u, on) {
		p.startRuns(u.tasks, on, now)
	} else {
		p.claim(u, on, now)
	}
	return true
}

const (
	// headroomShare is the share of the accelerators that work with time to spare leaves
	// free. Urgent work is often over before a stop of other work has taken effect,
	// so room must be there when it comes. Shares of 0.06 to 0.48 were compared on the
	// loads of both examples; the gain grows up to 0.4.
	headroomShare = 0.4
	// headroomSlack is how many times its run time a unit must have left until its
	// objective to have time to spare. At 1 and at 1.5, less is earned on the loads of
	// the grown examples.
	headroomSlack = 1.2
)

// mustKeepHeadroom reports whether a unit must wait because too little would be left
// for urgent work. It serves loads of long work with loose objectives beside short
// work that somebody waits for.
func (p *Planner) mustKeepHeadroom(u unit, s *eligibleTargets, now time.Time) bool {
	if p.cfg.Policy.NoHeadroom || isUrgent(u.kind) {
		return false
	}
	run := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	if u.tier != tierOnTime || u.deadline.Sub(now) < time.Duration(headroomSlack*float64(run)) {
		return false
	}
	free, all := freeAccelerators(s.targets), 0
	for _, t := range s.targets {
		all += t.capacity.accelerators
	}
	// A site that is mostly idle keeps no work waiting.
	if free >= all/2 || float64(free-len(u.tasks)*u.resources.accelerators) >= headroomShare*float64(all) {
		return false
	}
	return !p.isGuaranteed(u)
}

// logWait logs why a unit waits if that is news for its step.
func (p *Planner) logWait(u unit, s *eligibleTargets, why string) {
	if len(s.targets) == 0 {
		why = "no worker may run it"
	}
	if u.step.waitReason == why {
		return
	}
	u.step.waitReason = why
	p.log.Info().Int("Event", EventUnitWaits).Str("Job", u.step.occ.job.job.ID).Int("Occurrence", u.step.occ.ordinal).
		Int("Step", u.step.index).Int("Tasks", len(u.tasks)).Int("Accelerators", len(u.tasks)*u.resources.accelerators).
		Int("FreeAccelerators", freeAccelerators(s.targets)).Int("Workers", len(s.targets)).Int("Priority", u.kind.Priority()).
		Str("Reason", why).Send()
}

// fitsNow reports whether the places are free already.
func fitsNow(u unit, on []*target) bool {
	need := make(map[*target]resources)
	for _, t := range on {
		need[t] = need[t].plus(u.resources)
	}
	for t, n := range need {
		if !t.unused().minus(t.reserved).holds(n) {
			return false
		}
	}
	return true
}

// chooseTargets returns a target for each task of the unit, or nil.
func (p *Planner) chooseTargets(u unit, s *eligibleTargets, now time.Time) []*target {
	spec := u.step.spec
	if spec.DataRack != "" {
		if on := p.bestFit(u, s.rack(spec.DataRack)); on != nil {
			return on
		}
		if !p.localityWaitOver(u, now) {
			return nil
		}
	}
	if spec.SameWorker {
		for i := range s.targets {
			if on := p.bestFit(u, s.targets[i:i+1]); on != nil {
				return on
			}
		}
		return nil
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return p.bestFit(u, s.targets)
	}
	if on := p.fillOneRack(u, s); on != nil {
		return on
	}
	if !p.localityWaitOver(u, now) && p.anyRackCouldHold(u) {
		return nil
	}
	return p.bestFit(u, s.targets)
}

// localityWaitOver reports whether a unit should run slowly on other racks rather than
// wait longer for the right one.
func (p *Planner) localityWaitOver(u unit, now time.Time) bool {
	run := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	return now.Sub(u.readySince) > max(minLocalityWait, min(run/2, maxLocalityWait))
}

const (
	// minLocalityWait and maxLocalityWait bound how long a task waits for a place near its
	// data or its peers. A job with room elsewhere may not stand still for 3 s.
	minLocalityWait = 500 * time.Millisecond
	maxLocalityWait = 2 * time.Second
)

// fillOneRack places the unit in a single rack: in that of the step's other tasks if
// they have one, or else in the rack where it leaves the least unused.
func (p *Planner) fillOneRack(u unit, s *eligibleTargets) []*target {
	if name, ok := u.step.rack(p); ok {
		return p.bestFit(u, s.rack(name))
	}
	var best []*target
	bestLeft := 0
	for _, r := range s.racks {
		on := p.bestFit(u, r.targets)
		if on == nil {
			continue
		}
		if left := freeAccelerators(r.targets); best == nil || left < bestLeft {
			best, bestLeft = on, left
		}
	}
	return best
}

// rack returns the rack on which other tasks of the step run.
func (s *step) rack(p *Planner) (string, bool) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			return p.target(r.place.Target).worker.GetRack(), true
		}
	}
	return "", false
}

// anyRackCouldHold reports whether some rack could hold the unit if it were empty.
func (p *Planner) anyRackCouldHold(u unit) bool {
	n := make(map[string]int)
	for _, t := range p.sortedTargets {
		if t.worker == nil || t.worker.GetDraining() {
			continue
		}
		n[t.worker.GetRack()] += t.capacity.maxCount(u.resources, u.maxPerWorker())
		if n[t.worker.GetRack()] >= len(u.tasks) {
			return true
		}
	}
	return false
}

func (u unit) maxPerWorker() int {
	if m := u.step.spec.MaxPerWorker; m > 0 {
		return m
	}
	return len(u.tasks)
}
