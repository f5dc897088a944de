package planner

import (
	"cmp"
	"slices"
	"time"
)

// preemption is a plan to place a unit by stopping victims.
type preemption struct {
	targets []*target // one for each task of the unit
	victims []*victim
	loss    float64 // of all victims, in core-seconds
}

// victim is a run, or all runs of a gang: the members of a gang are only stopped together.
type victim struct {
	runs     []*run
	loss     float64 // core-seconds of work
	penalty  float64 // part of loss that counts for the choice, but is not lost
	chosen   bool
	endsSoon bool // about to end, so it need not be stopped
}

// cheapestVictims returns the preemption with the least loss, or nil if none makes the
// unit fit.
func (p *Planner) cheapestVictims(u *preemptor, s *eligibleTargets, now time.Time) *preemption {
	var best *preemption
	for _, group := range p.targetGroups(u.unit, s, now) {
		if plan := p.planPreemption(u, group, now); plan != nil && (best == nil || plan.loss < best.loss) {
			best = plan
		}
	}
	return best
}

// targetGroups returns groups of targets. All tasks of the unit must be placed within one
// of the groups.
func (p *Planner) targetGroups(u unit, s *eligibleTargets, now time.Time) [][]*target {
	var groups [][]*target
	switch spec := u.step.spec; {
	case spec.SameWorker:
		for i := range s.targets {
			groups = append(groups, s.targets[i:i+1])
		}
	case spec.DataRack != "" && !p.localityWaitOver(u, now):
		groups = append(groups, s.targetsInRack(spec.DataRack))
	case spec.SameRack && len(u.tasks) > 1 && p.anyRackCouldHold(u):
		for _, r := range s.racks {
			groups = append(groups, r.targets)
		}
	default:
		groups = append(groups, s.targets)
	}
	return groups
}

// preemptionSearch is the state of the choice of victims on a group of targets.
type preemptionSearch struct {
	u          unit
	candidates []preemptionCandidate
	index      map[string]int // index into candidates by target name
}

// preemptionCandidate is a candidate with the victims on its target.
type preemptionCandidate struct {
	candidate
	victims []*victim // sorted by loss per accelerator freed
	// nextVictims are the victims to stop so that one more task fits, and nextLoss is their
	// loss. These two and fits are valid if nextValid is set.
	nextVictims []*victim
	nextLoss    float64
	fits        bool // one more task fits once nextVictims have ended
	nextValid   bool
}

// planPreemption chooses victims on a group of targets, or returns nil if the unit can't
// fit there. It places one task after another where the victims have the least loss, and
// then drops the victims that are not needed.
func (p *Planner) planPreemption(u *preemptor, group []*target, now time.Time) *preemption {
	s, ok := p.newPreemptionSearch(u, group, now)
	if !ok {
		return nil
	}
	var chosen []*victim
	for range u.tasks {
		c := s.cheapestCandidate()
		if c == nil {
			return nil
		}
		for _, v := range c.nextVictims {
			s.addVictim(v)
			chosen = append(chosen, v)
		}
		c.available, c.limit, c.nextValid = c.available.minus(u.resources), c.limit-1, false
	}
	return s.dropUnneeded(p, chosen)
}

// newPreemptionSearch returns the initial state of the search on a group of targets. It
// returns false if the unit would not fit even if all victims were stopped.
func (p *Planner) newPreemptionSearch(u *preemptor, group []*target, now time.Time) (*preemptionSearch, bool) {
	candidates := p.candidates(u.unit, group)
	s := &preemptionSearch{u: u.unit, candidates: make([]preemptionCandidate, len(candidates)), index: make(map[string]int, len(candidates))}
	gangs := make(map[*step]*victim)
	lasting := make(map[*step]map[*run]struct{}) // the runs of long-running steps that may be stopped
	total := 0
	for i, c := range candidates {
		s.index[c.target.name] = i
		emptied := c
		s.candidates[i].candidate = c
		for r := range c.target.runs {
			if st := r.task.step; st.spec.LongRunning {
				if !u.guaranteed {
					continue
				}
				if _, ok := lasting[st]; !ok {
					lasting[st] = p.reclaimable(st, group, now)
				}
				if _, ok := lasting[st][r]; !ok {
					continue
				}
			}
			v := p.victimOf(u, r, gangs, now)
			if v == nil {
				continue
			}
			emptied.available = emptied.available.plus(r.resources)
			if !slices.Contains(s.candidates[i].victims, v) {
				s.candidates[i].victims = append(s.candidates[i].victims, v)
			}
		}
		total += emptied.maxTasks(u.unit)
	}
	if total < len(u.tasks) {
		return nil, false
	}
	for i := range s.candidates {
		s.candidates[i].sortVictims()
	}
	return s, true
}

