package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/contention"
	"github.com/medlargrade/medlargrade/operator"
)

// observeArrival adds the accelerators of a step of urgent work whose turn has come to the
// estimate of arrivals.
func (p *Planner) observeArrival(s *step, k *operator.Kind, now time.Time) {
	if !p.settings.Policy.AdaptiveRoom {
		return
	}
	if p.arrivals == nil {
		p.arrivals = contention.NewArrivals(now)
	}
	need := taskResources(s.spec)
	if !isUrgent(k) || need.accelerators == 0 || s.done() || s.spec.LongRunning {
		return
	}
	class := contention.Class{Pool: k.Pool(), Kind: k.Name()}
	p.arrivals.Observe(class, p.amountOf(need, len(s.tasks)), p.runTime(s.occ.job.job.Kind, s.spec), now)
}

// wholeWorkerShare is the share of the accelerators of a worker above which a task needs a
// whole free worker, since two such tasks don't fit on one.
const wholeWorkerShare = 0.5

// amountOf returns the capacity that tasks need. Only tasks that need more than
// wholeWorkerShare of the largest worker count as whole workers.
func (p *Planner) amountOf(each resources, tasks int) contention.Amount {
	a := contention.Amount{Accelerators: tasks * each.accelerators}
	if float64(each.accelerators) > wholeWorkerShare*float64(p.largestWorker()) {
		a.Workers = tasks
	}
	return a
}

// largestWorker returns the highest number of accelerators of a worker.
func (p *Planner) largestWorker() int {
	if p.room.largestWorker == 0 {
		for _, t := range p.sortedTargets {
			p.room.largestWorker = max(p.room.largestWorker, t.capacity.accelerators)
		}
	}
	return p.room.largestWorker
}

// roomState caches what is computed once a pass.
type roomState struct {
	largestWorker int
	sites         map[requirement]*roomSite
}

// roomSite is the room for urgent work on the targets that meet a requirement.
type roomSite struct {
	site          contention.Site
	cheap, costly contention.Amount
}

// roomOf returns the room for urgent work on targets, as of the current pass.
func (p *Planner) roomOf(u unit, s *eligibleTargets, now time.Time) *roomSite {
	q := requirement{pool: u.kind.Pool(), label: u.step.spec.Label}
	if r := p.room.sites[q]; r != nil {
		return r
	}
	r := &roomSite{}
	for _, t := range s.targets {
		r.site.Total = r.site.Total.Plus(contention.Amount{Accelerators: t.capacity.accelerators, Workers: 1})
		for o := range t.runs {
			if o.stopReason == "" && isUrgent(p.kindOf(o.task.step.occ.job)) {
				r.site.UrgentInUse = r.site.UrgentInUse.Plus(p.amountOf(o.resources, 1))
			}
		}
	}
	for _, c := range p.claims {
		if isUrgent(c.unit.kind) {
			r.site.UrgentInUse = r.site.UrgentInUse.Plus(p.amountOf(c.unit.resources, len(c.unit.tasks)))
		}
	}
	d := p.arrivals.Demand(q.pool, now)
	r.cheap, r.costly = d.Room(r.site, false), d.Room(r.site, true)
	p.logRoom(q.pool, r, d, now)
	if p.room.sites == nil {
		p.room.sites = make(map[requirement]*roomSite)
	}
	p.room.sites[q] = r
	return r
}

// roomLogInterval is the least time between two log lines about the room in a pool.
const roomLogInterval = 10 * time.Second

// roomOfPool is the room in a pool as last computed.
type roomOfPool struct {
	*roomSite
	demand   contention.Demand
	loggedAt time.Time
}

// logRoom keeps the room in a pool for dumps, and logs it every roomLogInterval.
func (p *Planner) logRoom(pool string, r *roomSite, d contention.Demand, now time.Time) {
	if p.rooms == nil {
		p.rooms = make(map[string]*roomOfPool)
	}
	last := p.rooms[pool]
	if last == nil {
		last = &roomOfPool{}
		p.rooms[pool] = last
	}
	last.roomSite, last.demand = r, d
	p.settings.Metrics.GetOrCreateGauge(`medlargrade_room_accelerators{pool="`+pool+`"}`, nil).Set(float64(r.costly.Accelerators))
	if now.Sub(last.loggedAt) < roomLogInterval {
		return
	}
	last.loggedAt = now
	p.log.Info().Int("Event", EventRoom).Str("Pool", pool).Bool("Known", d.Known).Int("Accelerators", r.costly.Accelerators).
		Int("Workers", r.costly.Workers).Int("CheapAccelerators", r.cheap.Accelerators).Int("CheapWorkers", r.cheap.Workers).
		Float64("MeanUse", d.Accelerators.Mean).Int("PeakUse", d.Accelerators.Peak).Int("UrgentInUse", r.site.UrgentInUse.Accelerators).
		Msg("room kept free for urgent work")
}

