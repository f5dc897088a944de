package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// target is a target as its agent reports it.
type target struct {
	name      string
	worker    *agentrpc.Worker // nil before the first report
	capacity  size
	listed    bool // the lists of the present life are known
	connected bool
	silent    time.Duration // how long the worker had not answered its agent
	leaves    time.Time     // when a draining worker may be gone; zero if unknown
	look      int64         // of the last list
	seen      int64         // highest end that has been taken
	runs      map[*run]struct{}
	busy      size // of all runs
	leaving   size // of the runs that are being stopped
	reserved  size // of claims
	// foreign are runs that the worker lists and no row names. They take an unknown
	// part of its capacity until they have been stopped.
	foreign map[foreignRun]time.Time // when the stop was ordered last
	health  health
	// pauseUntil keeps new work away after a refusal; refusals counts those since the
	// last start.
	pauseUntil time.Time
	refusals   int
	boot       uint64 // of the agent
}

type foreignRun struct {
	task string
	run  int
}

func (p *Planner) target(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{name: name, runs: make(map[*run]struct{}), foreign: make(map[foreignRun]time.Time)}
		p.targets[name] = t
		i, _ := slices.BinarySearchFunc(p.byName, name, func(t *target, name string) int { return cmp.Compare(t.name, name) })
		p.byName = slices.Insert(p.byName, i, t)
	}
	return t
}

// add takes a run into its target.
func (p *Planner) add(t *target, r *run) {
	t.runs[r] = struct{}{}
	t.busy = t.busy.plus(r.size)
	p.covered = nil
}

// free returns what is left after runs that go on and claims.
func (t *target) free() size { return t.capacity.minus(t.busy).plus(t.leaving).minus(t.reserved) }

// idle returns what is left after all runs, also those that are being stopped.
func (t *target) idle() size { return t.capacity.minus(t.busy) }

// place returns the present life of the target's worker.
func (t *target) place() job.Place {
	l := t.worker.GetLife()
	return job.Place{Target: t.name, Worker: l.GetWorker(), Born: l.GetBorn()}
}

// Connected says whether the agent of a target can be reached.
func (p *Planner) Connected(name string, connected bool) {
	t := p.target(name)
	p.news = p.news || t.connected != connected
	t.connected = connected
}

// takesWork reports whether a target may run new work, whatever its kind.
func (t *target) takesWork(now time.Time) bool {
	return t.connected && t.listed && !t.worker.GetDraining() && len(t.foreign) == 0 && !now.Before(t.pauseUntil) &&
		!t.health.suspect(now) && t.silent <= silentLimit
}

// Report takes the report of a target's agent.
func (p *Planner) Report(name string, in *agentrpc.WatchReply, now time.Time) {
	if !p.loaded {
		return
	}
	t := p.target(name)
	worker, capacity, took := t.worker, t.capacity, t.takesWork(now)
	defer func() {
		p.news = p.news || t.takesWork(now) != took || t.capacity != capacity || t.worker.GetPool() != worker.GetPool() ||
			!agentrpc.SameLife(t.worker.GetLife(), worker.GetLife())
	}()
	t.connected = true
	if in.GetBoot() != t.boot {
		t.boot, p.news = in.GetBoot(), true
		t.forgetLooks()
	}
	w := in.GetWorker()
	if w == nil {
		return
	}
	if !agentrpc.SameLife(t.worker.GetLife(), w.GetLife()) {
		p.newLife(t, w)
	}
	t.worker = w
	t.silent = time.Duration(in.GetSilentMillis()) * time.Millisecond
	t.capacity = size{int(w.GetCpu()), int(w.GetMemoryMb()), int(w.GetAccelerators())}
	if remaining := w.GetRemainingMillis(); w.GetDraining() && remaining > 0 {
		t.leaves = now.Add(time.Duration(remaining) * time.Millisecond)
	}
	t.listed = in.GetListed() && !w.GetGone()
	if w.GetGone() {
		p.Lapsed(name, "the worker has left", now)
	}
	p.loseFormer(t, in, now)
	if !t.listed {
		return
	}
	fresh := in.GetLook() != t.look
	t.look = in.GetLook()
	for _, e := range in.GetEnded() {
		if e.GetNumber() > t.seen {
			p.end(t, e, now)
			t.seen = e.GetNumber()
		}
	}
	p.forgets[name] = Seen{Life: w.GetLife(), End: t.seen}
	p.compare(t, in.GetRunning(), fresh, now)
}

// forgetLooks sends stops again whose effect is not known: a new agent counts its
// looks at the worker anew.
func (t *target) forgetLooks() {
	t.look = 0
	for r := range t.runs {
		r.stopLook, r.stopSent = 0, time.Time{}
	}
}

// newLife forgets what is known of earlier lives of a worker.
func (p *Planner) newLife(t *target, w *agentrpc.Worker) {
	p.log.Info().Int("Event", EventTargetLife).Str("Target", t.name).Str("Worker", w.GetLife().GetWorker()).
		Int64("Born", w.GetLife().GetBorn()).Str("Pool", w.GetPool()).Str("Rack", w.GetRack()).Msg("a worker joins")
	if t.worker != nil {
		t.health = health{}
	}
	t.worker, t.seen, t.leaves = w, 0, time.Time{}
	t.forgetLooks()
	clear(t.foreign)
}

