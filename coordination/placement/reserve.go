package placement

import (
	"slices"
	"time"
)

// Release is an expected end of running work.
type Release struct {
	Target string
	Slots  int
	End    time.Time // estimated; must not be in the past
}

// Held is the part of a reservation on one target.
type Held struct {
	Target string
	Slots  int // for the gang
	Spare  int // free at the start beyond Slots: open to work that ends later
}

// Reservation is the place and the expected start of a waiting gang.
type Reservation struct {
	Start     time.Time
	Held      []Held
	Placement Placement
}

// Earliest estimates when a request fits, given the ends of the running work. It
// returns false if it would not fit even after all of them.
func (s *Site) Earliest(r Request, running []Release, now time.Time) (Reservation, bool) {
	r.Holder = true
	ends := slices.Clone(running)
	slices.SortStableFunc(ends, func(a, b Release) int { return a.End.Compare(b.End) })
	// More free slots never make a shape unplaceable, so the first sufficient
	// number of ends can be searched for by halving.
	at := func(n int) (*Site, Placement) {
		c := s.Clone()
		for _, e := range ends[:n] {
			if i, ok := c.index[e.Target]; ok {
				c.addFree(i, e.Slots)
			}
		}
		p, _ := c.Plan(r)
		return c, p
	}
	if _, p := at(len(ends)); p == nil {
		return Reservation{}, false
	}
	lo, hi := 0, len(ends)
	for lo < hi {
		mid := (lo + hi) / 2
		if _, p := at(mid); p != nil {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	c, p := at(lo)
	res := Reservation{Start: now, Placement: p}
	if lo > 0 {
		res.Start = ends[lo-1].End
	}
	for _, m := range p {
		if n := len(res.Held); n > 0 && res.Held[n-1].Target == m.Target {
			res.Held[n-1].Slots += m.Slots
			res.Held[n-1].Spare -= m.Slots
			continue
		}
		res.Held = append(res.Held, Held{Target: m.Target, Slots: m.Slots, Spare: c.avail(c.index[m.Target], r) - m.Slots})
	}
	return res, true
}

// Hold keeps the reservation's slots for its gang, in place of an earlier one.
// The zero Reservation holds nothing.
func (s *Site) Hold(res Reservation) {
	s.holds, s.start = make(map[int]Held, len(res.Held)), res.Start
	for _, h := range res.Held {
		if i, ok := s.index[h.Target]; ok {
			s.holds[i] = h
		}
	}
}
