package placement

import (
	"cmp"
	"slices"

	"github.com/medlargrade/medlargrade/operator"
)

// Plan chooses a target for each member of the request's shape. It returns false
// if the shape doesn't fit now. The site is not changed.
func (s *Site) Plan(r Request) (Placement, bool) {
	w, a := r.Shape.Workers(), r.Shape.Accelerators()
	if w <= 0 || a <= 0 {
		return nil, false
	}
	var p Placement
	switch r.Shape.Adjacency() {
	case operator.AdjacentWorker:
		p = s.planWorker(r, w, a)
	case operator.AdjacentRack:
		p = s.planRack(r, w, a)
	case operator.AdjacentNone, "":
		p = s.planAnywhere(r, w, a)
	}
	if len(p) < w {
		return nil, false
	}
	slices.SortStableFunc(p, func(x, y Member) int { return cmp.Compare(x.Target, y.Target) })
	return p, true
}

// Fields of a sort key, from the most significant: how much adjacency the use of
// the node would break (2 bits), free slots of its rack (22), slots left over
// (16), and the place of the node (24).
const (
	keyClassShift = 62
	keyRackShift  = 40
	keyLeftShift  = 24
	keyIndexMask  = 1<<keyLeftShift - 1
)

// key orders nodes by what is lost by using them: first partly used workers, then
// whole workers of partly used racks, then whole racks.
func (s *Site) key(i, left int) uint64 {
	n, rk := &s.nodes[i], &s.racks[s.rack[i]]
	class := uint64(0)
	switch {
	case n.Free < n.Slots:
	case rk.free < rk.slots:
		class = 1
	default:
		class = 2
	}
	return class<<keyClassShift | uint64(min(rk.free, 1<<22-1))<<keyRackShift |
		uint64(min(max(left, 0), 1<<16-1))<<keyLeftShift | uint64(i)
}

func (s *Site) planWorker(r Request, w, a int) Placement {
	best, found := uint64(0), false
	for i := range s.nodes {
		free := s.avail(i, r)
		if free < w*a {
			continue
		}
		if k := s.key(i, free-w*a); !found || k < best {
			best, found = k, true
		}
	}
	if !found {
		return nil
	}
	return s.repeat(nil, int(best&keyIndexMask), w, a)
}

// planRack chooses the rack with the fewest slots left over.
func (s *Site) planRack(r Request, w, a int) Placement {
	best, bestLeft := -1, 0
	for k, rk := range s.racks {
		members, free := 0, 0
		for i := rk.first; i < rk.end; i++ {
			n := s.avail(i, r)
			members += n / a
			free += n
		}
		if members >= w && (best < 0 || free < bestLeft) {
			best, bestLeft = k, free
		}
	}
	if best < 0 {
		return nil
	}
	return s.fillRack(r, s.racks[best], w, a)
}

// fillRack prefers partly used workers, and among them the one that takes all
// remaining members with the least left over, or else the most members.
func (s *Site) fillRack(r Request, rk rack, w, a int) Placement {
	p := make(Placement, 0, w)
	used := make([]bool, rk.end-rk.first)
	for w > 0 {
		best, bestCap := -1, 0
		better := func(i, n int) bool {
			if best < 0 {
				return true
			}
			whole, bestWhole := s.whole(i), s.whole(best)
			if whole != bestWhole {
				return !whole
			}
			if (n >= w) != (bestCap >= w) {
				return n >= w
			}
			if n >= w {
				return n < bestCap
			}
			return n > bestCap
		}
		for i := rk.first; i < rk.end; i++ {
			if n := s.avail(i, r) / a; n > 0 && !used[i-rk.first] && better(i, n) {
				best, bestCap = i, n
			}
		}
		if best < 0 {
			return nil
		}
		used[best-rk.first] = true
		n := min(bestCap, w)
		p = s.repeat(p, best, n, a)
		w -= n
	}
	return p
}

func (s *Site) whole(i int) bool { return s.nodes[i].Free == s.nodes[i].Slots }

func (s *Site) planAnywhere(r Request, w, a int) Placement {
	if w == 1 {
		return s.planWorker(r, 1, a)
	}
	keys := make([]uint64, 0, len(s.nodes))
	for i := range s.nodes {
		if free := s.avail(i, r); free >= a {
			keys = append(keys, s.key(i, free%a))
		}
	}
	slices.Sort(keys)
	p := make(Placement, 0, w)
	for _, k := range keys {
		i := int(k & keyIndexMask)
		n := min(s.avail(i, r)/a, w-len(p))
		p = s.repeat(p, i, n, a)
		if len(p) == w {
			break
		}
	}
	return p
}

// repeat appends n members of a slots each on node i.
func (s *Site) repeat(p Placement, i, n, a int) Placement {
	for range n {
		p = append(p, Member{Target: s.nodes[i].Name, Slots: a})
	}
	return p
}
