package planner

import (
	"cmp"
	"time"
)

// placeTasks places a gang as a whole, or the waiting tasks of a step one by one.
func (p *Planner) placeTasks(u unit, now time.Time) {
	if u.step.occ.state.Final() {
		// Another unit of the occurrence has found that it is stuck.
		return
	}
	fit := p.startsThatFit(u.step.occ)
	switch {
	case fit == 0 || u.step.spec.Gang && len(u.tasks) > fit:
		p.failIfStuck(u.step.occ, now)
		return
	case u.step.spec.Gang:
		p.placeUnit(u, now)
		return
	}
	tasks := u.tasks[:min(len(u.tasks), fit)]
	for i, t := range tasks {
		u.tasks = tasks[i : i+1]
		// If one task does not fit, neither do the others: they differ only in the
		// targets that they avoid, and in the ones that are isolated for them or from them.
		if !p.placeUnit(u, now) && len(t.avoidedTargets) == 0 && !p.isSuspect(t) {
			return
		}
	}
}

// placeUnit starts a unit, claims capacity for it, or leaves it waiting. It reports
// whether the unit was started or has a claim.
func (p *Planner) placeUnit(u unit, now time.Time) bool {
	s := p.findEligible(u, now)
	if p.reservationOf(u) == nil && p.mustKeepHeadroom(u, s, now) {
		p.reserve(u, s, now)
		p.logWait(u, s, "too little room beside what is kept free for urgent work")
		return false
	}
	if len(p.suspects) > 0 {
		s = p.withoutIsolated(u, s)
	}
	targets := p.chooseTargets(u, s, now)
	if p.isTooSlow(u, targets) {
		if p.preemptFast(u, s, now) {
			return true
		}
		if p.waitsForFast(u, s, now) {
			p.logWait(u, s, "only slow workers have room")
			return false
		}
	}
	if targets == nil {
		if p.preemptFast(u, s, now) {
			return true
		}
		reason := p.preempt(u, s, now)
		if reason != "" {
			p.reserve(u, s, now)
			p.logWait(u, s, reason)
		}
		return reason == ""
	}
	if fitsNow(u, targets) {
		p.startRuns(u.tasks, targets, now)
	} else {
		p.addClaim(u, targets, now)
	}
	return true
}

const (
	// headroomShare is the share of the accelerators that work with time to spare leaves
	// free. Urgent work often takes less time than the preemption of other work, so
	// capacity must be free when it arrives. Less leaves urgent work waiting for
	// preemption; more idles capacity that long work needs.
	headroomShare = 0.4
	// headroomSlack is the multiple of its run time that a unit must have left until its
	// objective to count as having time to spare. A smaller one keeps work waiting until it
	// may miss its objective; a larger one keeps less headroom.
	headroomSlack = 1.2
	// maxLastingWait is how long a unit of a long-running step waits for headroom. It is past its
	// objective for good, so that nothing else ends the wait, and it must run again 6 s after
	// its last run, a planner's change and the start included.
	maxLastingWait = 1500 * time.Millisecond
)

// mustKeepHeadroom reports whether a unit must wait because too little capacity would be
// left for urgent work. This pays off when long work with loose objectives runs beside
// short work that somebody waits for. Units that need no accelerators, are urgent, have no time to
// spare or are within the guarantee of their workspace never wait for this reason, and
// neither does any unit while at least half of the accelerators are available. Units of
// long-running steps wait for maxLastingWait at most.
func (p *Planner) mustKeepHeadroom(u unit, s *eligibleTargets, now time.Time) bool {
	if u.step.spec.LongRunning && now.Sub(u.waitingSince) >= maxLastingWait {
		return false
	}
	if p.settings.Policy.AdaptiveRoom {
		return p.mustKeepAdaptiveRoom(u, s, now)
	}
	if p.settings.Policy.NoHeadroom || isUrgent(u.kind) || u.resources.accelerators == 0 {
		return false
	}
	runTime := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	if u.tier != tierOnTime || u.objectiveEnd.Sub(now) < time.Duration(headroomSlack*float64(runTime)) {
		return false
	}
	available, total := availableAccelerators(s.targets), 0
	for _, t := range s.targets {
		total += t.capacity.accelerators
	}
	// Nothing waits while at least half of the accelerators are available, so that an idle
	// site doesn't hold work back.
	if available >= total/2 || float64(available-len(u.tasks)*u.resources.accelerators) >= headroomShare*float64(total) {
		return false
	}
	return !p.isGuaranteed(u)
}

