package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/medlargrade/medlargrade/operator"
)

// Candidate is running work that can be removed, always with all its members.
type Candidate struct {
	Members []Member
	Tier    int     // work of a higher tier is removed only if lower tiers don't suffice
	Cost    float64 // what its removal loses, compared within a tier
	Owner   string  // whose budget its slots count against
}

func (c Candidate) slots() int {
	n := 0
	for _, m := range c.Members {
		n += m.Slots
	}
	return n
}

// Budget limits how many slots each owner may lose.
type Budget struct {
	Slots map[string]int // by owner; an owner that is absent may lose none
	// Overdraw allows a candidate to take more than what is left, as long as
	// something is left.
	Overdraw bool
}

func (b *Budget) allows(owner string, taken, slots int) bool {
	if b == nil {
		return true
	}
	left := b.Slots[owner] - taken
	return left >= slots || b.Overdraw && left > 0
}

// Clear chooses candidates whose removal makes the request placeable, adjacency
// included. It returns their indexes and the placement after the removal. No
// chosen candidate is superfluous. A nil budget sets no limit.
//
// Each domain in which the shape would be adjacent is tried: there, members are
// made room for one after the other, each on the worker where that is cheapest.
// The cheapest domain wins. This is a heuristic: it can miss a choice that meets
// the budget if cheap and expensive candidates share it.
func (s *Site) Clear(r Request, candidates []Candidate, budget *Budget) ([]int, Placement, bool) {
	w, a := r.Shape.Workers(), r.Shape.Accelerators()
	if w <= 0 || a <= 0 {
		return nil, nil, false
	}
	c := newClearing(s, r, candidates, budget)
	var best []int
	var bestCost cost
	found := false
	for _, d := range s.domains(r.Shape.Adjacency()) {
		chosen, ok := c.clear(d[0], d[1])
		if !ok {
			continue
		}
		if k := c.costOf(chosen); !found || k.less(bestCost) {
			best, bestCost, found = chosen, k, true
		}
	}
	if !found {
		return nil, nil, false
	}
	after := s.Clone()
	for _, k := range best {
		after.Give(candidates[k].Members)
	}
	p, ok := after.Plan(r)
	// A gang also frees slots in other domains, which can make the rest of the
	// choice superfluous.
	for _, k := range c.dearestFirst(best) {
		after.Take(candidates[k].Members)
		if q, fits := after.Plan(r); fits {
			p = q
			best = slices.DeleteFunc(best, func(x int) bool { return x == k })
			continue
		}
		after.Give(candidates[k].Members)
	}
	return best, p, ok
}

// domains returns the ranges of nodes in which all members must be.
func (s *Site) domains(adj operator.Adjacency) [][2]int {
	var out [][2]int
	switch adj {
	case operator.AdjacentWorker:
		for i := range s.nodes {
			out = append(out, [2]int{i, i + 1})
		}
	case operator.AdjacentRack:
		for _, rk := range s.racks {
			out = append(out, [2]int{rk.first, rk.end})
		}
	default:
		out = append(out, [2]int{0, len(s.nodes)})
	}
	return out
}

// cost is compared by tier, then by the sum of costs, then by slots.
type cost struct {
	tier  int
	sum   float64
	slots int
}

func (c cost) less(d cost) bool {
	return cmp.Or(cmp.Compare(c.tier, d.tier), cmp.Compare(c.sum, d.sum), cmp.Compare(c.slots, d.slots)) < 0
}

// clearing is the state of a search in one domain.
type clearing struct {
	site       *Site
	r          Request
	candidates []Candidate
	budget     *Budget
	onNode     [][]int // candidates by node, in the order of preference
	free       map[int]int
	taken      map[string]int // slots chosen by owner
	chosen     []int
	isChosen   map[int]bool
}

func newClearing(s *Site, r Request, candidates []Candidate, budget *Budget) *clearing {
	c := &clearing{site: s, r: r, candidates: candidates, budget: budget, onNode: make([][]int, len(s.nodes))}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := &candidates[x], &candidates[y]
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.slots(), b.slots()))
	})
	for _, k := range order {
		for _, m := range candidates[k].Members {
			i, ok := s.index[m.Target]
			if !ok {
				continue
			}
			if n := len(c.onNode[i]); n == 0 || c.onNode[i][n-1] != k {
				c.onNode[i] = append(c.onNode[i], k)
			}
		}
	}
	return c
}

// room returns the slots of a node for the request after the chosen removals.
func (c *clearing) room(i int) int {
	if c.site.nodes[i].Unusable {
		return 0
	}
	n := c.site.avail(i, c.r)
	extra := c.free[i]
	if extra == 0 {
		return n
	}
	// A lane or a hold can exceed the free slots, so the sum is taken first.
	node := c.site.nodes[i]
	node.Free += extra
	probe := Site{nodes: []Node{node}}
	if h, ok := c.site.holds[i]; ok {
		probe.holds, probe.start = map[int]Held{0: h}, c.site.start
	}
	return probe.avail(0, c.r)
}

