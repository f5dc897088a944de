package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// requirement is what a unit asks of a target whatever its size.
type requirement struct {
	pool  string // empty for any
	label string
}

// eligibleTargets has the targets that meet a requirement and take work now, in the order
// of their names.
type eligibleTargets struct {
	targets []*target
	racks   []rack // in the order of their names
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

// rack returns the targets in a rack.
func (s *eligibleTargets) rack(name string) []*target {
	i, ok := slices.BinarySearchFunc(s.racks, name, func(r rack, name string) int { return cmp.Compare(r.name, name) })
	if !ok {
		return nil
	}
	return s.racks[i].targets
}

// eligibleTargets returns the targets that may run tasks of a unit. It changes only from
// pass to pass, so that units with one requirement share it.
func (p *Planner) eligibleTargets(u unit, now time.Time) *eligibleTargets {
	q := requirement{pool: u.kind.Pool(), label: u.step.spec.Label}
	s := p.eligibleCache[q]
	if s == nil {
		var targets []*target
		for _, t := range p.sortedTargets {
			if t.acceptsWork(now) && q.isMetBy(t) {
				targets = append(targets, t)
			}
		}
		s = newEligibleTargets(targets)
		p.eligibleCache[q] = s
	}
	if len(u.tasks) == 1 && len(u.tasks[0].avoidedTargets) > 0 && p.hasAlternative(u) {
		return newEligibleTargets(slices.DeleteFunc(slices.Clone(s.targets), u.avoids))
	}
	return s
}

// isMetBy reports whether a target's worker is of the pool and has the label.
func (q requirement) isMetBy(t *target) bool {
	if q.pool != "" && t.worker.GetPool() != q.pool {
		return false
	}
	return q.label == "" || slices.Contains(t.worker.GetLabels(), q.label)
}

// maxSilence is how long a worker may not have answered its agent before it gets
// no new work. Its agent asks at least once a second.
const maxSilence = 2500 * time.Millisecond

// hasAlternative reports whether a target on which the unit has not failed may run it, now
// or after a pause.
func (p *Planner) hasAlternative(u unit) bool {
	for _, t := range p.sortedTargets {
		if t.connected && t.listed && !t.worker.GetDraining() && p.meetsRequirement(t, u) && t.capacity.holds(u.resources) && !u.avoids(t) {
			return true
		}
	}
	return false
}

// meetsRequirement reports whether the configuration and the unit allow the target's worker.
func (p *Planner) meetsRequirement(t *target, u unit) bool {
	return requirement{pool: u.kind.Pool(), label: u.step.spec.Label}.isMetBy(t)
}

// avoids reports whether a task of the unit has failed on the target before.
func (u unit) avoids(t *target) bool {
	for _, k := range u.tasks {
		if _, ok := k.avoidedTargets[t.name]; ok {
			return true
		}
	}
	return false
}

// remainingPerWorker returns how many more tasks of the unit a target may run.
func (p *Planner) remainingPerWorker(u unit, t *target) int {
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
		for _, o := range c.targets {
			if o == t {
				limit--
			}
		}
	}
	return max(limit, 0)
}

// maxCount returns how many tasks of a size fit into s, at most limit.
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

// candidate is what a unit may use of a target.
type candidate struct {
	target *target
	free   resources
	limit  int // tasks of the unit
}

// maxTasks returns how many tasks of the unit fit.
func (r candidate) maxTasks(u unit) int { return r.free.maxCount(u.resources, r.limit) }

// candidates returns the room on each target.
func (p *Planner) candidates(u unit, targets []*target) []candidate {
	out := make([]candidate, len(targets))
	for i, t := range targets {
		out[i] = candidate{t, t.available(), p.remainingPerWorker(u, t)}
	}
	return out
}

// bestFit places each task on the target that it fills best, so that whole workers
// stay free. It returns nil if not all fit.
func (p *Planner) bestFit(u unit, targets []*target) []*target {
	total := 0
	for _, t := range targets {
		total += t.available().maxCount(u.resources, p.remainingPerWorker(u, t))
		if total >= len(u.tasks) {
			return pack(u, p.candidates(u, targets))
		}
	}
	return nil
}

// pack places the tasks of a unit that is known to fit.
func pack(u unit, candidates []candidate) []*target {
	candidates = slices.DeleteFunc(candidates, func(r candidate) bool { return r.maxTasks(u) == 0 })
	// A target that has taken a task is filled even better by the next one.
	slices.SortStableFunc(candidates, func(x, y candidate) int { return compareFree(x.free, y.free) })
	on := make([]*target, 0, len(u.tasks))
	for _, r := range candidates {
		for range r.maxTasks(u) {
			if len(on) < len(u.tasks) {
				on = append(on, r.target)
			}
		}
	}
	return on
}

// compareFree orders sizes by what is left, the least first.
func compareFree(x, y resources) int {
	return cmp.Or(cmp.Compare(x.accelerators, y.accelerators), cmp.Compare(x.memory, y.memory), cmp.Compare(x.cpu, y.cpu))
}

// freeAccelerators returns how many accelerators are free on targets.
func freeAccelerators(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += t.available().accelerators
	}
	return n
}