// loseFormer takes that what ran in former lives of a worker is over. Rows may be
// restored after the new life was reported first.
//
// An order that was under way when a worker started again under its ID can reach the
// new life. Such runs are given up only when the new life has confirmed a higher
// fencing token and does not list them; if it does, they run there.
func (p *Planner) loseFormer(t *target, in *agentrpc.WatchReply, now time.Time) {
	here := t.place()
	for r := range t.runs {
		switch {
		case r.place == here:
		case r.place.Worker != here.Worker:
			p.lose(r, "worker started again", now)
		case !t.listed:
		case lists(in, r):
			p.log.Info().Int("Event", EventRunFollowed).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Int64("Born", here.Born).Msg("a run was started in the next life of its worker")
			r.place = here
			p.dirty[r.task.step.occ] = struct{}{}
		default:
			p.lose(r, "worker started again under its ID", now)
		}
	}
}

// lists reports whether a report names a run.
func lists(in *agentrpc.WatchReply, r *run) bool {
	for _, s := range in.GetRunning() {
		if s.GetTask() == r.task.name && int(s.GetRun()) == r.number {
			return true
		}
	}
	for _, e := range in.GetEnded() {
		if e.GetTask() == r.task.name && int(e.GetRun()) == r.number {
			return true
		}
	}
	return false
}

// Lapsed takes that everything that ran on a target's worker has ended: nothing has
// renewed its lease for longer than a lease lasts, or the worker is gone.
func (p *Planner) Lapsed(name, why string, now time.Time) {
	t := p.target(name)
	for r := range t.runs {
		p.lose(r, why, now)
	}
	t.listed = false
}

// lose takes that a run is over without an end that counts.
func (p *Planner) lose(r *run, why string, now time.Time) {
	lost := p.loss(r, now)
	p.measureLoss(lost)
	p.count(`medlargrade_runs_lost_total`)
	p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.place.Target).
		Str("Reason", why).Float64("LostCoreSeconds", lost).Msg("a run is over without an end")
	p.remove(r)
	r.task.step.reopen()
	p.mayHaveRun(r, now)
	p.stopGang(r, "another member of the gang is lost")
}

// remove takes a run out of its task and target.
func (p *Planner) remove(r *run) {
	t := r.task
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
			break
		}
	}
	tg := p.target(r.place.Target)
	if _, ok := tg.runs[r]; ok {
		delete(tg.runs, r)
		tg.busy = tg.busy.minus(r.size)
		if r.stop != "" {
			tg.leaving = tg.leaving.minus(r.size)
		}
	}
	p.covered, p.news = nil, true
	p.dirty[t.step.occ] = struct{}{}
}

// compare takes the list of what runs on a target, which may be from an earlier look.
func (p *Planner) compare(t *target, list []*agentrpc.RunStatus, fresh bool, now time.Time) {
	here := t.place()
	known := make(map[foreignRun]*run, len(t.runs))
	for r := range t.runs {
		if r.place == here {
			known[foreignRun{r.task.name, r.number}] = r
		}
	}
	listed := make(map[foreignRun]struct{}, len(list))
	for _, s := range list {
		key := foreignRun{s.GetTask(), int(s.GetRun())}
		listed[key] = struct{}{}
		r := known[key]
		if r == nil {
			if _, ok := t.foreign[key]; !ok {
				t.foreign[key] = time.Time{}
				p.log.Warn().Int("Event", EventForeignRun).Str("Task", key.task).Int("Run", key.run).Str("Target", t.name).
					Msg("a worker runs what no row names")
			}
			continue
		}
		p.progress(r, s, now)
		if fresh {
			r.looked = now
		}
	}
	for key := range t.foreign {
		if _, ok := listed[key]; !ok {
			delete(t.foreign, key)
		}
	}
	for key, r := range known {
		// The stop reached the worker before the start did, so the run never was.
		if _, ok := listed[key]; !ok && r.stopLook > 0 && t.look >= r.stopLook {
			p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Str("Reason", "stopped before it started").Send()
			p.remove(r)
		}
	}
}

// progress takes the state of a run that is listed.
func (p *Planner) progress(r *run, s *agentrpc.RunStatus, now time.Time) {
	if r.confirmed.IsZero() {
		r.confirmed, r.moved = now, now
	}
	if r.listed.IsZero() {
		r.listed, r.firstPercent = now, s.GetPercent()
	}
	if s.GetPercent() != r.percent {
		r.percent, r.moved = s.GetPercent(), now
		p.progressListed = true
	}
	r.load = s.GetLoad()
	if c := s.GetCheckpoint(); c != "" {
		r.task.setCheckpoint(c)
	}
}

// setCheckpoint notes the newest checkpoint. That of one member of a gang is valid
// for all, and all must start from the same one.
func (t *task) setCheckpoint(c string) {
	if !t.step.spec.Gang {
		t.checkpoint = c
		return
	}
	for _, o := range t.step.tasks {
		o.checkpoint = c
	}
}