// victimOf returns the victim that a run belongs to, or nil if the run may not be stopped. A
// run that will end no later than a stop would take effect costs nothing: the unit waits
// for it. A unit with a time bound does not, because a wrong prediction could break the time
// bound of its guarantee.
func (p *Planner) victimOf(u *preemptor, r *run, gangs map[*step]*victim, now time.Time) *victim {
	if r.stopReason != "" {
		return nil
	}
	s := r.task.step
	if v, ok := gangs[s]; ok {
		return v
	}
	var v *victim
	if !u.bounded && (p.endsBeforeStop(r, now) || p.worthWaitingFor(u, r, now)) {
		v = &victim{runs: []*run{r}, endsSoon: true}
	} else if ok, partlyGuaranteed := p.mayPreempt(u, r); ok {
		v = &victim{runs: []*run{r}, loss: p.gangLoss(r, now)}
		if partlyGuaranteed {
			v.loss += partlyGuaranteedLoss
		}
	}
	p.weighVictim(v, r, now)
	if s.spec.Gang {
		if v != nil {
			v.runs = nil
			for _, t := range s.tasks {
				v.runs = append(v.runs, t.runs...)
			}
		}
		gangs[s] = v
	}
	return v
}

// freed returns the resources that become free on a target when a victim ends.
func (v *victim) freed(t *target) resources {
	var out resources
	for _, r := range v.runs {
		if r.incarnation.Target == t.name {
			out = out.plus(r.resources)
		}
	}
	return out
}

// sortVictims sorts the victims by their loss per accelerator freed on the target.
func (c *preemptionCandidate) sortVictims() {
	lossPerAccelerator := func(v *victim) float64 { return v.loss / float64(max(v.freed(c.target).accelerators, 1)) }
	slices.SortFunc(c.victims, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(lossPerAccelerator(x), lossPerAccelerator(y)), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
}

// cheapestCandidate returns the candidate where one more task has the least loss, or nil
// if no more task fits. Among equals it returns the one with the least available resources.
func (s *preemptionSearch) cheapestCandidate() *preemptionCandidate {
	var best *preemptionCandidate
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.nextValid {
			c.findNextVictims(s.u.resources)
		}
		if c.fits && (best == nil || cmp.Or(cmp.Compare(c.nextLoss, best.nextLoss), compareResources(c.available, best.available)) < 0) {
			best = c
		}
	}
	return best
}

// findNextVictims sets nextVictims, nextLoss and fits. It adds the cheapest victims until
// one more task fits, and then drops those that are not needed.
func (c *preemptionCandidate) findNextVictims(need resources) {
	c.nextValid, c.nextVictims, c.nextLoss, c.fits = true, nil, 0, false
	if c.limit == 0 {
		return
	}
	available := c.available
	for _, v := range c.victims {
		if available.holds(need) {
			break
		}
		if !v.chosen {
			available = available.plus(v.freed(c.target))
			c.nextVictims = append(c.nextVictims, v)
		}
	}
	if c.fits = available.holds(need); !c.fits {
		return
	}
	c.nextVictims = slices.DeleteFunc(c.nextVictims, func(v *victim) bool {
		if rest := available.minus(v.freed(c.target)); rest.holds(need) {
			available = rest
			return true
		}
		c.nextLoss += v.loss
		return false
	})
}

