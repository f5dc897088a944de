package policybench

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// probe starts one waiting fill task on each target on probation that is due.
func (s *sim) probe() {
	for _, t := range s.view.Live(s.now) {
		if s.tracker.State(t.Name, s.now) != health.ProbeDue || t.Free < 1 {
			continue
		}
		for _, id := range s.waitingFill() {
			j := s.jobs[id]
			if j.shape.Slots() <= t.Free && s.tracker.StartProbe(t.Name, s.now) {
				s.remove(j)
				j.probe = true
				s.dispatch(j, placement.Placement{{Target: t.Name, Slots: j.shape.Slots()}}, s.now.Add(messageTime), s.view.Dispatched)
				break
			}
		}
	}
}

func (s *sim) waitingFill() []string {
	var out []string
	for id, j := range s.jobs {
		if j.waiting && j.class == operator.ClassFill {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// defragment moves small tasks if a waiting gang then fits.
func (s *sim) defragment() {
	var gangs []*job
	for j := range s.waiting {
		if j.gang() && !s.forbidden(j) {
			gangs = append(gangs, j)
		}
	}
	slices.SortFunc(gangs, byArrival)
	for _, j := range gangs[:min(len(gangs), 5)] {
		r := s.request(j)
		r.Holder = true
		res, ok := s.site.Earliest(r, s.releases(), s.now)
		wait := 10 * time.Minute
		if ok {
			wait = res.Start.Sub(s.now)
		}
		moves, ok := s.site.Defragment(r, wait, s.movables())
		if !ok {
			continue
		}
		for _, m := range moves {
			s.figures.moves++
			s.preempt(s.jobs[m.Job], j)
			s.site.Give(placement.Placement{{Target: m.From, Slots: s.jobs[m.Job].shape.Slots()}})
		}
		if p, ok := s.plan(r); ok {
			s.remove(j)
			s.dispatch(j, p, s.now.Add(checkpointMax+stopTime+2*messageTime), s.view.Claimed)
		}
		return
	}
}

func byArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

// releases returns the expected ends of the running work.
func (s *sim) releases() []placement.Release {
	var out []placement.Release
	for _, w := range s.workers {
		for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
			n := w.tasks[id]
			out = append(out, placement.Release{Target: w.name, Slots: n, End: s.now.Add(s.left(s.jobs[id]))})
		}
	}
	return out
}

func (s *sim) movables() []placement.Movable {
	var out []placement.Movable
	for _, t := range s.view.Tasks(s.now) {
		j := s.jobs[t.Job]
		if j == nil || !j.idempotent || j.stopping || j.started.IsZero() || len(j.place) > 1 || t.Slots > slots/2 || t.Class == string(operator.ClassShort) {
			continue
		}
		out = append(out, placement.Movable{
			Job: j.id, Target: t.Target, Slots: t.Slots, Class: j.class, Restart: restartTime,
			Lost: time.Duration(checkpointFails * float64(t.SinceCheckpoint)),
		})
	}
	return out
}

// plan places a request: by the policy, or without packing on the emptiest workers.
func (s *sim) plan(r placement.Request) (placement.Placement, bool) {
	if s.variant.packing {
		return s.site.Plan(r)
	}
	domains := make(map[string][]targets.Target)
	var order []string
	for _, t := range s.view.Live(s.now) {
		domain := ""
		switch r.Shape.Adjacency() {
		case operator.AdjacentRack:
			domain = t.Rack
		case operator.AdjacentWorker:
			domain = t.Name
		case operator.AdjacentNone:
		}
		if domains[domain] == nil {
			order = append(order, domain)
		}
		domains[domain] = append(domains[domain], t)
	}
	for _, d := range order {
		if p := s.spread(r, domains[d]); p != nil {
			return p, true
		}
	}
	return nil, false
}

// spread puts each member on the emptiest worker.
func (s *sim) spread(r placement.Request, on []targets.Target) placement.Placement {
	site := s.site.Clone()
	free := func(t targets.Target) int {
		n, _ := site.Node(t.Name)
		return n.Free
	}
	var p placement.Placement
	for range r.Shape.Workers() {
		slices.SortStableFunc(on, func(a, b targets.Target) int { return cmp.Compare(free(b), free(a)) })
		placed := false
		for _, t := range on {
			one := r
			one.Shape = operator.NewShape(1, r.Shape.Accelerators())
			one.Exclude = slices.Concat(r.Exclude, s.others(t.Name))
			if m, ok := site.Plan(one); ok {
				site.Take(m)
				p, placed = append(p, m...), true
				break
			}
		}
		if !placed {
			return nil
		}
	}
	slices.SortFunc(p, func(a, b placement.Member) int { return cmp.Compare(a.Target, b.Target) })
	return p
}

func (s *sim) others(name string) []string {
	var out []string
	for _, w := range s.workers {
		if w.name != name {
			out = append(out, w.name)
		}
	}
	return out
}