// RoomState is the capacity of a pool that is kept free for urgent work.
type RoomState struct {
	Pool              string
	Known             bool // enough time has passed to estimate it
	Accelerators      int  // left free by work that is costly to stop
	Workers           int
	CheapAccelerators int // left free by work that is cheap to stop
	CheapWorkers      int
	MeanUse           float64 // estimated use by urgent work
	PeakUse           int
	UrgentInUse       int
}

// roomStates returns the room in each pool, as of the last pass that needed it.
func (p *Planner) roomStates() []RoomState {
	var out []RoomState
	for _, pool := range slices.Sorted(maps.Keys(p.rooms)) {
		r := p.rooms[pool]
		out = append(out, RoomState{
			Pool: pool, Known: r.demand.Known, Accelerators: r.costly.Accelerators, Workers: r.costly.Workers,
			CheapAccelerators: r.cheap.Accelerators, CheapWorkers: r.cheap.Workers,
			MeanUse: r.demand.Accelerators.Mean, PeakUse: r.demand.Accelerators.Peak, UrgentInUse: r.site.UrgentInUse.Accelerators,
		})
	}
	return out
}

const (
	// cheapRunTime is the predicted run time up to which work without checkpoints is cheap to
	// stop: it frees its capacity soon by itself.
	cheapRunTime = 1500 * time.Millisecond
	// idleSiteWait is how long a unit waits for room while half of the accelerators are
	// available, or not in use. It is half of the 3 s for which a job may wait while less
	// than half of the capacity is in use.
	idleSiteWait = 1500 * time.Millisecond
)

// mustKeepAdaptiveRoom is mustKeepHeadroom with the room that recent arrivals of urgent
// work ask for. Work that will end too late to be worth anything leaves the room as well.
func (p *Planner) mustKeepAdaptiveRoom(u unit, s *eligibleTargets, now time.Time) bool {
	if isUrgent(u.kind) || u.resources.accelerators == 0 {
		return false
	}
	runTime := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	if u.tier == tierLate || u.tier == tierOnTime && u.objectiveEnd.Sub(now) < time.Duration(headroomSlack*float64(runTime)) {
		return false
	}
	free := p.freeFor(u, s)
	site := p.roomOf(u, s, now)
	if now.Sub(u.waitingSince) >= idleSiteWait && (free.total >= site.site.Total.Accelerators/2 || p.isHalfIdle(u)) {
		return false
	}
	room := site.costly
	if u.step.spec.Checkpointable || runTime <= cheapRunTime {
		room = site.cheap
	}
	left := free.after(u)
	if left.Accelerators >= room.Accelerators && (left.Workers >= room.Workers || left.Workers == free.workers) {
		return false
	}
	return !p.isGuaranteed(u)
}

// isHalfIdle reports whether at most half of the accelerators of all workers that meet the requirement
// of a unit are in use. Workers that drain, are paused or can't be reached are a part of the capacity
// of a service, although nothing is started on them.
func (p *Planner) isHalfIdle(u unit) bool {
	used, total := 0, 0
	for _, t := range p.sortedTargets {
		if p.meetsRequirement(t, u) {
			used += t.used.accelerators
			total += t.capacity.accelerators
		}
	}
	return 2*used <= total
}

// freeCapacity is what is available on a set of targets.
type freeCapacity struct {
	total   int // accelerators
	workers int // whole free workers
	partial int // tasks of the unit that fit on workers that are partly in use
	whole   int // tasks of the unit that fit on a whole free worker
}

func (p *Planner) freeFor(u unit, s *eligibleTargets) freeCapacity {
	var f freeCapacity
	limit := u.maxPerWorker()
	for _, t := range s.targets {
		a := t.available()
		f.total += max(a.accelerators, 0)
		if a == t.capacity {
			f.workers++
			f.whole = max(f.whole, a.maxCount(u.resources, limit))
		} else {
			f.partial += a.maxCount(u.resources, limit)
		}
	}
	return f
}

// after returns what is left once the unit is placed with a best fit.
func (f freeCapacity) after(u unit) contention.Amount {
	left := contention.Amount{Accelerators: f.total - len(u.tasks)*u.resources.accelerators, Workers: f.workers}
	if rest := len(u.tasks) - f.partial; rest > 0 {
		left.Workers -= (rest + max(f.whole, 1) - 1) / max(f.whole, 1)
	}
	return left
}