// addVictim marks a victim as chosen and adds the resources of its runs to what is available
// on the targets of the group.
func (s *preemptionSearch) addVictim(v *victim) {
	v.chosen = true
	for _, r := range v.runs {
		if i, ok := s.index[r.incarnation.Target]; ok {
			c := &s.candidates[i]
			c.available, c.nextValid = c.available.plus(r.resources), false
		}
	}
}

// dropUnneeded returns a preemption without the victims that are not needed for the unit
// to fit. It tries to drop those with the greatest loss first.
func (s *preemptionSearch) dropUnneeded(p *Planner, chosen []*victim) *preemption {
	slices.SortFunc(chosen, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(y.loss, x.loss), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
	out := &preemption{}
	for i, v := range chosen {
		if !s.fitsAfter(p, append(slices.Clone(out.victims), chosen[i+1:]...)) {
			out.victims = append(out.victims, v)
			out.loss += v.loss
		}
	}
	candidates, _ := s.candidatesAfter(p, out.victims)
	out.targets = pack(s.u, candidates, false)
	return out
}

// fitsAfter reports whether the unit fits once victims have ended.
func (s *preemptionSearch) fitsAfter(p *Planner, victims []*victim) bool {
	_, total := s.candidatesAfter(p, victims)
	return total >= len(s.u.tasks)
}

// candidatesAfter returns the candidates as they are once victims have ended, and how
// many tasks of the unit fit on them.
func (s *preemptionSearch) candidatesAfter(p *Planner, victims []*victim) ([]candidate, int) {
	targets := make([]*target, len(s.candidates))
	for i := range s.candidates {
		targets[i] = s.candidates[i].target
	}
	candidates := p.candidates(s.u, targets)
	total := 0
	for _, v := range victims {
		for _, r := range v.runs {
			if i, ok := s.index[r.incarnation.Target]; ok {
				candidates[i].available = candidates[i].available.plus(r.resources)
			}
		}
	}
	for _, c := range candidates {
		total += c.maxTasks(s.u)
	}
	return candidates, total
}

// atMostOnceLoss is the loss of a run of an at-most-once job, which can't be started again:
// a penalty, in core-seconds, that outweighs most other victims.
const atMostOnceLoss = 1e9

// coresPerAccelerator is the number of cores that an accelerator counts as when amounts of
// work are compared.
const coresPerAccelerator = 8

// gangLoss returns the core-seconds of work that are lost if a run is stopped, including
// those of the other members of its gang.
func (p *Planner) gangLoss(r *run, now time.Time) float64 {
	if r.task.step.occ.job.job.AtMostOnce {
		return atMostOnceLoss
	}
	if !r.task.step.spec.Gang {
		return p.runLoss(r, now)
	}
	return float64(len(r.task.step.tasks)) * p.runLoss(r, now)
}

// runLoss returns the core-seconds of work that are lost if a run is stopped now, or has just
// been stopped. A run that is stopped leaves a checkpoint if it can, so that no more than the
// time to restore it is lost.
func (p *Planner) runLoss(r *run, now time.Time) float64 {
	lostTime := r.runningFor(now)
	if r.task.step.spec.Checkpointable {
		lostTime = min(lostTime, p.settings.RestoreTime)
	}
	return r.cores() * lostTime.Seconds()
}

// endLoss returns the core-seconds of work that are lost with a run that has just ended
// without completing its task and was not stopped: those since its last checkpoint, and the
// time to restore that.
func (p *Planner) endLoss(r *run, now time.Time) float64 {
	lostTime := r.runningFor(now)
	if sinceCheckpoint := now.Sub(r.task.checkpointAt); lostTime > 0 && r.task.checkpointAt.After(r.confirmedAt) {
		lostTime = min(lostTime, sinceCheckpoint+p.settings.RestoreTime)
	}
	return r.cores() * lostTime.Seconds()
}

// runningFor returns how long a run has been known to run.
func (r *run) runningFor(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(r.confirmedAt)
}

// cores returns the cores that a run uses, with its accelerators counted as cores.
func (r *run) cores() float64 {
	return float64(r.resources.cpu)/1000 + coresPerAccelerator*float64(r.resources.accelerators)
}
