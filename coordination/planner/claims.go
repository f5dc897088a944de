package planner

import (
	"slices"
	"strconv"
	"time"
)

// claim is a placement that waits until other runs have ended. Its capacity is reserved.
type claim struct {
	unit      unit
	targets   []*target // one for each task of the unit
	createdAt time.Time
}

// claimSlack is the time beyond Settings.StopTime for which a claim is kept. After that it
// is dropped and the unit is placed anew.
const claimSlack = time.Second

// addClaim reserves capacity on targets for a unit.
func (p *Planner) addClaim(u unit, targets []*target, now time.Time) {
	p.claims = append(p.claims, &claim{unit: u, targets: targets, createdAt: now})
	for _, t := range u.tasks {
		t.claimed = true
	}
	for _, t := range targets {
		t.reserved = t.reserved.plus(u.resources)
	}
	p.usageByWorkspace = nil
}

// release releases the capacity that is reserved for a claim.
func (p *Planner) release(c *claim) {
	for _, t := range c.unit.tasks {
		t.claimed = false
	}
	for _, t := range c.targets {
		t.reserved = t.reserved.minus(c.unit.resources)
	}
	p.usageByWorkspace = nil
}

// processClaims starts the units whose claimed capacity is free. It drops the claims that
// are no longer valid or have waited too long.
func (p *Planner) processClaims(now time.Time) {
	p.claims = slices.DeleteFunc(p.claims, func(c *claim) bool {
		start := p.claimValid(c, now) && c.isFree()
		if !start && p.claimValid(c, now) && now.Sub(c.createdAt) <= p.settings.StopTime+claimSlack {
			return false
		}
		p.release(c)
		if start {
			p.startRuns(c.unit.tasks, c.targets, now)
		}
		return true
	})
}

// claimValid reports whether the tasks of a claim still wait and its targets still accept
// them.
func (p *Planner) claimValid(c *claim, now time.Time) bool {
	o := c.unit.step.occ
	if o.state.Final() || o.job.cancelled {
		return false
	}
	for _, t := range c.unit.tasks {
		if t.done || len(t.runs) > 0 {
			return false
		}
	}
	for _, t := range c.targets {
		if !t.acceptsWork(now) || !p.mayStartOn(t) || !p.meetsRequirement(t, c.unit) {
			return false
		}
	}
	return true
}

// isFree reports whether the claimed capacity is free on all targets of a claim. It
// disregards other claims.
func (c *claim) isFree() bool {
	need := make(map[*target]resources)
	for _, t := range c.targets {
		need[t] = need[t].plus(c.unit.resources)
	}
	for t, n := range need {
		if !t.unused().holds(n) {
			return false
		}
	}
	return true
}

// preempt stops other work so that a unit fits, and claims the capacity for the unit. The
// unit must be guaranteed, or urgent and not worthless. If preempt does nothing, it returns
// the reason, otherwise "".
func (p *Planner) preempt(u unit, s *eligibleTargets, now time.Time) string {
	return p.preemptFor(&preemptor{unit: u, guaranteed: p.isGuaranteed(u), bounded: p.isGuaranteed(u)}, s, now)
}

// preemptFor is preempt for a unit of which it is known whether it is guaranteed.
func (p *Planner) preemptFor(preempting *preemptor, s *eligibleTargets, now time.Time) string {
	u := preempting.unit
	if !preempting.guaranteed && (!isUrgent(u.kind) || u.tier == tierWorthless) {
		return "too little room, and the job is neither guaranteed nor urgent and still of use"
	}
	best := p.cheapestVictims(preempting, s, now)
	if best == nil {
		return "too little room, and too little that may be stopped"
	}
	if !p.justifiesLoss(preempting, best.lostWork()) {
		return "too little room, and what would be stopped is worth more"
	}
	p.log.Info().Int("Event", EventClaim).Str("Job", u.step.occ.job.job.ID).Int("Step", u.step.index).
		Int("Tasks", len(u.tasks)).Int("Victims", len(best.victims)).Float64("Loss", best.lostWork()).Bool("Guaranteed", preempting.guaranteed).
		Msg("capacity reclaimed")
	p.count(`medlargrade_claims_total{guaranteed="` + strconv.FormatBool(preempting.guaranteed) + `"}`)
	for _, v := range best.victims {
		if v.endsSoon {
			continue
		}
		p.notePreempted(v)
		for _, r := range v.runs {
			p.reclaim(r, "reclaimed for "+u.step.occ.job.job.ID, now)
		}
	}
	p.addClaim(u, best.targets, now)
	return ""
}
