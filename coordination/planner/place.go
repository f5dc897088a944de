package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// room is what a pass may still use of a target.
type room struct {
	target *target
	free   size // left after runs that go on and claims
	idle   size // left after all runs and claims, also runs that are being stopped
	limit  int  // tasks of the unit's step that it may still run
	rack   string
}

// rooms returns the targets that may run tasks of a unit, by name.
func (p *Planner) rooms(u unit, now time.Time) []*room {
	var out []*room
	for _, t := range p.targets {
		if !p.usable(t, u, now) {
			continue
		}
		reserved := p.reserved(t)
		out = append(out, &room{
			target: t, rack: t.worker.GetRack(), limit: p.perWorker(u, t),
			free: t.capacity.minus(t.used(false)).minus(reserved),
			idle: t.capacity.minus(t.used(true)).minus(reserved),
		})
	}
	slices.SortFunc(out, func(x, y *room) int { return cmp.Compare(x.target.name, y.target.name) })
	if len(u.tasks) == 1 && len(u.tasks[0].avoid) > 0 && p.hasOther(u) {
		return slices.DeleteFunc(out, func(r *room) bool { return u.avoids(r.target) })
	}
	return out
}

// hasOther reports whether a target on which the unit has not failed may run it, now
// or after a pause.
func (p *Planner) hasOther(u unit) bool {
	for _, t := range p.targets {
		if t.connected && t.listed && !t.worker.GetDraining() && p.suits(t, u) && t.capacity.holds(u.size) && !u.avoids(t) {
			return true
		}
	}
	return false
}

// silentLimit is how long a worker may not have answered its agent before it gets
// no new work. Its agent asks at least once a second.
const silentLimit = 2500 * time.Millisecond

// usable reports whether a target may run tasks of a unit at all.
func (p *Planner) usable(t *target, u unit, now time.Time) bool {
	if !t.connected || !t.listed || t.worker.GetDraining() || len(t.foreign) > 0 || now.Before(t.pauseUntil) {
		return false
	}
	if t.health.suspect(now) || t.silent > silentLimit {
		return false
	}
	return p.suits(t, u)
}

// suits reports whether the configuration and the unit allow the target's worker.
func (p *Planner) suits(t *target, u unit) bool {
	if pool := p.pool(u); pool != "" && t.worker.GetPool() != pool {
		return false
	}
	l := u.step.spec.Label
	return l == "" || slices.Contains(t.worker.GetLabels(), l)
}

// avoids reports whether a task of the unit has failed on the target before.
func (u unit) avoids(t *target) bool {
	for _, k := range u.tasks {
		if _, ok := k.avoid[t.name]; ok {
			return true
		}
	}
	return false
}

// pool returns the pool whose workers may run the unit.
func (p *Planner) pool(u unit) string { return u.kind.Pool() }

// perWorker returns how many more tasks of the unit's step a target may run.
func (p *Planner) perWorker(u unit, t *target) int {
	limit := u.step.spec.MaxPerWorker
	if limit == 0 {
		return len(u.tasks)
	}
	for r := range t.runs {
		if r.task.step == u.step {
			limit--
		}
	}
	for _, c := range p.claims {
		if c.unit.step != u.step {
			continue
		}
		for _, o := range c.on {
			if o == t {
				limit--
			}
		}
	}
	return max(limit, 0)
}

// times returns how many tasks of a size fit into s, at most limit.
func (s size) times(o size, limit int) int {
	n := limit
	if o.cpu > 0 {
		n = min(n, s.cpu/o.cpu)
	}
	if o.memory > 0 {
		n = min(n, s.memory/o.memory)
	}
	if o.accelerators > 0 {
		n = min(n, s.accelerators/o.accelerators)
	}
	return max(n, 0)
}

// place starts a unit, claims room for it, or leaves it waiting.
func (p *Planner) place(u unit, now time.Time) {
	rooms := p.rooms(u, now)
	if p.mustLeaveRoom(u, rooms, now) {
		p.noteWait(u, rooms, "too little room beside what is kept free for urgent work")
		return
	}
	on := p.choose(u, rooms, now)
	if on == nil {
		if why := p.reclaim(u, rooms, now); why != "" {
			p.noteWait(u, rooms, why)
		}
		return
	}
	if fitsNow(u, on, rooms) {
		p.start(u.tasks, on, now)
		return
	}
	p.claims = append(p.claims, &claim{unit: u, on: on, since: now})
}

const (
	// headroom is the share of the accelerators that work with time to spare leaves
	// free. Urgent work is often over before a stop of other work has taken effect,
	// so room must be there when it comes. Shares of 0.06 to 0.48 were compared on the
	// loads of both examples; the gain grows up to 0.4.
	headroom = 0.4
	// headroomSlack is how many times its run time a unit must have left until its
	// objective to have time to spare.
	headroomSlack = 2
)

// mustLeaveRoom reports whether a unit must wait because too little would be left
// for urgent work. It serves loads of long work with loose objectives beside short
// work that somebody waits for.
func (p *Planner) mustLeaveRoom(u unit, rooms []*room, now time.Time) bool {
	if p.cfg.Policy.NoHeadroom || isUrgent(u.kind) {
		return false
	}
	run := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	if u.tier != tierOnTime || u.deadline.Sub(now) < headroomSlack*run {
		return false
	}
	free, all := 0, 0
	for _, r := range rooms {
		free += r.free.accelerators
		all += r.target.capacity.accelerators
	}
	// A site that is mostly idle keeps no work waiting.
	if free >= all/2 || float64(free-len(u.tasks)*u.size.accelerators) >= headroom*float64(all) {
		return false
	}
	return !p.isGuaranteed(u)
}

