package scheduler

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// pass is one look at the waiting work: each job, in fair order, is placed if it
// fits, reclaims its guarantee if it may, or keeps waiting.
type pass struct {
	p      *planner
	now    time.Time
	live   map[string]targets.Target
	probes []string // targets on probation that are due a probe
	keep   map[string]int
	site   *placement.Site
	ledger *guarantee.Ledger // knows the use, not the tasks
	held   bool              // a waiting gang holds its place
	slots  int               // of all targets
	short  int               // slots in use by short work, or being reclaimed for it
}

const (
	// shortShare is the part of the site, 1/shortShare, up to which short work may
	// reclaim lent slots beyond its workspace's guarantee. It is the largest size
	// of the lane, which can be full of lent work when a burst begins.
	shortShare = 4
	// shortPayback limits such reclaims, which take seconds: a slot is reclaimed
	// only if the slots in use by short work can't serve what waits in this time.
	shortPayback = 500 * time.Millisecond
	// reserveAfter is how long a gang waits before slots are held for it. A hold
	// leaves slots idle: without any, the policy did 2.5% to 4.6% more work in the
	// measurement, so it only guards against starvation.
	reserveAfter = time.Hour
)

// pass plans all waiting work once.
func (p *planner) pass() {
	p.passMu.Lock()
	defer p.passMu.Unlock()
	now := time.Now()
	ps := p.newPass(now)
	p.queue.Scan(now, ps.visit)
}

func (p *planner) newPass(now time.Time) *pass {
	live := p.view.Live(now)
	ps := &pass{p: p, now: now, live: make(map[string]targets.Target, len(live))}
	use, short := p.useOf(now)
	ps.keep = p.laneOver(live, short, now)
	for _, n := range short {
		ps.short += n
	}
	nodes := make([]placement.Node, 0, len(live))
	for _, t := range live {
		ps.live[t.Name] = t
		ps.slots += t.Slots
		usable := t.Accepts()
		switch p.health.State(t.Name, now) {
		case health.Healthy:
		case health.ProbeDue:
			if usable && t.Free > 0 {
				ps.probes = append(ps.probes, t.Name)
			}
			usable = false
		case health.Paused:
			usable = false
		}
		nodes = append(nodes, placement.Node{
			Name: t.Name, Rack: t.Rack, DataCentre: t.DataCentre,
			Slots: t.Slots, Free: t.Free, KeepFree: ps.keep[t.Name], Unusable: !usable,
		})
	}
	ps.site = placement.NewSite(nodes)
	ps.ledger = guarantee.NewUseLedger(ps.config(), use)
	return ps
}

func (ps *pass) config() operator.Config { return ps.p.s.peers.Config.Current().Config }

// useOf returns the slots in use by workspace, and those of short work by target.
// Most passes need no more than these sums of the tasks, of which there may be
// tens of thousands.
func (p *planner) useOf(now time.Time) (use, short map[string]int) {
	use, short = make(map[string]int), make(map[string]int)
	p.view.EachUse(now, func(target string, u targets.Use) {
		use[u.Workspace] += u.Slots
		if u.Class == string(operator.ClassShort) {
			short[target] += u.Slots
		}
	})
	return use, short
}

// laneOver sizes the lane for short work, which uses the given slots by target, and
// spreads it over the targets.
func (p *planner) laneOver(live []targets.Target, short map[string]int, now time.Time) map[string]int {
	demand := p.waitingShort()
	for _, n := range short {
		demand += n
	}
	p.lane.Observe(demand, now)
	slots := 0
	lanes := make([]admission.LaneTarget, 0, len(live))
	for _, t := range live {
		if !t.Accepts() {
			continue
		}
		slots += t.Slots
		lanes = append(lanes, admission.LaneTarget{Name: t.Name, Rack: t.Rack, Slots: t.Slots, Short: short[t.Name]})
	}
	return admission.Spread(p.lane.Size(slots, now), lanes)
}

func (p *planner) waitingShort() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.waiters {
		if w.run.spec.class == operator.ClassShort {
			n += w.run.spec.shape.Slots()
		}
	}
	return n
}

// visit decides on one waiting job.
func (ps *pass) visit(it admission.Item) admission.Decision {
	w := ps.p.waiter(it.ID)
	if w == nil {
		return admission.Take // It has gone.
	}
	sp := w.run.spec
	if target, ok := ps.probe(sp); ok {
		w.probe = true
		ps.grant(w, placement.Placement{{Target: target, Slots: sp.shape.Accelerators()}}, nil)
		return admission.Take
	}
	claim := ps.ledger.IsClaim(it.Workspace, it.Class, sp.shape)
	req := ps.request(w, claim)
	if pl, ok := ps.site.Plan(req); ok {
		ps.grant(w, pl, nil)
		return admission.Take
	}
	if claim || ps.isUrgent(sp) {
		tasks := ps.p.view.Tasks(ps.now)
		if v, ok := guarantee.NewLedger(ps.config(), tasks).Victims(sp.shape, ps.siteWithout(w.avoid)); ok {
			ps.reclaim(w, tasks, v)
			return admission.Take
		}
	}
	if sp.isGang() && !ps.held && ps.now.Sub(w.since) >= reserveAfter {
		ps.hold(req)
		return admission.Skip
	}
	if !sp.isGang() && len(w.avoid) == 0 && sp.shape.Accelerators() == 1 && !claim {
		return admission.SkipClass // The others of the class need at least as much.
	}
	return admission.Skip
}