func (c *clearing) choose(k int, sign int) {
	cand := &c.candidates[k]
	for _, m := range cand.Members {
		if i, ok := c.site.index[m.Target]; ok {
			c.free[i] += sign * m.Slots
		}
	}
	c.taken[cand.Owner] += sign * cand.slots()
	c.isChosen[k] = sign > 0
}

// clear makes room for the shape within the nodes first..end-1. Steps are cached:
// one is computed again only if a removal touched its node or used up a budget.
func (c *clearing) clear(first, end int) ([]int, bool) {
	c.free, c.taken, c.isChosen, c.chosen = map[int]int{}, map[string]int{}, map[int]bool{}, nil
	steps := make([][]int, end-first)
	costs := make([]cost, end-first)
	renew := func(i int) {
		steps[i-first], _ = c.step(i)
		costs[i-first] = c.costOf(steps[i-first])
	}
	for i := first; i < end; i++ {
		renew(i)
	}
	for !c.fits(first, end) {
		best := -1
		for i := range steps {
			if steps[i] != nil && (best < 0 || costs[i].less(costs[best])) {
				best = i
			}
		}
		if best < 0 {
			return nil, false
		}
		if !c.affordable(steps[best]) {
			renew(first + best)
			continue
		}
		step := steps[best]
		c.chosen = append(c.chosen, step...)
		for _, k := range step {
			c.choose(k, 1)
		}
		for _, k := range step {
			for _, m := range c.candidates[k].Members {
				if i, ok := c.site.index[m.Target]; ok && i >= first && i < end {
					renew(i)
				}
			}
		}
	}
	return c.pruned(first, end), true
}

// affordable reports whether the budget allows the step after all removals so far.
func (c *clearing) affordable(step []int) bool {
	taken := maps.Clone(c.taken)
	for _, k := range step {
		cand := &c.candidates[k]
		if c.isChosen[k] || !c.budget.allows(cand.Owner, taken[cand.Owner], cand.slots()) {
			return false
		}
		taken[cand.Owner] += cand.slots()
	}
	return true
}

func (c *clearing) fits(first, end int) bool {
	w, a, members := c.r.Shape.Workers(), c.r.Shape.Accelerators(), 0
	for i := first; i < end && members < w; i++ {
		members += c.room(i) / a
	}
	return members >= w
}

// step returns the cheapest removals found that make room for one more member on
// the node: either the preferred candidates one after the other, or the first
// that suffices alone.
func (c *clearing) step(i int) ([]int, bool) {
	a := c.r.Shape.Accelerators()
	want := c.room(i)/a + 1
	if want*a > c.site.nodes[i].Slots || c.site.nodes[i].Unusable {
		return nil, false
	}
	var several []int
	var single []int
	done := false
	for _, k := range c.onNode[i] {
		cand := &c.candidates[k]
		if c.isChosen[k] || !c.budget.allows(cand.Owner, c.taken[cand.Owner], cand.slots()) {
			continue
		}
		c.choose(k, 1)
		several = append(several, k)
		if c.room(i)/a >= want {
			done = true
			break
		}
	}
	for _, k := range several {
		c.choose(k, -1)
	}
	for _, k := range c.onNode[i] {
		cand := &c.candidates[k]
		if c.isChosen[k] || !c.budget.allows(cand.Owner, c.taken[cand.Owner], cand.slots()) {
			continue
		}
		c.choose(k, 1)
		enough := c.room(i)/a >= want
		c.choose(k, -1)
		if enough {
			single = []int{k}
			break
		}
	}
	switch {
	case !done:
		return single, single != nil
	case single != nil && c.costOf(single).less(c.costOf(several)):
		return single, true
	}
	return several, true
}

// pruned drops chosen candidates that turned out not to be needed, the most
// expensive first.
func (c *clearing) pruned(first, end int) []int {
	var out []int
	for _, k := range c.dearestFirst(c.chosen) {
		c.choose(k, -1)
		if !c.fits(first, end) {
			c.choose(k, 1)
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func (c *clearing) dearestFirst(chosen []int) []int {
	out := slices.Clone(chosen)
	slices.SortStableFunc(out, func(x, y int) int {
		a, b := &c.candidates[x], &c.candidates[y]
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), cmp.Compare(b.Cost, a.Cost), cmp.Compare(b.slots(), a.slots()))
	})
	return out
}

func (c *clearing) costOf(chosen []int) cost {
	var out cost
	for _, k := range chosen {
		cand := &c.candidates[k]
		out.tier = max(out.tier, cand.Tier)
		out.sum += cand.Cost
		out.slots += cand.slots()
	}
	return out
}
