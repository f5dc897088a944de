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
	capacity  resources
	listed    bool // the lists of the present life are known
	connected bool
	silentFor time.Duration // how long the worker had not answered its agent
	leavesAt  time.Time     // when a draining worker may be gone; zero if unknown
	poll      int64         // of the last list
	lastEnd   int64         // highest end that has been taken
	runs      map[*run]struct{}
	used      resources // of all runs
	stopping  resources // of the runs that are being stopped
	reserved  resources // of claims
	// foreign are runs that the worker lists and no row names. They take an unknown
	// part of its capacity until they have been stopped.
	foreign map[runKey]time.Time // when the stop was ordered last
	health  health
	// pauseUntil keeps new work away after a refusal; refusals counts those since the
	// last start.
	pauseUntil time.Time
	refusals   int
	agentBoot  uint64 // of the agent
}

type runKey struct {
	task string
	run  int
}

func (p *Planner) target(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{name: name, runs: make(map[*run]struct{}), foreign: make(map[runKey]time.Time)}
		p.targets[name] = t
		i, _ := slices.BinarySearchFunc(p.sortedTargets, name, func(t *target, name string) int { return cmp.Compare(t.name, name) })
		p.sortedTargets = slices.Insert(p.sortedTargets, i, t)
	}
	return t
}

// addRun takes a run into its target.
func (p *Planner) addRun(t *target, r *run) {
	t.runs[r] = struct{}{}
	t.used = t.used.plus(r.resources)
	p.usageByWorkspace = nil
}

// available returns what is left after runs that go on and claims.
func (t *target) available() resources {
	return t.capacity.minus(t.used).plus(t.stopping).minus(t.reserved)
}

// unused returns what is left after all runs, also those that are being stopped.
func (t *target) unused() resources { return t.capacity.minus(t.used) }

// place returns the present life of the target's worker.
func (t *target) place() job.Place {
	l := t.worker.GetLife()
	return job.Place{Target: t.name, Worker: l.GetWorker(), Born: l.GetBorn()}
}

// Connected says whether the agent of a target can be reached.
func (p *Planner) Connected(name string, connected bool) {
	t := p.target(name)
	p.needsPass = p.needsPass || t.connected != connected
	t.connected = connected
}

// acceptsWork reports whether a target may run new work, whatever its kind.
func (t *target) acceptsWork(now time.Time) bool {
	return t.connected && t.listed && !t.worker.GetDraining() && len(t.foreign) == 0 && !now.Before(t.pauseUntil) &&
		!t.health.isSuspect(now) && t.silentFor <= maxSilence
}

// Report takes the report of a target's agent.
func (p *Planner) Report(name string, in *agentrpc.WatchReply, now time.Time) {
	if !p.jobsLoaded {
		return
	}
	t := p.target(name)
	worker, capacity, took := t.worker, t.capacity, t.acceptsWork(now)
	defer func() {
		p.needsPass = p.needsPass || t.acceptsWork(now) != took || t.capacity != capacity || t.worker.GetPool() != worker.GetPool() ||
			!agentrpc.SameLife(t.worker.GetLife(), worker.GetLife())
	}()
	t.connected = true
	if in.GetBoot() != t.agentBoot {
		t.agentBoot, p.needsPass = in.GetBoot(), true
		t.resetPolls()
	}
	w := in.GetWorker()
	if w == nil {
		return
	}
	if !agentrpc.SameLife(t.worker.GetLife(), w.GetLife()) {
		p.replaceIncarnation(t, w)
	}
	t.worker = w
	t.silentFor = time.Duration(in.GetSilentMillis()) * time.Millisecond
	t.capacity = resources{int(w.GetCpu()), int(w.GetMemoryMb()), int(w.GetAccelerators())}
	if remaining := w.GetRemainingMillis(); w.GetDraining() && remaining > 0 {
		t.leavesAt = now.Add(time.Duration(remaining) * time.Millisecond)
	}
	t.listed = in.GetListed() && !w.GetGone()
	if w.GetGone() {
		p.Lapsed(name, "the worker has left", now)
	}
	p.resolveFormerRuns(t, in, now)
	if !t.listed {
		return
	}
	fresh := in.GetLook() != t.poll
	t.poll = in.GetLook()
	for _, e := range in.GetEnded() {
		if e.GetNumber() > t.lastEnd {
			p.handleEnd(t, e, now)
			t.lastEnd = e.GetNumber()
		}
	}
	p.endAcks[name] = Seen{Life: w.GetLife(), End: t.lastEnd}
	p.reconcile(t, in.GetRunning(), fresh, now)
}