// siteWithout returns the site without the targets that a job avoids.
func (ps *pass) siteWithout(avoid []string) *placement.Site {
	if len(avoid) == 0 {
		return ps.site
	}
	site := ps.site.Clone()
	for _, name := range avoid {
		if n, ok := site.Node(name); ok {
			n.Unusable = true
			site.Update(n)
		}
	}
	return site
}

// isUrgent reports whether a short job may reclaim lent slots although its
// workspace's guarantee is in use.
func (ps *pass) isUrgent(sp spec) bool {
	if sp.class != operator.ClassShort || ps.short >= ps.slots/shortShare {
		return false
	}
	e := ps.p.book.Estimate(sp.request.Workspace, sp.request.Kind, sp.request.Declared)
	work := time.Duration(ps.p.waitingShort()) * e.Typical
	return work > shortPayback*time.Duration(max(ps.short, 1))
}

// probe returns a target on probation on which the job can be the probe: a
// small idempotent task whose failure costs little.
func (ps *pass) probe(sp spec) (string, bool) {
	if len(ps.probes) == 0 || !sp.idempotent || sp.isGang() || sp.shape.Accelerators() > 1 {
		return "", false
	}
	target := ps.probes[0]
	ps.probes = ps.probes[1:]
	return target, ps.p.health.StartProbe(target, ps.now)
}

func (ps *pass) request(w *waiter, claim bool) placement.Request {
	sp := w.run.spec
	req := placement.Request{
		Shape:   sp.shape,
		UseLane: claim || sp.class == operator.ClassShort,
		Exclude: w.avoid,
	}
	e := ps.p.book.Estimate(sp.request.Workspace, sp.request.Kind, sp.request.Declared)
	if e.High > 0 {
		req.End = ps.now.Add(e.High)
	}
	return req
}

// hold keeps the place where the first waiting gang is expected to start. Only
// work that ends before may use it.
func (ps *pass) hold(req placement.Request) {
	tasks := ps.p.view.Tasks(ps.now)
	running := make([]placement.Release, 0, len(tasks))
	for _, t := range tasks {
		left := ps.p.book.Remaining(t.Workspace, t.Kind, 0, t.Run)
		running = append(running, placement.Release{Target: t.Target, Slots: t.Slots, End: ps.now.Add(left)})
	}
	if res, ok := ps.site.Earliest(req, running, ps.now); ok {
		ps.site.Hold(res)
		ps.held = true
	}
}

// grant gives the waiter its place, or starts the reclaim that makes it free.
func (ps *pass) grant(w *waiter, pl placement.Placement, v *guarantee.Victims) {
	sp := w.run.spec
	where := place{number: w.number, lent: ps.ledger.Lends(sp.request.Workspace, sp.shape), probe: w.probe}
	ps.site.Take(pl)
	if sp.class == operator.ClassShort {
		ps.short += sp.shape.Slots()
	}
	members := grouped(pl)
	useLane := sp.class == operator.ClassShort || v != nil
	for _, m := range members {
		t := ps.live[m.target]
		keep := ps.keep[m.target]
		if useLane || ps.ledger.IsClaim(sp.request.Workspace, sp.class, sp.shape) {
			keep = 0
		}
		m.address, m.keepFree = t.Address, keep
		where.members = append(where.members, m)
	}
	hub := ps.live[members[0].target]
	for _, m := range members {
		task := targets.Task{
			Target: m.target, Job: w.run.job.ID(), Number: w.number,
			Workspace: sp.request.Workspace, Kind: sp.request.Kind, Class: string(sp.class),
			Slots: m.slots, Lent: where.lent, Members: len(members),
			Hub: targets.Hub{Target: hub.Name, Address: hub.Address, Incarnation: hub.Incarnation},
		}
		if v == nil {
			ps.p.view.Dispatched(m.target, task, ps.now)
		} else {
			ps.p.view.Claimed(m.target, task, ps.now)
		}
		ps.ledger.Add(task)
	}
	ps.p.takeWaiter(w.run.job.ID())
	if v == nil {
		w.granted <- where
		return
	}
	ps.p.startReclaim(w, where, *v)
}

// reclaim preempts the victims among the tasks and gives the waiter their place.
// The pass goes on with a new look at the targets, in which the slots of the
// victims are neither free nor available to another claim.
func (ps *pass) reclaim(w *waiter, tasks []targets.Task, v guarantee.Victims) {
	claim := targets.ID(w.run.job.ID(), w.number)
	for _, h := range v.ByHub {
		for _, a := range h.Attempts {
			for _, t := range tasks {
				if t.Job == a.Job && t.Number == a.Number {
					ps.p.view.Preempted(t.Target, t.Job, t.Number, claim, ps.now)
				}
			}
		}
	}
	ps.grant(w, v.Placement, &v)
	*ps = *ps.p.newPass(ps.now)
}
