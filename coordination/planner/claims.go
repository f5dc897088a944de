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

// claimed returns the tasks that have a claim.
func (p *Planner) claimed() map[*task]struct{} {
	out := make(map[*task]struct{})
	for _, c := range p.claims {
		for _, t := range c.unit.tasks {
			out[t] = struct{}{}
		}
	}
	return out
}

// reserved returns what claims keep of a target.
func (p *Planner) reserved(t *target) size {
	var s size
	for _, c := range p.claims {
		for _, o := range c.on {
			if o == t {
				s = s.plus(c.unit.size)
			}
		}
	}
	return s
}

// serveClaims starts the claims whose places are free and drops those that can't
// be met.
func (p *Planner) serveClaims(now time.Time) {
	claims := p.claims
	p.claims = nil
	for _, c := range claims {
		switch {
		case !p.valid(c, now):
		case p.isFree(c):
			p.start(c.unit.tasks, c.on, now)
		case now.Sub(c.since) > p.cfg.StopTime+claimSlack:
		default:
			p.claims = append(p.claims, c)
		}
	}
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
		if !p.usable(t, c.unit, now) {
			return false
		}
	}
	return true
}

// isFree reports whether all places of a claim are free.
func (p *Planner) isFree(c *claim) bool {
	need := make(map[*target]size)
	for _, t := range c.on {
		need[t] = need[t].plus(c.unit.size)
	}
	for t, n := range need {
		if !t.capacity.minus(t.used(true)).holds(n) {
			return false
		}
	}
	return true
}

// reclaim stops other work so that a unit fits that is urgent or guaranteed. It
// returns why it does not, or "".
func (p *Planner) reclaim(u unit, rooms []*room, now time.Time) string {
	c := &claimant{unit: u, guaranteed: p.isGuaranteed(u), use: make(map[string]int)}
	if !c.guaranteed && (!isUrgent(u.kind) || u.tier == tierOver) {
		return "too little room, and the job is neither guaranteed nor urgent and still of use"
	}
	best := p.cheapestVictims(c, rooms, now)
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
	p.claims = append(p.claims, &claim{unit: u, on: best.on, since: now})
	return ""
}

// clearing is a choice of victims.
type clearing struct {
	on      []*target
	victims []*run
	loss    float64
}

// cheapestVictims chooses the runs to stop whose loss is least.
func (p *Planner) cheapestVictims(u *claimant, rooms []*room, now time.Time) *clearing {
	groups := [][]*room{rooms}
	if u.step.spec.SameWorker {
		groups = nil
		for _, r := range rooms {
			groups = append(groups, []*room{r})
		}
	} else if u.step.spec.SameRack && len(u.tasks) > 1 && p.rackCouldHold(u.unit) {
		groups = byRack(rooms)
	}
	var best *clearing
	for _, g := range groups {
		if c := p.clear(u, g, now); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	return best
}

// clear stops the cheapest victims of a group of targets one after another until
// the unit fits, and then spares those that were not needed.
func (p *Planner) clear(u *claimant, group []*room, now time.Time) *clearing {
	type victim struct {
		run  *run
		loss float64
	}
	var victims []victim
	work := make([]*room, len(group))
	byTarget := make(map[*target]*room)
	for i, r := range group {
		c := *r
		work[i] = &c
		byTarget[r.target] = &c
		for v := range r.target.runs {
			if ok, straddles := p.mayStop(u, v); ok && v.stop == "" {
				loss := p.gangLoss(v, now)
				if straddles {
					loss += straddleLoss
				}
				victims = append(victims, victim{v, loss})
			}
		}
	}
	slices.SortFunc(victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.loss/weight(x.run), y.loss/weight(y.run)), cmp.Compare(x.run.task.name, y.run.task.name))
	})
	var chosen []victim
	on := fill(u.unit, work)
	for _, v := range victims {
		if on != nil {
			break
		}
		r := byTarget[p.target(v.run.place.Target)]
		r.free = r.free.plus(v.run.size)
		chosen = append(chosen, v)
		on = fill(u.unit, work)
	}
	if on == nil {
		return nil
	}
	// Spare the most expensive ones that are not needed.
	for i := len(chosen) - 1; i >= 0; i-- {
		r := byTarget[p.target(chosen[i].run.place.Target)]
		r.free = r.free.minus(chosen[i].run.size)
		if spared := fill(u.unit, work); spared != nil {
			on = spared
			chosen = append(chosen[:i:i], chosen[i+1:]...)
			continue
		}
		r.free = r.free.plus(chosen[i].run.size)
	}
	c := &clearing{on: on}
	for _, v := range chosen {
		c.victims = append(c.victims, v.run)
		c.loss += v.loss
	}
	return c
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