// resetPolls sends stops again whose effect is not known: a new agent counts its
// looks at the worker anew.
func (t *target) resetPolls() {
	t.poll = 0
	for r := range t.runs {
		r.stopPoll, r.stopSentAt = 0, time.Time{}
	}
}

// replaceIncarnation forgets what is known of earlier lives of a worker.
func (p *Planner) replaceIncarnation(t *target, w *agentrpc.Worker) {
	p.log.Info().Int("Event", EventTargetLife).Str("Target", t.name).Str("Worker", w.GetLife().GetWorker()).
		Int64("Born", w.GetLife().GetBorn()).Str("Pool", w.GetPool()).Str("Rack", w.GetRack()).Msg("a worker joins")
	if t.worker != nil {
		t.health = health{}
	}
	t.worker, t.lastEnd, t.leavesAt = w, 0, time.Time{}
	t.resetPolls()
	clear(t.foreign)
}

// resolveFormerRuns takes that what ran in former lives of a worker is over. Rows may be
// restored after the new life was reported first.
//
// An order that was under way when a worker started again under its ID can reach the
// new life. Such runs are given up only when the new life has confirmed a higher
// fencing token and does not list them; if it does, they run there.
func (p *Planner) resolveFormerRuns(t *target, in *agentrpc.WatchReply, now time.Time) {
	here := t.place()
	for r := range t.runs {
		switch {
		case r.place == here:
		case r.place.Worker != here.Worker:
			p.loseRun(r, "worker started again", now)
		case !t.listed:
		case listsRun(in, r):
			p.log.Info().Int("Event", EventRunFollowed).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Int64("Born", here.Born).Msg("a run was started in the next life of its worker")
			r.place = here
			p.dirty[r.task.step.occ] = struct{}{}
		default:
			p.loseRun(r, "worker started again under its ID", now)
		}
	}
}

// listsRun reports whether a report names a run.
func listsRun(in *agentrpc.WatchReply, r *run) bool {
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
		p.loseRun(r, why, now)
	}
	t.listed = false
}

// loseRun takes that a run is over without an end that counts.
func (p *Planner) loseRun(r *run, why string, now time.Time) {
	lost := p.runLoss(r, now)
	p.measureLoss(lost)
	p.count(`medlargrade_runs_lost_total`)
	p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.place.Target).
		Str("Reason", why).Float64("LostCoreSeconds", lost).Msg("a run is over without an end")
	p.removeRun(r)
	r.task.step.resetGang()
	p.endAtMostOnce(r, now)
	p.stopGang(r, "another member of the gang is lost")
}

// removeRun takes a run out of its task and target.
func (p *Planner) removeRun(r *run) {
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
		tg.used = tg.used.minus(r.resources)
		if r.stopCause != "" {
			tg.stopping = tg.stopping.minus(r.resources)
		}
	}
	p.usageByWorkspace, p.needsPass = nil, true
	p.dirty[t.step.occ] = struct{}{}
}

// reconcile takes the list of what runs on a target, which may be from an earlier look.
func (p *Planner) reconcile(t *target, list []*agentrpc.RunStatus, fresh bool, now time.Time) {
	here := t.place()
	known := make(map[runKey]*run, len(t.runs))
	for r := range t.runs {
		if r.place == here {
			known[runKey{r.task.name, r.number}] = r
		}
	}
	listed := make(map[runKey]struct{}, len(list))
	for _, s := range list {
		key := runKey{s.GetTask(), int(s.GetRun())}
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
		p.updateProgress(r, s, now)
		if fresh {
			r.lastListedAt = now
		}
	}
	for key := range t.foreign {
		if _, ok := listed[key]; !ok {
			delete(t.foreign, key)
		}
	}
	for key, r := range known {
		// The stop reached the worker before the start did, so the run never was.
		if _, ok := listed[key]; !ok && r.stopPoll > 0 && t.poll >= r.stopPoll {
			p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Str("Reason", "stopped before it started").Send()
			p.removeRun(r)
		}
	}
}

// updateProgress takes the state of a run that is listed.
func (p *Planner) updateProgress(r *run, s *agentrpc.RunStatus, now time.Time) {
	if r.confirmedAt.IsZero() {
		r.confirmedAt, r.progressedAt = now, now
	}
	if r.firstListedAt.IsZero() {
		r.firstListedAt, r.firstPercent = now, s.GetPercent()
	}
	if s.GetPercent() != r.percent {
		r.percent, r.progressedAt = s.GetPercent(), now
		p.progressReported = true
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
