package planner

import (
	"cmp"
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
	for _, r := range best.victims {
		p.stopGang(r, "reclaimed for "+u.step.occ.job.job.ID)
	}
	p.claim(u, best.on, now)
	return ""
}

// clearing is a choice of victims.
type clearing struct {
	on      []*target
	victims []*run
	loss    float64
}

// cheapestVictims chooses the runs to stop whose loss is least.
func (p *Planner) cheapestVictims(u *claimant, s *selection, now time.Time) *clearing {
	groups := [][]*target{s.targets}
	if u.step.spec.SameWorker {
		groups = nil
		for i := range s.targets {
			groups = append(groups, s.targets[i:i+1])
		}
	} else if u.step.spec.SameRack && len(u.tasks) > 1 && p.rackCouldHold(u.unit) {
		groups = nil
		for _, r := range s.racks {
			groups = append(groups, r.targets)
		}
	}
	var best *clearing
	for _, g := range groups {
		if c := p.clear(u, g, now); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	return best
}

// victim is a run that may be stopped, and the room that becomes larger.
type victim struct {
	run  *run
	loss float64
	room *room
}

// clear stops the cheapest victims of a group of targets one after another until
// the unit fits, and then spares those that were not needed.
func (p *Planner) clear(u *claimant, group []*target, now time.Time) *clearing {
	rooms, total := p.rooms(u.unit, group)
	victims, ok := p.victims(u, rooms, now)
	if !ok {
		return nil
	}
	// take changes the room of a victim and how many tasks fit in all.
	take := func(v victim, change func(size) size) {
		total -= v.room.holds(u.unit)
		v.room.free = change(v.room.free)
		total += v.room.holds(u.unit)
	}
	var chosen []victim
	for _, v := range victims {
		if total >= len(u.tasks) {
			break
		}
		take(v, v.run.size.plus)
		chosen = append(chosen, v)
	}
	if total < len(u.tasks) {
		return nil
	}
	// Spare the most expensive ones that are not needed.
	for i := len(chosen) - 1; i >= 0; i-- {
		v := chosen[i]
		take(v, func(s size) size { return s.minus(v.run.size) })
		if total >= len(u.tasks) {
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		take(v, v.run.size.plus)
	}
	c := &clearing{}
	for _, v := range chosen {
		c.victims = append(c.victims, v.run)
		c.loss += v.loss
	}
	c.on = fillRooms(u.unit, rooms)
	return c
}

// victims returns the runs that may be stopped for a unit, the cheapest for what they
// free first, and whether the unit fits without all of them.
func (p *Planner) victims(u *claimant, rooms []room, now time.Time) ([]victim, bool) {
	var out []victim
	total := 0
	for i := range rooms {
		r := &rooms[i]
		without := *r
		for v := range r.target.runs {
			if v.stop != "" {
				continue
			}
			ok, straddles := p.mayStop(u, v)
			if !ok {
				continue
			}
			loss := p.gangLoss(v, now)
			if straddles {
				loss += straddleLoss
			}
			out = append(out, victim{v, loss, r})
			without.free = without.free.plus(v.size)
		}
		total += without.holds(u.unit)
	}
	if total < len(u.tasks) {
		return nil, false
	}
	slices.SortFunc(out, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.loss/weight(x.run), y.loss/weight(y.run)), cmp.Compare(x.run.task.name, y.run.task.name))
	})
	return out, true
}

// weight is how much a victim frees, in accelerators.
func weight(r *run) float64 { return float64(max(r.size.accelerators, 1)) }

// atMostOnceLoss is the loss of work that can't be started again: more than any
// other choice of victims loses.
const atMostOnceLoss = 1e9

// coresPerAccelerator weighs an accelerator in cores when work is compared.
const coresPerAccelerator = 8

// gangLoss returns the core-seconds of work that are lost if a run is stopped, with
// those of the other members of its gang.
func (p *Planner) gangLoss(r *run, now time.Time) float64 {
	if r.task.step.occ.job.job.AtMostOnce {
		return atMostOnceLoss
	}
	if !r.task.step.spec.Gang {
		return p.loss(r, now)
	}
	return float64(len(r.task.step.tasks)) * p.loss(r, now)
}

// loss returns the core-seconds of work that are lost if a run is stopped.
func (p *Planner) loss(r *run, now time.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.confirmed)
	if r.confirmed.IsZero() {
		lost = 0
	}
	if s.spec.Checkpointable {
		// A stop makes a checkpoint.
		lost = min(lost, p.cfg.Restore)
	}
	cores := float64(r.size.cpu)/1000 + coresPerAccelerator*float64(r.size.accelerators)
	return cores * lost.Seconds()
}
