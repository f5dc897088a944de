package operator

import (
	"cmp"
	"slices"
)

// maxPackSteps bounds the exact search for a placement. 20,000 steps take about
// 10 ms for the example deployments. Greedy placement takes none of these steps.
const maxPackSteps = 20_000

// maxExactTasks is the largest number of tasks for which the exact search is run.
const maxExactTasks = 512

// packResult is the result of a search for a simultaneous placement.
type packResult int

const (
	feasible   packResult = iota
	infeasible            // there is no placement
	undecided             // none was found within the limits of the search
)

// taskGroup is a number of equal tasks that are placed in one rack or anywhere.
type taskGroup struct {
	slots    int // of each task
	count    int
	sameRack bool // all tasks must be in one rack
}

// pack decides whether an empty site holds all shapes at the same time. Tasks of
// a shape may share a worker, as in Site.Fits. Shapes must be valid.
func pack(s Site, shapes []Shape) packResult {
	var racks []int
	for _, d := range s.dataCentres {
		for _, r := range d.racks {
			racks = append(racks, r.workers)
		}
	}
	return packRacks(racks, s.slotsPerWorker, shapes)
}

// packRacks is pack for racks with the given numbers of workers. It tries greedy
// placement in two orders, then an exact search.
func packRacks(rackWorkers []int, slotsPerWorker int, shapes []Shape) packResult {
	var groups []taskGroup
	slots, count := 0, 0
	for _, s := range shapes {
		slots += s.Slots()
		g := taskGroup{slots: s.accelerators, count: s.workers, sameRack: s.adjacency == AdjacentRack}
		if s.adjacency == AdjacentWorker {
			g = taskGroup{slots: s.Slots(), count: 1}
		}
		groups = append(groups, g)
		count += g.count
	}
	workers := 0
	for _, n := range rackWorkers {
		workers += n
	}
	if slots > workers*slotsPerWorker {
		return infeasible
	}
	bySize := func(a, b taskGroup) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), compareBool(b.sameRack, a.sameRack), cmp.Compare(b.count, a.count))
	}
	rackFirst := func(a, b taskGroup) int {
		return cmp.Or(compareBool(b.sameRack, a.sameRack), cmp.Compare(b.slots*b.count, a.slots*a.count), bySize(a, b))
	}
	for _, order := range []func(a, b taskGroup) int{rackFirst, bySize} {
		slices.SortFunc(groups, order)
		if newPacker(rackWorkers, slotsPerWorker).greedy(groups) {
			return feasible
		}
	}
	if count > maxExactTasks {
		return undecided
	}
	p := newPacker(rackWorkers, slotsPerWorker)
	switch {
	case p.search(groups, 0, 0, -1):
		return feasible
	case p.steps >= maxPackSteps:
		return undecided
	}
	return infeasible
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// packer holds the free slots of each worker while tasks are placed.
type packer struct {
	free   []int   // by worker
	rackOf []int   // by worker
	racks  [][]int // workers by rack
	// byFree lists workers by free slots. An entry becomes stale when allocate changes the
	// free slots of its worker, and adds another entry for it.
	byFree [][]int
	steps  int
}

func newPacker(rackWorkers []int, slotsPerWorker int) *packer {
	p := &packer{byFree: make([][]int, slotsPerWorker+1)}
	for r, n := range rackWorkers {
		var members []int
		for range n {
			w := len(p.free)
			p.free = append(p.free, slotsPerWorker)
			p.rackOf = append(p.rackOf, r)
			members = append(members, w)
			p.byFree[slotsPerWorker] = append(p.byFree[slotsPerWorker], w)
		}
		p.racks = append(p.racks, members)
	}
	return p
}

func (p *packer) allocate(w, slots int) {
	p.free[w] -= slots
	p.byFree[p.free[w]] = append(p.byFree[p.free[w]], w)
}

// greedy places each task by best fit: on the worker with the fewest free slots
// that holds it or, for a group in one rack, in the rack with the fewest free slots
// that holds the group. It reports whether all tasks were placed.
func (p *packer) greedy(groups []taskGroup) bool {
	for _, g := range groups {
		if g.sameRack {
			if !p.greedyRack(g) {
				return false
			}
			continue
		}
		for range g.count {
			w := p.bestFit(g.slots)
			if w < 0 {
				return false
			}
			p.allocate(w, g.slots)
		}
	}
	return true
}

// greedyRack places a group in one rack, on the workers with the fewest free slots
// first.
func (p *packer) greedyRack(g taskGroup) bool {
	best, bestFree := -1, 0
	for r, members := range p.racks {
		maxTasks, free := 0, 0
		for _, w := range members {
			maxTasks += p.free[w] / g.slots
			free += p.free[w]
		}
		if maxTasks >= g.count && (best < 0 || free < bestFree) {
			best, bestFree = r, free
		}
	}
	if best < 0 {
		return false
	}
	members := slices.SortedFunc(slices.Values(p.racks[best]), func(a, b int) int { return cmp.Compare(p.free[a], p.free[b]) })
	remaining := g.count
	for _, w := range members {
		n := min(remaining, p.free[w]/g.slots)
		if n > 0 {
			p.allocate(w, n*g.slots)
			remaining -= n
		}
	}
	return true
}

// bestFit returns the worker with the fewest free slots that holds a task, or -1
// if there is none. It removes stale entries from the lists of byFree it searches.
func (p *packer) bestFit(slots int) int {
	for size := slots; size < len(p.byFree); size++ {
		list := p.byFree[size]
		for len(list) > 0 {
			w := list[len(list)-1]
			if p.free[w] == size {
				p.byFree[size] = list
				return w
			}
			list = list[:len(list)-1]
		}
		p.byFree[size] = list
	}
	return -1
}

// search places task n of group i and all later ones by backtracking, and reports
// whether it found a placement. Rack is the rack of the group, or -1 if none is
// chosen yet.
func (p *packer) search(groups []taskGroup, i, n, rack int) bool {
	if i < len(groups) && n == groups[i].count {
		i, n, rack = i+1, 0, -1
	}
	if i == len(groups) {
		return true
	}
	if p.steps >= maxPackSteps {
		return false
	}
	p.steps++
	g := groups[i]
	var candidates []int
	seen := make(map[string]bool)
	for w, free := range p.free {
		if free < g.slots || (rack >= 0 && p.rackOf[w] != rack) {
			continue
		}
		// Workers with the same free slots, in racks whose workers have the same
		// free slots, are interchangeable; trying one of them is enough.
		if key := p.stateKey(w); !seen[key] {
			seen[key] = true
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(p.free[a], p.free[b]) })
	for _, w := range candidates {
		nextRack := -1
		if g.sameRack {
			nextRack = p.rackOf[w]
		}
		p.free[w] -= g.slots
		ok := p.search(groups, i, n+1, nextRack)
		p.free[w] += g.slots
		if ok {
			return true
		}
	}
	return false
}

// stateKey encodes the free slots of a worker and, sorted, those of all workers of
// its rack.
func (p *packer) stateKey(w int) string {
	members := p.racks[p.rackOf[w]]
	b := make([]rune, 0, len(members)+1)
	for _, m := range members {
		b = append(b, rune(p.free[m]))
	}
	slices.Sort(b)
	return string(append(b, rune(p.free[w])))
}
