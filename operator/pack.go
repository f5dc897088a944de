package operator

import (
	"cmp"
	"slices"
)

// maxPackSteps bounds the exact search for a packing. 20,000 steps take some
// 10 ms at the example deployments; greedy packing needs none of them.
const maxPackSteps = 20_000

// maxExactTasks is the number of tasks up to which the exact search is tried.
const maxExactTasks = 512

// packing is the result of a search for a simultaneous placement.
type packing int

const (
	packed    packing = iota
	unpacked          // there is no placement
	undecided         // none was found within the limits of the search
)

// packTask is a group of equal tasks that goes to one rack or anywhere.
type packTask struct {
	slots int // of one task
	count int
	rack  bool // all tasks in one rack
}

// pack decides whether an empty site holds all shapes at the same time. Tasks of
// a shape may share a worker, as in Site.Fits. Shapes must be valid.
func pack(s Site, shapes []Shape) packing {
	var racks []int
	for _, d := range s.dataCentres {
		for _, r := range d.racks {
			racks = append(racks, r.workers)
		}
	}
	return packRacks(racks, s.slotsPerWorker, shapes)
}

func packRacks(rackWorkers []int, slotsPerWorker int, shapes []Shape) packing {
	var tasks []packTask
	slots, count := 0, 0
	for _, s := range shapes {
		slots += s.Slots()
		t := packTask{slots: s.accelerators, count: s.workers, rack: s.adjacency == AdjacentRack}
		if s.adjacency == AdjacentWorker {
			t = packTask{slots: s.Slots(), count: 1}
		}
		tasks = append(tasks, t)
		count += t.count
	}
	workers := 0
	for _, n := range rackWorkers {
		workers += n
	}
	if slots > workers*slotsPerWorker {
		return unpacked
	}
	bySize := func(a, b packTask) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), compareBool(b.rack, a.rack), cmp.Compare(b.count, a.count))
	}
	rackFirst := func(a, b packTask) int {
		return cmp.Or(compareBool(b.rack, a.rack), cmp.Compare(b.slots*b.count, a.slots*a.count), bySize(a, b))
	}
	for _, order := range []func(a, b packTask) int{rackFirst, bySize} {
		slices.SortFunc(tasks, order)
		if newPacker(rackWorkers, slotsPerWorker).greedy(tasks) {
			return packed
		}
	}
	if count > maxExactTasks {
		return undecided
	}
	p := newPacker(rackWorkers, slotsPerWorker)
	switch {
	case p.search(tasks, 0, 0, -1):
		return packed
	case p.steps >= maxPackSteps:
		return undecided
	}
	return unpacked
}

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
	bySize [][]int // workers by free slots; entries whose worker has changed are stale
	steps  int
}

func newPacker(rackWorkers []int, slotsPerWorker int) *packer {
	p := &packer{bySize: make([][]int, slotsPerWorker+1)}
	for r, n := range rackWorkers {
		var members []int
		for range n {
			w := len(p.free)
			p.free = append(p.free, slotsPerWorker)
			p.rackOf = append(p.rackOf, r)
			members = append(members, w)
			p.bySize[slotsPerWorker] = append(p.bySize[slotsPerWorker], w)
		}
		p.racks = append(p.racks, members)
	}
	return p
}

func (p *packer) take(w, slots int) {
	p.free[w] -= slots
	p.bySize[p.free[w]] = append(p.bySize[p.free[w]], w)
}

// greedy places every task on the fullest worker that holds it, and a group of
// one rack in the fullest rack that holds it.
func (p *packer) greedy(tasks []packTask) bool {
	for _, t := range tasks {
		if t.rack {
			if !p.greedyRack(t) {
				return false
			}
			continue
		}
		for range t.count {
			w := p.fullest(t.slots)
			if w < 0 {
				return false
			}
			p.take(w, t.slots)
		}
	}
	return true
}

func (p *packer) greedyRack(t packTask) bool {
	best, bestFree := -1, 0
	for r, members := range p.racks {
		room, free := 0, 0
		for _, w := range members {
			room += p.free[w] / t.slots
			free += p.free[w]
		}
		if room >= t.count && (best < 0 || free < bestFree) {
			best, bestFree = r, free
		}
	}
	if best < 0 {
		return false
	}
	members := slices.SortedFunc(slices.Values(p.racks[best]), func(a, b int) int { return cmp.Compare(p.free[a], p.free[b]) })
	left := t.count
	for _, w := range members {
		n := min(left, p.free[w]/t.slots)
		if n > 0 {
			p.take(w, n*t.slots)
			left -= n
		}
	}
	return true
}

// fullest returns the worker with the fewest free slots that holds a task, or -1.
func (p *packer) fullest(slots int) int {
	for size := slots; size < len(p.bySize); size++ {
		list := p.bySize[size]
		for len(list) > 0 {
			w := list[len(list)-1]
			if p.free[w] == size {
				p.bySize[size] = list
				return w
			}
			list = list[:len(list)-1]
		}
		p.bySize[size] = list
	}
	return -1
}

// search places task n of group i and all later ones by backtracking. Rack is
// the rack of the group, or -1 if it is still free.
func (p *packer) search(tasks []packTask, i, n, rack int) bool {
	if i < len(tasks) && n == tasks[i].count {
		i, n, rack = i+1, 0, -1
	}
	if i == len(tasks) {
		return true
	}
	if p.steps >= maxPackSteps {
		return false
	}
	p.steps++
	t := tasks[i]
	var candidates []int
	seen := make(map[string]bool)
	for w, free := range p.free {
		if free < t.slots || (rack >= 0 && p.rackOf[w] != rack) {
			continue
		}
		// Workers with the same free slots in racks of the same state are
		// interchangeable; one of them is enough.
		if key := p.signature(w); !seen[key] {
			seen[key] = true
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(p.free[a], p.free[b]) })
	for _, w := range candidates {
		next := -1
		if t.rack {
			next = p.rackOf[w]
		}
		p.free[w] -= t.slots
		ok := p.search(tasks, i, n+1, next)
		p.free[w] += t.slots
		if ok {
			return true
		}
	}
	return false
}

// signature names the state of a worker and of its rack.
func (p *packer) signature(w int) string {
	members := p.racks[p.rackOf[w]]
	b := make([]rune, 0, len(members)+1)
	for _, m := range members {
		b = append(b, rune(p.free[m]))
	}
	slices.Sort(b)
	return string(append(b, rune(p.free[w])))
}
