package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// requirement is what a unit requires of a worker besides capacity.
type requirement struct {
	pool  string // empty for any
	label string // empty for none
}

// eligibleTargets holds the targets that meet a requirement and accept work now, sorted by
// name.
type eligibleTargets struct {
	targets []*target
	racks   []rack // sorted by name
}

type rack struct {
	name    string
	targets []*target
}

func newEligibleTargets(targets []*target) *eligibleTargets {
	byName := make(map[string][]*target)
	for _, t := range targets {
		name := t.worker.GetRack()
		byName[name] = append(byName[name], t)
	}
	s := &eligibleTargets{targets: targets}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s.racks = append(s.racks, rack{name, byName[name]})
	}
	return s
}

// targetsInRack returns the eligible targets in a rack.
func (s *eligibleTargets) targetsInRack(name string) []*target {
	i, ok := slices.BinarySearchFunc(s.racks, name, func(r rack, name string) int { return cmp.Compare(r.name, name) })
	if !ok {
		return nil
	}
	return s.racks[i].targets
}

// findEligible returns the targets that may run tasks of a unit. The result is valid
// for a whole pass, and units with the same requirement share it. A single task does not
// get the targets that it avoids while mayAvoid allows that. A long-running one that has been idle
// for maxAvoidance and has room nowhere else gets targets that are paused after failures, too: it
// must be started again however often it fails.
func (p *Planner) findEligible(u unit, now time.Time) *eligibleTargets {
	q := requirement{pool: u.kind.Pool(), label: u.step.spec.Label}
	s := p.eligibleCache[q]
	if s == nil {
		s = p.targetsMeeting(q, func(t *target) bool { return t.acceptsWork(now) })
		p.eligibleCache[q] = s
	}
	if u.step.spec.LongRunning && len(u.tasks) == 1 && now.Sub(u.tasks[0].idleSince) > maxAvoidance && !p.anyFits(u, s.targets) {
		return p.targetsMeeting(q, func(t *target) bool { return t.acceptsWorkDespitePause(now) })
	}
	if len(u.tasks) == 1 && len(u.tasks[0].avoidedTargets) > 0 {
		others := newEligibleTargets(slices.DeleteFunc(slices.Clone(s.targets), u.avoids))
		if p.mayAvoid(u, now) || p.anyFits(u, others.targets) {
			return others
		}
	}
	return s
}

// targetsMeeting returns the targets that meet a requirement, on which work may be started, and that
// accept it.
func (p *Planner) targetsMeeting(q requirement, accepts func(t *target) bool) *eligibleTargets {
	var targets []*target
	for _, t := range p.sortedTargets {
		if accepts(t) && p.mayStartOn(t) && q.isMetBy(t) {
			targets = append(targets, t)
		}
	}
	return newEligibleTargets(targets)
}

// anyFits reports whether a task of the unit fits on one of the targets.
func (p *Planner) anyFits(u unit, targets []*target) bool {
	return slices.ContainsFunc(p.candidates(u, targets), func(c candidate) bool { return c.maxTasks(u) > 0 })
}

// isMetBy reports whether a target's worker is in the pool and has the label.
func (q requirement) isMetBy(t *target) bool {
	if q.pool != "" && t.worker.GetPool() != q.pool {
		return false
	}
	return q.label == "" || slices.Contains(t.worker.GetLabels(), q.label)
}

// maxSilence is the time without an answer from a worker to its agent after which the
// worker gets no new work. Agents poll their workers about once a second.
const maxSilence = 2500 * time.Millisecond

// maxAvoidance is how long a task waits for a target on which it has not failed while there is
// capacity for it elsewhere. What runs on the other targets may last for hours. It is below the 3 s
// for which a job may wait while there is free capacity for it.
const maxAvoidance = 2 * time.Second

// mayAvoid reports whether a unit of one task may wait for a target on which the task has not failed
// or stalled.
func (p *Planner) mayAvoid(u unit, now time.Time) bool {
	return now.Sub(u.tasks[0].idleSince) <= maxAvoidance && p.hasAlternative(u)
}

