package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/coordination/runtimes"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/targets"
)

const (
	// planPeriod is how often waiting work is planned without an event, so that
	// estimates and probations that depend on time take effect.
	planPeriod = 500 * time.Millisecond
	// planPause spaces the passes that events cause while work waits. A burst of
	// submissions is planned in a few passes, not in one each.
	planPause = 2 * time.Millisecond
)

// place is where an attempt runs.
type place struct {
	number  uint32
	members []member // the hub first
	lent    bool
	probe   bool // the target is on probation
}

// member is the part of a gang on one target.
type member struct {
	target   string
	address  string
	slots    int // of all its tasks
	tasks    int
	keepFree int // slots that must stay free for short work
}

func (p place) targets() []string {
	names := make([]string, len(p.members))
	for i, m := range p.members {
		names[i] = m.target
	}
	return names
}

// waiter is a job that waits for a place for its next attempt.
type waiter struct {
	run    *run
	number uint32
	avoid  []string
	front  bool // it was admitted before
	probe  bool // it probes a target on probation

	since   time.Time
	granted chan place
	refused chan outcome.NotRun
}

// planner decides which waiting job is tried next and where. All decisions are
// taken in passes, one at a time.
type planner struct {
	s      *Scheduler
	view   *targets.View
	book   *runtimes.Book
	health *health.Tracker
	budget *admission.RetryBudget
	lane   *admission.Lane
	queue  *admission.Queue
	events chan struct{} // asks for a pass

	// Lock order: passMu or configMu, then the lock of queue, then mu. A pass
	// holds the lock of queue while it decides on the waiters, so no method of
	// queue is called under mu.

	passMu sync.Mutex // held during a pass

	configMu   sync.Mutex // held while the queue is configured
	generation uint64     // that the queue is configured for
	configured bool

	mu      sync.Mutex
	waiters map[string]*waiter // by job ID; a queued job is always among them
}

func newPlanner(s *Scheduler) *planner {
	return &planner{
		s:       s,
		view:    new(targets.View),
		book:    new(runtimes.Book),
		health:  new(health.Tracker),
		budget:  new(admission.RetryBudget),
		lane:    new(admission.Lane),
		queue:   admission.NewQueue(operator.Config{}),
		events:  make(chan struct{}, 1),
		waiters: make(map[string]*waiter),
	}
}

// kick asks for a pass.
func (p *planner) kick() {
	select {
	case p.events <- struct{}{}:
	default:
	}
}

// run makes passes until ctx ends.
func (p *planner) run(ctx context.Context) {
	t := time.NewTicker(planPeriod)
	defer t.Stop()
	for {
		changed := p.s.peers.Config.Changed()
		select {
		case <-p.events:
		case <-t.C:
		case <-changed:
			p.configure()
		case <-ctx.Done():
			return
		}
		if p.queue.Len("") > 0 {
			p.pass()
			sleep(ctx, planPause)
		}
	}
}

// configure takes over the workspaces of the current configuration and refuses
// the jobs of workspaces that are gone.
func (p *planner) configure() {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	snap := p.s.peers.Config.Current()
	if p.configured && snap.Generation == p.generation {
		return
	}
	p.configured, p.generation = true, snap.Generation
	for _, it := range p.queue.Configure(snap.Config) {
		if w := p.takeWaiter(it.ID); w != nil {
			w.refused <- outcome.NotRun{Reason: outcome.ReasonConfigChanged, Detail: "the workspace was removed"}
		}
	}
}

// retry takes a retry from the entry's budget.
func (p *planner) retry() bool { return p.budget.Retry(time.Now()) }

// acquire waits for a place for an attempt. It returns a refusal if the job
// can't be queued or ctx ends first.
func (p *planner) acquire(ctx context.Context, w *waiter) (place, *outcome.NotRun) {
	now := time.Now()
	w.since = now
	w.granted = make(chan place, 1)
	w.refused = make(chan outcome.NotRun, 1)
	first, refusal := p.enqueue(w, now)
	if refusal != nil {
		return place{}, refusal
	}
	if first {
		p.pass()
	} else {
		p.kick()
	}
	select {
	case where := <-w.granted:
		p.s.meter.waited(w, time.Since(w.since))
		return where, nil
	case refusal := <-w.refused:
		return place{}, &refusal
	case <-ctx.Done():
	}
	p.drop(w)
	select {
	case where := <-w.granted:
		p.release(w.run, where, notRunResult{detail: "the job ended before it was sent"})
	default:
	}
	ended, ok := w.run.ended(ctx).(outcome.NotRun)
	if !ok {
		return place{}, refuse(outcome.ReasonDeadline, "the job ended before it was sent")
	}
	return place{}, &ended
}