// noteWait logs why a unit waits if that is news for its step.
func (p *Planner) noteWait(u unit, rooms []*room, why string) {
	if len(rooms) == 0 {
		why = "no worker may run it"
	}
	if u.step.waits == why {
		return
	}
	u.step.waits = why
	free := 0
	for _, r := range rooms {
		free += r.free.accelerators
	}
	p.log.Info().Int("Event", EventUnitWaits).Str("Job", u.step.occ.job.job.ID).Int("Occurrence", u.step.occ.n).
		Int("Step", u.step.index).Int("Tasks", len(u.tasks)).Int("Accelerators", len(u.tasks)*u.size.accelerators).
		Int("FreeAccelerators", free).Int("Workers", len(rooms)).Int("Priority", u.kind.Priority()).Str("Reason", why).Send()
}

// fitsNow reports whether the places are free already.
func fitsNow(u unit, on []*target, rooms []*room) bool {
	need := make(map[*target]size)
	for _, t := range on {
		need[t] = need[t].plus(u.size)
	}
	for _, r := range rooms {
		if n, ok := need[r.target]; ok && !r.idle.holds(n) {
			return false
		}
	}
	return true
}

// choose returns a target for each task of the unit, or nil.
func (p *Planner) choose(u unit, rooms []*room, now time.Time) []*target {
	spec := u.step.spec
	if spec.DataRack != "" {
		if on := fill(u, inRack(rooms, spec.DataRack)); on != nil {
			return on
		}
		if !p.mayGoFar(u, now) {
			return nil
		}
	}
	if spec.SameWorker {
		for _, r := range rooms {
			if on := fill(u, []*room{r}); on != nil {
				return on
			}
		}
		return nil
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return fill(u, rooms)
	}
	if on := p.oneRack(u, rooms); on != nil {
		return on
	}
	if p.rackCouldHold(u) && !p.mayGoFar(u, now) {
		return nil
	}
	return fill(u, rooms)
}

func inRack(rooms []*room, rack string) []*room {
	var out []*room
	for _, r := range rooms {
		if r.rack == rack {
			out = append(out, r)
		}
	}
	return out
}

// mayGoFar reports whether a unit should run slowly on other racks rather than
// wait longer for the right one.
func (p *Planner) mayGoFar(u unit, now time.Time) bool {
	run := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	return now.Sub(u.since) > max(minFarWait, min(run/2, maxFarWait))
}

const (
	// minFarWait and maxFarWait bound how long a task waits for a place near its
	// data or its peers. A job with room elsewhere may not stand still for 3 s.
	minFarWait = 500 * time.Millisecond
	maxFarWait = 2 * time.Second
)

// oneRack places the unit in a single rack: in that of the step's other tasks if
// they have one, or else in the rack where it leaves the least unused.
func (p *Planner) oneRack(u unit, rooms []*room) []*target {
	groups := byRack(rooms)
	if rack, ok := u.step.rack(p); ok {
		groups = [][]*room{inRack(rooms, rack)}
	}
	var best []*target
	bestLeft := 0
	for _, g := range groups {
		on := fill(u, g)
		if on == nil {
			continue
		}
		left := 0
		for _, r := range g {
			left += r.free.accelerators
		}
		if best == nil || left < bestLeft {
			best, bestLeft = on, left
		}
	}
	return best
}

// byRack returns the targets of each rack, in the order of the racks' names.
func byRack(rooms []*room) [][]*room {
	racks := make(map[string][]*room)
	for _, r := range rooms {
		racks[r.rack] = append(racks[r.rack], r)
	}
	var out [][]*room
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		out = append(out, racks[name])
	}
	return out
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

// rackCouldHold reports whether some rack could hold the unit if it were empty.
func (p *Planner) rackCouldHold(u unit) bool {
	n := make(map[string]int)
	for _, t := range p.targets {
		if t.worker == nil || t.worker.GetDraining() {
			continue
		}
		n[t.worker.GetRack()] += t.capacity.times(u.size, u.limit())
		if n[t.worker.GetRack()] >= len(u.tasks) {
			return true
		}
	}
	return false
}

func (u unit) limit() int {
	if m := u.step.spec.MaxPerWorker; m > 0 {
		return m
	}
	return len(u.tasks)
}

// fill places each task on the target that it fills best, so that whole workers
// stay free. It returns nil if not all fit.
func fill(u unit, rooms []*room) []*target {
	type spot struct {
		*room
		free  size
		limit int
	}
	spots := make([]spot, len(rooms))
	for i, r := range rooms {
		spots[i] = spot{r, r.free, r.limit}
	}
	on := make([]*target, 0, len(u.tasks))
	for range u.tasks {
		best := -1
		for i := range spots {
			s := &spots[i]
			if s.limit == 0 || !s.free.holds(u.size) {
				continue
			}
			if best < 0 || tighter(s.free, spots[best].free) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		spots[best].free = spots[best].free.minus(u.size)
		spots[best].limit--
		on = append(on, spots[best].target)
	}
	return on
}

// tighter reports whether x has less room than y.
func tighter(x, y size) bool {
	return cmp.Or(cmp.Compare(x.accelerators, y.accelerators), cmp.Compare(x.memory, y.memory), cmp.Compare(x.cpu, y.cpu)) < 0
}
