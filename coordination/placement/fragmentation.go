package placement

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Fragmentation returns the share of free slots that can't serve the shape:
//
//	1 - U/F
//
// F is the number of free slots of usable nodes, without regard to the lane and
// to holds. U is the number of those slots that are taken if as many instances
// of the shape as possible are placed side by side: w*a times the sum over the
// domains (workers, racks or the whole site, by adjacency) of floor(m/w), where w
// and a are the shape's workers and accelerators, and m is the sum over the
// domain's nodes of floor(free/a). It is 0 if no slot is free. An empty site has
// a fragmentation above 0 if its racks are no multiples of the shape.
func (s *Site) Fragmentation(shape operator.Shape) float64 {
	w, a := shape.Workers(), shape.Accelerators()
	if w <= 0 || a <= 0 {
		return 0
	}
	free, usable := 0, 0
	for _, d := range s.domains(shape.Adjacency()) {
		members := 0
		for i := d[0]; i < d[1]; i++ {
			if n := s.nodes[i]; !n.Unusable {
				free += n.Free
				members += n.Free / a
			}
		}
		usable += members / w * w * a
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(usable)/float64(free)
}

// maxMoves bounds a proposal: each move costs a checkpoint and a restart, and the
// more of them are needed, the more likely the site changes meanwhile.
const maxMoves = 3

// Movable is a running idempotent task of a job with one member.
type Movable struct {
	Job     string
	Target  string
	Slots   int
	Class   operator.Class
	Lost    time.Duration // since the last checkpoint
	Restart time.Duration // for checkpoint and restart
}

// Move is a task that should be started on another target.
type Move struct {
	Job  string
	From string
	To   string
}

// Defragment proposes moves after which the waiting request fits. The gain is the
// slot time that the request would otherwise wait: wait times its slots. The cost
// is the slot time of the moved tasks: slots times (Lost + Restart). Moves are
// proposed only if the gain exceeds the cost.
func (s *Site) Defragment(r Request, wait time.Duration, movables []Movable) ([]Move, bool) {
	if _, ok := s.Plan(r); ok {
		return nil, false
	}
	candidates := make([]Candidate, len(movables))
	for i, m := range movables {
		candidates[i] = Candidate{
			Members: []Member{{Target: m.Target, Slots: m.Slots}},
			Cost:    (m.Lost + m.Restart).Seconds() * float64(m.Slots),
		}
	}
	chosen, p, ok := s.Clear(r, candidates, nil)
	if !ok || len(chosen) > maxMoves {
		return nil, false
	}
	after, total := s.Clone(), 0.0
	for _, k := range chosen {
		after.Give(candidates[k].Members)
		total += candidates[k].Cost
	}
	if wait.Seconds()*float64(r.Shape.Slots()) <= total {
		return nil, false
	}
	after.Take(p)
	var moves []Move
	for _, k := range chosen {
		m := movables[k]
		to, ok := after.Plan(Request{
			Shape:   operator.NewShape(1, m.Slots),
			UseLane: m.Class == operator.ClassShort,
			Exclude: []string{m.Target},
		})
		if !ok {
			return nil, false
		}
		after.Take(to)
		moves = append(moves, Move{Job: m.Job, From: m.Target, To: to[0].Target})
	}
	return moves, true
}
