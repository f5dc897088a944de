package policybench

import (
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/coordination/runtimes"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// Limits of the entry's scheduler.
const (
	missesPerClass = 20 // items of a class and workspace that are tried in vain per pass
	claimPayback   = 500 * time.Millisecond
	claimPatience  = 300 * time.Millisecond
	// A reservation leaves slots idle, so it is made only for a gang that has waited
	// this long, as a guard against starvation.
	reserveAfter = time.Hour
	backoff      = 50 * time.Millisecond // after a refusal by a target
)

// arrive admits a job.
func (s *sim) arrive(j *job) {
	s.retries.First(s.now)
	s.jobs[j.id] = j
	if !s.enqueue(j, false) {
		s.figures.refused[j.class]++
		delete(s.jobs, j.id)
		return
	}
	if j.class == operator.ClassShort {
		s.addDemand(1)
		s.at(s.now.Add(shortDeadline), func() { s.abandon(j) })
	}
	s.pass(j.class == operator.ClassShort)
}

// abandon drops short work whose caller has given up.
func (s *sim) abandon(j *job) {
	if !j.waiting {
		return
	}
	s.remove(j)
	delete(s.jobs, j.id)
	s.addDemand(-1)
	s.figures.shortWait(s, j, shortDeadline)
	s.figures.refused[j.class]++
}

func (s *sim) addDemand(n int) {
	s.demand += n
	s.lane.Observe(s.demand, s.now)
}

func (s *sim) enqueue(j *job, front bool) bool {
	ok := true
	switch {
	case !s.variant.fair && front:
		s.fifo = slices.Insert(s.fifo, 0, j)
	case !s.variant.fair:
		s.fifo = append(s.fifo, j)
	default:
		it := admission.Item{
			ID: j.id, Workspace: j.workspace, Class: j.class, Enqueued: s.now,
			Cost: float64(j.shape.Slots()) * s.estimate(j).Typical.Seconds(),
		}
		if front {
			ok = s.queue.PushFront(it)
		} else {
			_, ok = s.queue.Push(it, s.now)
		}
	}
	if ok {
		s.setWaiting(j, true)
	}
	return ok
}

// requeue puts stopped or refused work at the front.
func (s *sim) requeue(j *job) {
	s.enqueue(j, true)
	s.pass(false)
}

func (s *sim) remove(j *job) {
	if s.variant.fair {
		s.queue.Remove(j.id)
	} else if i := slices.Index(s.fifo, j); i >= 0 {
		s.fifo = slices.Delete(s.fifo, i, i+1)
	}
	s.setWaiting(j, false)
}

func (s *sim) setWaiting(j *job, waiting bool) {
	if j.waiting == waiting {
		return
	}
	j.waiting = waiting
	switch {
	case j.class == operator.ClassShort && waiting:
		s.shorts[j.workspace]++
	case j.class == operator.ClassShort:
		if s.shorts[j.workspace]--; s.shorts[j.workspace] == 0 {
			delete(s.shorts, j.workspace)
		}
	case j.class == operator.ClassLong && waiting:
		s.waiting[j] = true
	default:
		delete(s.waiting, j)
	}
}

// notRun takes back a dispatch that no worker ran.
func (s *sim) notRun(j *job) {
	for _, m := range j.place {
		s.view.Freed(m.Target, j.id, j.number, s.now)
	}
	s.dirty = true
	s.at(s.now.Add(backoff), func() { s.requeue(j) })
}

// freed runs after a job has ended. The slot of short work is in the lane or will
// be found by the next pass.
func (s *sim) freed(j *job) {
	short := j.class == operator.ClassShort
	if short {
		s.addDemand(-1)
	}
	s.pass(short)
}

func (s *sim) estimate(j *job) runtimes.Estimate {
	if s.variant.learned {
		return s.book.Estimate(j.workspace, j.kind, j.declared)
	}
	return runtimes.Estimate{Typical: j.declared, High: j.declared}
}

// left estimates how much longer a running job takes.
func (s *sim) left(j *job) time.Duration {
	elapsed := s.now.Sub(j.started)
	if s.variant.learned {
		return s.book.Remaining(j.workspace, j.kind, j.declared, elapsed)
	}
	return max(j.declared-elapsed, time.Second)
}

// refresh builds the pass's state from the view.
func (s *sim) refresh() {
	live := s.view.Live(s.now)
	tasks := s.view.Tasks(s.now)
	short := make(map[string]int)
	for i, t := range tasks {
		j := s.jobs[t.Job]
		if t.Class == string(operator.ClassShort) {
			short[t.Target] += t.Slots
		}
		if s.variant.demote && j != nil && j.idempotent && s.book.Straggler(t.Workspace, t.Kind, t.Run) {
			tasks[i].Class = string(operator.ClassFill)
		}
	}
	s.ledger = guarantee.NewLedger(s.cfg, tasks)
	s.ledger.SetIdempotent(func(t targets.Task) bool {
		j := s.jobs[t.Job]
		return j == nil || j.idempotent
	})
	keep := s.keepFree(live, short)
	nodes := make([]placement.Node, len(live))
	for i, t := range live {
		nodes[i] = placement.Node{Name: t.Name, Rack: t.Rack, DataCentre: t.DataCentre, Slots: t.Slots, Free: t.Free, KeepFree: keep[t.Name]}
		if !t.Accepts() || s.variant.health && s.tracker.State(t.Name, s.now) != health.Healthy {
			nodes[i].Unusable = true
		}
	}
	s.site = placement.NewSite(nodes)
	s.dirty = false
}

func (s *sim) keepFree(live []targets.Target, short map[string]int) map[string]int {
	if !s.variant.lane {
		return nil
	}
	lt := make([]admission.LaneTarget, len(live))
	total := 0
	for i, t := range live {
		lt[i] = admission.LaneTarget{Name: t.Name, Rack: t.Rack, Slots: t.Slots, Short: short[t.Name]}
		total += t.Slots
	}
	size := s.lane.Size(total, s.now)
	if s.variant.laneParts > 0 {
		size = total / s.variant.laneParts
	}
	return admission.Spread(size, lt)
}

// reserve holds slots for the oldest waiting gang.
func (s *sim) reserve() {
	if !s.variant.reserve {
		return
	}
	var oldest *job
	for j := range s.waiting {
		if j.gang() && s.now.Sub(j.arrived) >= s.variant.patience && (oldest == nil || byArrival(j, oldest) < 0) && !s.forbidden(j) {
			oldest = j
		}
	}
	if oldest == nil {
		return
	}
	if res, ok := s.site.Earliest(s.request(oldest), s.releases(), s.now); ok {
		s.site.Hold(res)
	}
}

// forbidden reports whether the variant doesn't lend the job's slots.
func (s *sim) forbidden(j *job) bool {
	return !s.variant.lending && s.ledger.Lends(j.workspace, j.shape)
}

func (s *sim) request(j *job) placement.Request {
	end := s.estimate(j).High
	return placement.Request{Shape: j.shape, UseLane: j.class == operator.ClassShort, End: s.now.Add(end), Exclude: j.exclude}
}

// pass tries to start waiting work in order.
func (s *sim) pass(shortOnly bool) {
	if shortOnly && len(s.shorts) == 0 {
		return
	}
	if !shortOnly || s.dirty {
		s.refresh()
	}
	if !shortOnly {
		s.reserve() // short work ends before any reservation starts
	}
	s.misses = make(map[[2]string]int)
	if !s.variant.fair {
		for _, j := range slices.Clone(s.fifo) {
			if s.misses[[2]string{j.workspace, string(j.class)}] < missesPerClass && (!shortOnly || j.class == operator.ClassShort) && s.try(j) {
				s.remove(j)
			}
		}
		return
	}
	s.queue.Scan(s.now, func(it admission.Item) admission.Decision {
		j := s.jobs[it.ID]
		if shortOnly && j.class != operator.ClassShort {
			return admission.SkipWorkspace
		}
		if s.try(j) {
			s.setWaiting(j, false)
			return admission.Take
		}
		if s.misses[[2]string{j.workspace, string(j.class)}] >= missesPerClass {
			return admission.SkipClass
		}
		return admission.Skip
	})
}

// try starts a job if it fits, by preemption if need be.
func (s *sim) try(j *job) bool {
	miss := func() bool {
		n := 1
		if j.class == operator.ClassShort && len(j.exclude) == 0 {
			n = missesPerClass // all have the same shape
		}
		s.misses[[2]string{j.workspace, string(j.class)}] += n
		return false
	}
	if s.forbidden(j) {
		return miss()
	}
	r := s.request(j)
	claim := s.ledger.IsClaim(j.workspace, j.class, j.shape)
	p, ok := s.plan(r)
	if claim && !ok {
		r.UseLane, r.Holder = true, true
		p, ok = s.plan(r)
	}
	s.figures.offered(s, j, ok)
	reclaim := claim && s.variant.claims
	// The lane may be restored from lent work, up to its largest size.
	if j.class == operator.ClassShort && s.variant.laneClaims && s.reclaiming() < workers*slots/4 {
		reclaim = true
	}
	switch {
	case !claim:
		j.claimed = time.Time{}
	case j.claimed.IsZero():
		j.claimed = s.now
	}
	if ok {
		s.dispatch(j, p, s.now.Add(messageTime), s.view.Dispatched)
		return true
	}
	if !reclaim || !s.worthClaim(j, claim) {
		return miss()
	}
	v, ok := s.ledger.Victims(j.shape, s.site)
	if !ok {
		s.figures.noVictims++
		return miss()
	}
	end := s.now
	for _, h := range v.ByHub {
		for _, a := range h.Attempts {
			if t := s.preempt(s.jobs[a.Job], j); t.After(end) {
				end = t
			}
		}
	}
	s.dispatch(j, v.Placement, end.Add(messageTime), s.view.Claimed)
	s.refresh()
	return true
}

// reclaiming returns the slots that are in use by short work or being reclaimed for
// it.
func (s *sim) reclaiming() int {
	n := s.demand
	for _, w := range s.shorts {
		n -= w
	}
	return n
}

// worthClaim limits preemption by short work. It takes seconds, so a slot is
// reclaimed only if the slots in use by short work can't serve what waits within
// claimPayback. A claim that has waited for
// claimPatience is met in any case, to keep the reclaim bound.
func (s *sim) worthClaim(j *job, claim bool) bool {
	if j.class != operator.ClassShort {
		return true
	}
	if claim && s.now.Sub(j.claimed) >= claimPatience {
		return true
	}
	waiting := 0
	for _, n := range s.shorts {
		waiting += n
	}
	work := float64(waiting) * s.estimate(j).Typical.Seconds()
	return work > claimPayback.Seconds()*float64(max(s.reclaiming(), 1))
}

// dispatch sends a job to its place, to be started at the given time. record tells
// the view.
func (s *sim) dispatch(j *job, p placement.Placement, at time.Time, record func(string, targets.Task, time.Time)) {
	j.number++
	j.place = p
	need := make(map[string]int)
	for _, m := range p {
		need[m.Target] += m.Slots
	}
	for name, n := range need {
		t := s.task(j, n)
		record(name, t, s.now)
		t.Target = name
		s.ledger.Add(t)
	}
	s.site.Take(p)
	number := j.number
	s.at(at, func() {
		if j.number == number {
			s.start(j)
		}
	})
}

// periodic runs with each heartbeat: a full pass, probes, and moves.
func (s *sim) periodic() {
	s.pass(false)
	if s.variant.health {
		s.probe()
	}
	if s.variant.defrag && s.now.Sub(s.begin)%(30*time.Second) == 0 {
		s.defragment()
	}
	if s.now.Sub(s.begin)%time.Minute == 0 {
		s.figures.sample(s)
	}
}