// logWait logs why a unit waits, unless that is the reason last logged for its step.
func (p *Planner) logWait(u unit, s *eligibleTargets, reason string) {
	if len(s.targets) == 0 {
		reason = "no worker may run it"
	}
	if p.needsEvacuated(u) {
		reason = reasonEvacuated
	}
	if u.step.waitReason == reason {
		return
	}
	u.step.waitReason = reason
	p.log.Info().Int("Event", EventUnitWaits).Str("Job", u.step.occ.job.job.ID).Int("Occurrence", u.step.occ.ordinal).
		Int("Step", u.step.index).Int("Tasks", len(u.tasks)).Int("Accelerators", len(u.tasks)*u.resources.accelerators).
		Int("FreeAccelerators", availableAccelerators(s.targets)).Int("Workers", len(s.targets)).Int("Priority", u.kind.Priority()).
		Str("Reason", reason).Send()
}

// fitsNow reports whether the unit fits on its targets beside claims and all runs, including
// those that are still being stopped.
func fitsNow(u unit, targets []*target) bool {
	need := make(map[*target]resources)
	for _, t := range targets {
		need[t] = need[t].plus(u.resources)
	}
	for t, n := range need {
		if !t.unused().minus(t.reserved).holds(n) {
			return false
		}
	}
	return true
}

// chooseTargets returns a target for each task of the unit, or nil if the unit does not
// fit or should wait for a rack near its data or its peers.
func (p *Planner) chooseTargets(u unit, s *eligibleTargets, now time.Time) []*target {
	spec := u.step.spec
	if spec.DataRack != "" {
		if chosen := p.bestFit(u, s.targetsInRack(spec.DataRack)); chosen != nil {
			return chosen
		}
		if !p.localityWaitOver(u, now) {
			return nil
		}
	}
	if spec.SameWorker {
		for i := range s.targets {
			if chosen := p.bestFit(u, s.targets[i:i+1]); chosen != nil {
				return chosen
			}
		}
		return nil
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return p.bestFit(u, s.targets)
	}
	if chosen := p.chooseOneRack(u, s); chosen != nil {
		return chosen
	}
	if !p.localityWaitOver(u, now) && p.anyRackCouldHold(u) {
		return nil
	}
	return p.bestFit(u, s.targets)
}

// localityWaitOver reports whether a unit should run on other racks, where it is slower,
// rather than wait longer for its preferred one.
func (p *Planner) localityWaitOver(u unit, now time.Time) bool {
	runTime := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	return now.Sub(u.waitingSince) > max(minLocalityWait, min(runTime/2, maxLocalityWait))
}

const (
	// minLocalityWait and maxLocalityWait bound how long a task waits for capacity near
	// its data or its peers. They are below the 3 s for which a job may wait while there
	// is free capacity for it.
	minLocalityWait = 500 * time.Millisecond
	maxLocalityWait = 2 * time.Second
)

// chooseOneRack chooses targets in a single rack: in the one where other tasks of the step
// run, or else in the fitting rack with the fewest available accelerators. It returns nil if
// the unit does not fit.
func (p *Planner) chooseOneRack(u unit, s *eligibleTargets) []*target {
	if name, ok := u.step.runningRack(p); ok {
		return p.bestFit(u, s.targetsInRack(name))
	}
	var best []*target
	bestLeft, bestRank := 0, 0
	for _, r := range s.racks {
		chosen := p.bestFit(u, r.targets)
		if chosen == nil {
			continue
		}
		rank, left := p.speedRank(u, chosen), availableAccelerators(r.targets)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(left, bestLeft)) < 0 {
			best, bestRank, bestLeft = chosen, rank, left
		}
	}
	return best
}

// runningRack returns the rack in which tasks of the step run, if there are any.
func (s *step) runningRack(p *Planner) (string, bool) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			return p.targetNamed(r.incarnation.Target).worker.GetRack(), true
		}
	}
	return "", false
}

// anyRackCouldHold reports whether the unit would fit in some rack if the rack were empty.
// Targets that get no work for a while only because of failures or refusals count.
func (p *Planner) anyRackCouldHold(u unit) bool {
	n := make(map[string]int)
	for _, t := range p.sortedTargets {
		if t.worker == nil || t.worker.GetDraining() || !t.connected || p.isEvacuated(t) || !p.meetsRequirement(t, u) {
			continue
		}
		n[t.worker.GetRack()] += t.capacity.maxCount(u.resources, u.maxPerWorker())
		if n[t.worker.GetRack()] >= len(u.tasks) {
			return true
		}
	}
	return false
}

// maxPerWorker returns how many tasks of the unit may run on one worker.
func (u unit) maxPerWorker() int {
	if m := u.step.spec.MaxPerWorker; m > 0 {
		return m
	}
	return len(u.tasks)
}
