package planner

import (
	"cmp"
	"slices"
	"time"
)

// clearing is a choice of victims.
type clearing struct {
	on      []*target
	victims []*victim
	loss    float64
}

// victim is what ends together if it is stopped: a run, or a gang.
type victim struct {
	runs   []*run
	loss   float64 // core-seconds of work
	chosen bool
	ending bool // it is about to end and need not be stopped
}

// cheapestVictims chooses the runs to stop whose loss is least.
func (p *Planner) cheapestVictims(u *claimant, s *selection, now time.Time) *clearing {
	var best *clearing
	for _, g := range p.claimGroups(u.unit, s, now) {
		if c := p.clear(u, g, now); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	return best
}

// claimGroups returns the groups of targets in one of which a unit must have all its
// places.
func (p *Planner) claimGroups(u unit, s *selection, now time.Time) [][]*target {
	var groups [][]*target
	switch spec := u.step.spec; {
	case spec.SameWorker:
		for i := range s.targets {
			groups = append(groups, s.targets[i:i+1])
		}
	case spec.DataRack != "" && !p.mayGoFar(u, now):
		groups = append(groups, s.rack(spec.DataRack))
	case spec.SameRack && len(u.tasks) > 1 && p.rackCouldHold(u):
		for _, r := range s.racks {
			groups = append(groups, r.targets)
		}
	default:
		groups = append(groups, s.targets)
	}
	return groups
}

// clearSite is the room of a group of targets while victims are chosen.
type clearSite struct {
	u     unit
	rooms []clearRoom
	index map[string]int // by the names of targets
}

// clearRoom is the room on a target with the victims on it.
type clearRoom struct {
	room
	victims []*victim // the cheapest for what they free first
	// next are the victims that make room for one more task, and nextLoss their loss;
	// valid if known is set.
	next     []*victim
	nextLoss float64
	fits     bool
	known    bool
}

// clear chooses victims on a group of targets: one task after another gets the place
// whose victims lose least. Then those are spared that were not needed.
func (p *Planner) clear(u *claimant, group []*target, now time.Time) *clearing {
	s, ok := p.clearSite(u, group, now)
	if !ok {
		return nil
	}
	var chosen []*victim
	for range u.tasks {
		r := s.cheapest()
		if r == nil {
			return nil
		}
		for _, v := range r.next {
			s.choose(v)
			chosen = append(chosen, v)
		}
		r.free, r.limit, r.known = r.free.minus(u.size), r.limit-1, false
	}
	return s.spare(p, chosen)
}

// clearSite returns the room on a group of targets, and whether the unit fits without all
// victims.
func (p *Planner) clearSite(u *claimant, group []*target, now time.Time) (*clearSite, bool) {
	rooms := p.rooms(u.unit, group)
	s := &clearSite{u: u.unit, rooms: make([]clearRoom, len(rooms)), index: make(map[string]int, len(rooms))}
	gangs := make(map[*step]*victim)
	total := 0
	for i, r := range rooms {
		s.index[r.target.name] = i
		without := r
		s.rooms[i].room = r
		for x := range r.target.runs {
			v := p.victim(u, x, gangs, now)
			if v == nil {
				continue
			}
			without.free = without.free.plus(x.size)
			if !slices.Contains(s.rooms[i].victims, v) {
				s.rooms[i].victims = append(s.rooms[i].victims, v)
			}
		}
		total += without.holds(u.unit)
	}
	if total < len(u.tasks) {
		return nil, false
	}
	for i := range s.rooms {
		s.rooms[i].sortVictims()
	}
	return s, true
}

// victim returns what would end with a run, or nil if it may not be stopped. Work that
// ends as soon as a stop would take effect is not lost: a unit waits for it, unless its
// guarantee has a bound in time that a wrong prediction could break.
func (p *Planner) victim(u *claimant, r *run, gangs map[*step]*victim, now time.Time) *victim {
	if r.stop != "" {
		return nil
	}
	s := r.task.step
	if v, ok := gangs[s]; ok {
		return v
	}
	var v *victim
	if !u.guaranteed && p.endsBeforeStop(r, now) {
		v = &victim{runs: []*run{r}, ending: true}
	} else if ok, straddles := p.mayStop(u, r); ok {
		v = &victim{runs: []*run{r}, loss: p.gangLoss(r, now)}
		if straddles {
			v.loss += straddleLoss
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
func (v *victim) freed(t *target) size {
	var out size
	for _, r := range v.runs {
		if r.place.Target == t.name {
			out = out.plus(r.size)
		}
	}
	return out
}

func (r *clearRoom) sortVictims() {
	price := func(v *victim) float64 { return v.loss / float64(max(v.freed(r.target).accelerators, 1)) }
	slices.SortFunc(r.victims, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(price(x), price(y)), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
}

// cheapest returns the room where one more task costs least, or nil. Among equals it
// is the one that the task fills best.
func (s *clearSite) cheapest() *clearRoom {
	var best *clearRoom
	for i := range s.rooms {
		r := &s.rooms[i]
		if !r.known {
			r.weigh(s.u.size)
		}
		if r.fits && (best == nil || cmp.Or(cmp.Compare(r.nextLoss, best.nextLoss), tighter(r.free, best.free)) < 0) {
			best = r
		}
	}
	return best
}

// weigh finds the victims that make room for one more task: the cheapest ones until it
// fits, without those that are not needed then.
func (r *clearRoom) weigh(need size) {
	r.known, r.next, r.nextLoss, r.fits = true, nil, 0, false
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
			r.next = append(r.next, v)
		}
	}
	if r.fits = free.holds(need); !r.fits {
		return
	}
	r.next = slices.DeleteFunc(r.next, func(v *victim) bool {
		if less := free.minus(v.freed(r.target)); less.holds(need) {
			free = less
			return true
		}
		r.nextLoss += v.loss
		return false
	})
}

// choose takes what a victim frees on all targets of the group.
func (s *clearSite) choose(v *victim) {
	v.chosen = true
	for _, x := range v.runs {
		if i, ok := s.index[x.place.Target]; ok {
			r := &s.rooms[i]
			r.free, r.known = r.free.plus(x.size), false
		}
	}
}

// spare gives up the most expensive victims without which the unit fits, too.
func (s *clearSite) spare(p *Planner, chosen []*victim) *clearing {
	slices.SortFunc(chosen, func(x, y *victim) int {
		return cmp.Or(cmp.Compare(y.loss, x.loss), cmp.Compare(x.runs[0].task.name, y.runs[0].task.name))
	})
	out := &clearing{}
	for i, v := range chosen {
		if !s.fits(p, append(slices.Clone(out.victims), chosen[i+1:]...)) {
			out.victims = append(out.victims, v)
			out.loss += v.loss
		}
	}
	rooms, _ := s.without(p, out.victims)
	out.on = fillRooms(s.u, rooms)
	return out
}

// fits reports whether the unit fits without victims.
func (s *clearSite) fits(p *Planner, victims []*victim) bool {
	_, total := s.without(p, victims)
	return total >= len(s.u.tasks)
}

// without returns the rooms without victims, and how many tasks of the unit they hold.
func (s *clearSite) without(p *Planner, victims []*victim) ([]room, int) {
	targets := make([]*target, len(s.rooms))
	for i := range s.rooms {
		targets[i] = s.rooms[i].target
	}
	rooms := p.rooms(s.u, targets)
	total := 0
	for _, v := range victims {
		for _, x := range v.runs {
			if i, ok := s.index[x.place.Target]; ok {
				rooms[i].free = rooms[i].free.plus(x.size)
			}
		}
	}
	for _, r := range rooms {
		total += r.holds(s.u)
	}
	return rooms, total
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
