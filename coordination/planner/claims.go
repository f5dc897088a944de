package planner

import (
	"slices"
	"strconv"
	"time"
)

// claim is a placement that waits for the ends of stopped runs.
type claim struct {
	unit  unit
	on    []*target
	since time.Time
}

// claimSlack is how much longer than a stop takes a claim waits before the unit is
// placed anew.
const claimSlack = time.Second

// claim keeps places for a unit.
func (p *Planner) claim(u unit, on []*target, now time.Time) {
	p.claims = append(p.claims, &claim{unit: u, on: on, since: now})
	for _, t := range u.tasks {
		t.claimed = true
	}
	for _, t := range on {
		t.reserved = t.reserved.plus(u.size)
	}
	p.covered = nil
}

// release gives up the places of a claim.
func (p *Planner) release(c *claim) {
	for _, t := range c.unit.tasks {
		t.claimed = false
	}
	for _, t := range c.on {
		t.reserved = t.reserved.minus(c.unit.size)
	}
	p.covered = nil
}

// serveClaims starts the claims whose places are free and drops those that can't
// be met.
func (p *Planner) serveClaims(now time.Time) {
	p.claims = slices.DeleteFunc(p.claims, func(c *claim) bool {
		start := p.valid(c, now) && c.isFree()
		if !start && p.valid(c, now) && now.Sub(c.since) <= p.cfg.StopTime+claimSlack {
			return false
		}
		p.release(c)
		if start {
			p.start(c.unit.tasks, c.on, now)
		}
		return true
	})
}

// valid reports whether a claim still makes sense.
func (p *Planner) valid(c *claim, now time.Time) bool {
	o := c.unit.step.occ
	if o.state.Final() || o.job.cancelled {
		return false
	}
	for _, t := range c.unit.tasks {
		if t.done || len(t.runs) > 0 {
			return false
		}
	}
	for _, t := range c.on {
		if !t.takesWork(now) || !p.suits(t, c.unit) {
			return false
		}
	}
	return true
}

// isFree reports whether all places of a claim are free.
func (c *claim) isFree() bool {
	need := make(map[*target]size)
	for _, t := range c.on {
		need[t] = need[t].plus(c.unit.size)
	}
	for t, n := range need {
		if !t.idle().holds(n) {
			return false
		}
	}
	return true
}

// reclaim stops other work so that a unit fits that is urgent or guaranteed. It
// returns why it does not, or "".
func (p *Planner) reclaim(u unit, s *selection, now time.Time) string {
	c := &claimant{unit: u, guaranteed: p.isGuaranteed(u)}
	if !c.guaranteed && (!isUrgent(u.kind) || u.tier == tierOver) {
		return "too little room, and the job is neither guaranteed nor urgent and still of use"
	}
	best := p.cheapestVictims(c, s, now)
	if best == nil {
		return "too little room, and too little that may be stopped"
	}
	if !p.isWorth(c, best.loss) {
		return "too little room, and what would be stopped is worth more"
	}
	p.log.Info().Int("Event", EventClaim).Str("Job", u.step.occ.job.job.ID).Int("Step", u.step.index).
		Int("Tasks", len(u.tasks)).Int("Victims", len(best.victims)).Float64("Loss", best.loss).Bool("Guaranteed", c.guaranteed).
		Msg("capacity is reclaimed")
	p.count(`medlargrade_claims_total{guaranteed="` + strconv.FormatBool(c.guaranteed) + `"}`)
	for _, v := range best.victims {
		if v.ending {
			continue
		}
		for _, r := range v.runs {
			p.stopRun(r, "reclaimed for "+u.step.occ.job.job.ID)
		}
	}
	p.claim(u, best.on, now)
	return ""
}