// enqueue adds the waiter. It reports whether it is the only one.
func (p *planner) enqueue(w *waiter, now time.Time) (only bool, refusal *outcome.NotRun) {
	p.configure()
	r := w.run
	estimate := p.book.Estimate(r.spec.request.Workspace, r.spec.request.Kind, r.spec.request.Declared)
	it := admission.Item{
		ID:        r.job.ID(),
		Workspace: r.spec.request.Workspace,
		Class:     r.spec.class,
		Cost:      float64(r.spec.shape.Slots()) * estimate.Typical.Seconds(),
		Enqueued:  now,
	}
	if d := r.spec.request.Deadline; d > 0 {
		it.Deadline = r.job.Created().Add(d)
	}
	only = p.addWaiter(it.ID, w)
	if w.front {
		if !p.queue.PushFront(it) {
			p.takeWaiter(it.ID)
			return false, refuse(outcome.ReasonConfigChanged, "the workspace was removed")
		}
		return only, nil
	}
	p.budget.First(now)
	if refusal, ok := p.queue.Push(it, now); !ok {
		p.takeWaiter(it.ID)
		p.s.meter.refused(refusal.Reason)
		return false, &refusal
	}
	return only, nil
}

// addWaiter stores the waiter of a job. It reports whether it is the only one.
func (p *planner) addWaiter(id string, w *waiter) (only bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[id] = w
	return len(p.waiters) == 1
}

// takeWaiter removes the waiter of a job and returns it, or nil.
func (p *planner) takeWaiter(id string) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiters[id]
	delete(p.waiters, id)
	return w
}

// drop takes a waiter out of the queue.
func (p *planner) drop(w *waiter) {
	// A pass that is under way may be granting the waiter; let it finish.
	p.passMu.Lock()
	defer p.passMu.Unlock()
	// A job has one waiter at a time, so this is w if it has not been granted.
	id := w.run.job.ID()
	if p.takeWaiter(id) != nil {
		p.queue.Remove(id)
	}
}

func (p *planner) waiter(id string) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiters[id]
}

// release frees the place of an attempt that has ended and learns from its end.
func (p *planner) release(r *run, where place, res result) {
	now := time.Now()
	for _, m := range where.members {
		p.view.Freed(m.target, r.job.ID(), where.number, now)
	}
	req := r.spec.request
	switch res := res.(type) {
	case ranResult:
		o := health.Succeeded
		if res.answer.Failed {
			o = health.Failed
		} else {
			p.book.Observe(req.Workspace, req.Kind, req.Declared, res.elapsed, now)
			p.health.JobEnded(r.job.ID())
		}
		if len(where.members) == 1 {
			p.observeEnd(where, where.members[0].target, req, o, now)
		}
	case notRunResult:
		if res.code == targetrpc.RefusalCode_REFUSAL_WORKER {
			p.observeEnd(where, res.target, req, health.Failed, now)
		} else {
			p.abandonProbe(where)
		}
	case lostResult, supersededResult:
		p.abandonProbe(where)
	}
	p.kick()
}

// observeEnd counts the end of a task on a target.
func (p *planner) observeEnd(where place, target string, req Request, o health.Outcome, now time.Time) {
	before := p.health.State(target, now)
	if where.probe {
		p.health.ProbeEnded(target, req.Workspace, req.Kind, o, now)
	} else {
		p.health.Observe(target, req.Workspace, req.Kind, o, now)
	}
	after := p.health.State(target, now)
	if before != after && (before == health.Healthy || after == health.Healthy) {
		p.s.log.Warn().Int("Event", EventTargetProbation).Str("Target", target).Str("Health", healthName(after)).Send()
	}
}

// abandonProbe frees the place of a probe that says nothing about its target.
func (p *planner) abandonProbe(where place) {
	if where.probe {
		p.health.ProbeAbandoned(where.members[0].target)
	}
}

// fitsWithout reports whether a shape fits the targets that take work, other than
// those to avoid, once they are empty. A job that avoids more would wait for good.
func (p *planner) fitsWithout(shape operator.Shape, avoid []string) bool {
	if len(avoid) == 0 {
		return true
	}
	var nodes []placement.Node
	for _, t := range p.view.Live(time.Now()) {
		if t.Accepts() && !slices.Contains(avoid, t.Name) {
			nodes = append(nodes, placement.Node{Name: t.Name, Rack: t.Rack, DataCentre: t.DataCentre, Slots: t.Slots, Free: t.Slots})
		}
	}
	_, ok := placement.NewSite(nodes).Plan(placement.Request{Shape: shape})
	return ok
}

// jobFailed decides whether a job that failed on a target is tried elsewhere.
func (p *planner) jobFailed(r *run, target string) health.Verdict {
	return p.health.JobFailed(r.job.ID(), target, r.spec.request.Workspace, r.spec.request.Kind, time.Now())
}

// grouped merges the tasks of a gang that share a target into one member.
func grouped(pl placement.Placement) []member {
	var out []member
	for _, m := range pl {
		i := slices.IndexFunc(out, func(x member) bool { return x.target == m.Target })
		if i < 0 {
			out = append(out, member{target: m.Target, slots: m.Slots, tasks: 1})
			continue
		}
		out[i].slots += m.Slots
		out[i].tasks++
	}
	return out
}