// hasAlternative reports whether a target on which the unit has not failed could run it,
// now or after a pause.
func (p *Planner) hasAlternative(u unit) bool {
	for _, t := range p.sortedTargets {
		if t.connected && t.runsKnown && !t.worker.GetDraining() && !p.isEvacuated(t) && p.meetsRequirement(t, u) && t.capacity.holds(u.resources) && !u.avoids(t) {
			return true
		}
	}
	return false
}

// meetsRequirement reports whether the target's worker is in the pool of the unit's kind
// and has the label that the step requires.
func (p *Planner) meetsRequirement(t *target, u unit) bool {
	return requirement{pool: u.kind.Pool(), label: u.step.spec.Label}.isMetBy(t)
}

// avoids reports whether a task of the unit avoids the target, because a run of it failed
// or stalled there.
func (u unit) avoids(t *target) bool {
	for _, k := range u.tasks {
		if _, ok := k.avoidedTargets[t.name]; ok {
			return true
		}
	}
	return false
}

// remainingPerWorker returns how many more tasks of the unit the target may run under the
// step's limit per worker. Runs and claims of the step count against it.
func (p *Planner) remainingPerWorker(u unit, t *target) int {
	limit := u.step.spec.MaxPerWorker
	if limit == 0 {
		return p.withoutReserved(u, t, len(u.tasks))
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
		for _, o := range c.targets {
			if o == t {
				limit--
			}
		}
	}
	return p.withoutReserved(u, t, max(limit, 0))
}

// maxCount returns how many times o fits into s, at most limit.
func (s resources) maxCount(o resources, limit int) int {
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

// candidate is a target with the capacity that a unit may use there.
type candidate struct {
	target    *target
	available resources // may be negative
	limit     int       // upper bound on tasks of the unit
}

// maxTasks returns how many tasks of the unit fit on the candidate.
func (c candidate) maxTasks(u unit) int { return c.available.maxCount(u.resources, c.limit) }

// candidates returns a candidate for each target.
func (p *Planner) candidates(u unit, targets []*target) []candidate {
	out := make([]candidate, len(targets))
	for i, t := range targets {
		out[i] = candidate{t, t.available(), p.remainingPerWorker(u, t)}
	}
	return out
}

// bestFit chooses for each task the target with the least available capacity that holds it,
// so that whole workers stay free. For suspects it is the one with the most, where a crash
// does the least harm. It tries the targets without interference first. It returns
// nil if not all tasks fit.
func (p *Planner) bestFit(u unit, targets []*target) []*target {
	if apart := p.withoutInterference(u, targets); apart != nil {
		if chosen := p.bestFit(u, apart); chosen != nil {
			return chosen
		}
	}
	targets = p.preferredBySpeed(u, targets)
	total := 0
	for _, t := range targets {
		total += t.available().maxCount(u.resources, p.remainingPerWorker(u, t))
		if total >= len(u.tasks) {
			return pack(u, p.candidates(u, targets), slices.ContainsFunc(u.tasks, p.isSuspect))
		}
	}
	return nil
}

// pack chooses the targets for a unit that is known to fit, with a best-fit strategy, or a
// worst-fit strategy if emptiestFirst is set.
func pack(u unit, candidates []candidate, emptiestFirst bool) []*target {
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.maxTasks(u) == 0 })
	// A target that gets a task is an even tighter fit for the next one, so the order
	// remains valid.
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		if emptiestFirst {
			x, y = y, x
		}
		return compareResources(x.available, y.available)
	})
	targets := make([]*target, 0, len(u.tasks))
	for _, c := range candidates {
		for range c.maxTasks(u) {
			if len(targets) < len(u.tasks) {
				targets = append(targets, c.target)
			}
		}
	}
	return targets
}

// compareResources orders resources, the least first. Accelerators count before memory, and
// memory before processors.
func compareResources(x, y resources) int {
	return cmp.Or(cmp.Compare(x.accelerators, y.accelerators), cmp.Compare(x.memory, y.memory), cmp.Compare(x.cpu, y.cpu))
}

// availableAccelerators returns how many accelerators are available on targets. A target that
// runs more than its capacity holds has none.
func availableAccelerators(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += max(t.available().accelerators, 0)
	}
	return n
}
