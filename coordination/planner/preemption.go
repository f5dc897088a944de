package planner

import (
	"cmp"
	"slices"
	"time"
)

// preemption is a choice of victims.
type preemption struct {
	targets []*target
	victims []*victim
	loss    float64
}

// victim is what ends together if it is stopped: a run, or a gang.
type victim struct {
	runs     []*run
	loss     float64 // core-seconds of work
	chosen   bool
	endsSoon bool // it is about to end and need not be stopped
}

// cheapestVictims chooses the runs to stop whose loss is least.
func (p *Planner) cheapestVictims(u *preemptor, s *eligibleTargets, now time.Time) *preemption {
	var best *preemption
	for _, g := range p.targetGroups(u.unit, s, now) {
		if c := p.planPreemption(u, g, now); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	return best
}

// targetGroups returns the groups of targets in one of which a unit must have all its
// places.
func (p *Planner) targetGroups(u unit, s *eligibleTargets, now time.Time) [][]*target {
	var groups [][]*target
	switch spec := u.step.spec; {
	case spec.SameWorker:
		for i := range s.targets {
			groups = append(groups, s.targets[i:i+1])
		}
	case spec.DataRack != "" && !p.localityWaitOver(u, now):
		groups = append(groups, s.rack(spec.DataRack))
	case spec.SameRack && len(u.tasks) > 1 && p.anyRackCouldHold(u):
		for _, r := range s.racks {
			groups = append(groups, r.targets)
		}
	default:
		groups = append(groups, s.targets)
	}
	return groups
}

// preemptionSearch is the room of a group of targets while victims are chosen.
type preemptionSearch struct {
	u          unit
	candidates []preemptionCandidate
	index      map[string]int // by the names of targets
}

// preemptionCandidate is the room on a target with the victims on it.
type preemptionCandidate struct {
	candidate
	victims []*victim // the cheapest for what they free first
	// nextVictims are the victims that make room for one more task, and nextLoss their loss;
	// valid if weighed is set.
	nextVictims []*victim
	nextLoss    float64
	fits        bool
	weighed     bool
}

// planPreemption chooses victims on a group of targets: one task after another gets the place
// whose victims lose least. Then those are spared that were not needed.
func (p *Planner) planPreemption(u *preemptor, group []*target, now time.Time) *preemption {
	s, ok := p.preemptionSearch(u, group, now)
	if !ok {
		return nil
	}
	var chosen []*victim
	for range u.tasks {
		r := s.cheapestCandidate()
		if r == nil {
			return nil
		}
		for _, v := range r.nextVictims {
			s.addVictim(v)
			chosen = append(chosen, v)
		}
		r.free, r.limit, r.weighed = r.free.minus(u.resources), r.limit-1, false
	}
	return s.dropUnneeded(p, chosen)
}

// preemptionSearch returns the room on a group of targets, and whether the unit fits without all
// victims.
func (p *Planner) preemptionSearch(u *preemptor, group []*target, now time.Time) (*preemptionSearch, bool) {
	candidates := p.candidates(u.unit, group)
	s := &preemptionSearch{u: u.unit, candidates: make([]preemptionCandidate, len(candidates)), index: make(map[string]int, len(candidates))}
	gangs := make(map[*step]*victim)
	total := 0
	for i, r := range candidates {
		s.index[r.target.name] = i
		without := r
		s.candidates[i].candidate = r
		for x := range r.target.runs {
			v := p.victim(u, x, gangs, now)
			if v == nil {
				continue
			}
			without.free = without.free.plus(x.resources)
			if !slices.Contains(s.candidates[i].victims, v) {
				s.candidates[i].victims = append(s.candidates[i].victims, v)
			}
		}
		total += without.maxTasks(u.unit)
	}
	if total < len(u.tasks) {
		return nil, false
	}
	for i := range s.candidates {
		s.candidates[i].sortVictims()
	}
	return s, true
}

// victim returns what would end with a run, or nil if it may not be stopped. Work that
// ends as soon as a stop would take effect is not lost: a unit waits for it, unless its
// guarantee has a bound in time that a wrong prediction could break.
func (p *Planner) victim(u *preemptor, r *run, gangs map[*step]*victim, now time.Time) *victim {
	if r.stopCause != "" {
		return nil
	}
	s := r.task.step
	if v, ok := gangs[s]; ok {
		return v
	}
	var v *victim
	if !u.guaranteed && p.endsBeforeStop(r, now) {
		v = &victim{runs: []*run{r}, endsSoon: true}
	} else if ok, straddles := p.mayPreempt(u, r); ok {
		v = &victim{runs: []*run{r}, loss: p.gangLoss(r, now)}
		if straddles {
			v.loss += partlyGuaranteedLoss
		}
	}
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

// freed returns what a victim frees on a target.
func (v *victim) freed(t *target) resources {
	var out resources
	for _, r := range v.runs {
		if r.place.Target == t.name {
			out = out.plus(r.resources)
		}
	}
	return out
}

func (r *preemptionCandidate) sortVictims() {
	price := func(v *victim) float64 { return v.loss / float64(max(v.freed(r.target).accelerators, 1)) }
	slices.SortFunc(r.victims, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(price(x), price(y)), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
}

// cheapestCandidate returns the room where one more task costs least, or nil. Among equals it
// is the one that the task fills best.
func (s *preemptionSearch) cheapestCandidate() *preemptionCandidate {
	var best *preemptionCandidate
	for i := range s.candidates {
		r := &s.candidates[i]
		if !r.weighed {
			r.findNextVictims(s.u.resources)
		}
		if r.fits && (best == nil || cmp.Or(cmp.Compare(r.nextLoss, best.nextLoss), compareFree(r.free, best.free)) < 0) {
			best = r
		}
	}
	return best
}

// findNextVictims finds the victims that make room for one more task: the cheapest ones until it
// fits, without those that are not needed then.
func (r *preemptionCandidate) findNextVictims(need resources) {
	r.weighed, r.nextVictims, r.nextLoss, r.fits = true, nil, 0, false
	if r.limit == 0 {
		return
	}
	free := r.free
	for _, v := range r.victims {
		if free.holds(need) {
			break
		}
		if !v.chosen {
			free = free.plus(v.freed(r.target))
			r.nextVictims = append(r.nextVictims, v)
		}
	}
	if r.fits = free.holds(need); !r.fits {
		return
	}
	r.nextVictims = slices.DeleteFunc(r.nextVictims, func(v *victim) bool {
		if less := free.minus(v.freed(r.target)); less.holds(need) {
			free = less
			return true
		}
		r.nextLoss += v.loss
		return false
	})
}

// addVictim takes what a victim frees on all targets of the group.
func (s *preemptionSearch) addVictim(v *victim) {
	v.chosen = true
	for _, x := range v.runs {
		if i, ok := s.index[x.place.Target]; ok {
			r := &s.candidates[i]
			r.free, r.weighed = r.free.plus(x.resources), false
		}
	}
}

// dropUnneeded gives up the most expensive victims without which the unit fits, too.
func (s *preemptionSearch) dropUnneeded(p *Planner, chosen []*victim) *preemption {
	slices.SortFunc(chosen, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(y.loss, x.loss), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
	out := &preemption{}
	for i, v := range chosen {
		if !s.fitsWithout(p, append(slices.Clone(out.victims), chosen[i+1:]...)) {
			out.victims = append(out.victims, v)
			out.loss += v.loss
		}
	}
	candidates, _ := s.candidatesWithout(p, out.victims)
	out.targets = pack(s.u, candidates)
	return out
}

// fitsWithout reports whether the unit fits without victims.
func (s *preemptionSearch) fitsWithout(p *Planner, victims []*victim) bool {
	_, total := s.candidatesWithout(p, victims)
	return total >= len(s.u.tasks)
}

// candidatesWithout returns the rooms without victims, and how many tasks of the unit they hold.
func (s *preemptionSearch) candidatesWithout(p *Planner, victims []*victim) ([]candidate, int) {
	targets := make([]*target, len(s.candidates))
	for i := range s.candidates {
		targets[i] = s.candidates[i].target
	}
	candidates := p.candidates(s.u, targets)
	total := 0
	for _, v := range victims {
		for _, x := range v.runs {
			if i, ok := s.index[x.place.Target]; ok {
				candidates[i].free = candidates[i].free.plus(x.resources)
			}
		}
	}
	for _, r := range candidates {
		total += r.maxTasks(s.u)
	}
	return candidates, total
}

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
		return p.runLoss(r, now)
	}
	return float64(len(r.task.step.tasks)) * p.runLoss(r, now)
}

// runLoss returns the core-seconds of work that are lost if a run is stopped.
func (p *Planner) runLoss(r *run, now time.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.confirmedAt)
	if r.confirmedAt.IsZero() {
		lost = 0
	}
	if s.spec.Checkpointable {
		// A stop makes a checkpoint.
		lost = min(lost, p.cfg.Restore)
	}
	cores := float64(r.resources.cpu)/1000 + coresPerAccelerator*float64(r.resources.accelerators)
	return cores * lost.Seconds()
}
