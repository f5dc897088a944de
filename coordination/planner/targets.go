package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// target is the state of a target, as reported by its agent, with the runs on it.
type target struct {
	name      string
	worker    *agentrpc.Worker // nil before the first report
	capacity  resources
	runsKnown bool // the runs of the current incarnation are known
	connected bool
	silentFor time.Duration // time without an answer of the worker, when last reported
	leavesAt  time.Time     // when a draining worker may be gone; zero if unknown
	coldUntil time.Time     // when the worker stops being slow after its start; zero if it was not slow
	poll      int64         // number of the poll that the last list is from; 0 if the list may lack ends
	lastEnd   int64         // highest run end that has been handled
	// awaitsLapse is set while the next end may not be acknowledged; see isOfGivenUpRun.
	awaitsLapse bool
	// unrecordedEnds are the handled ends that may not be recorded yet, in order.
	unrecordedEnds []unrecordedEnd
	runs           map[*run]struct{}
	used           resources // of all runs
	stopping       resources // of the runs that are being stopped
	reserved       resources // of claims
	reservation    *reservation
	// foreign are runs that the worker lists and no row names. They use an unknown part
	// of its capacity until they have been stopped.
	foreign map[runKey]time.Time // when the stop was last queued
	health  health
	// The target gets no new work before refusalPauseUntil, which a refused start sets.
	// refusals counts the refused starts since the last successful one.
	refusalPauseUntil time.Time
	refusals          int
	agentBoot         uint64 // identifies the start of the agent that last reported
	// crashes are the latest incarnations of the worker that ended without an announcement.
	crashes []job.Incarnation

	speed       *speed.Worker // nil unless speeds are learned
	loggedClass int           // class of the speed as last logged
}

// unrecordedEnd is the end of a run that is part of the row of an occurrence.
type unrecordedEnd struct {
	number int64
	occ    *occurrence
}

// runKey identifies a run in the lists of a worker.
type runKey struct {
	task string
	run  int
}

// targetNamed returns the target with a name, and adds it if it is not known.
func (p *Planner) targetNamed(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{name: name, runs: make(map[*run]struct{}), foreign: make(map[runKey]time.Time), speed: p.speedWorker(name)}
		p.targets[name] = t
		i, _ := slices.BinarySearchFunc(p.sortedTargets, name, func(t *target, name string) int { return cmp.Compare(t.name, name) })
		p.sortedTargets = slices.Insert(p.sortedTargets, i, t)
	}
	return t
}

// TargetsWithRuns returns the names of the targets on which runs are recorded.
func (p *Planner) TargetsWithRuns() []string {
	var names []string
	for _, t := range p.sortedTargets {
		if len(t.runs) > 0 {
			names = append(names, t.name)
		}
	}
	return names
}

// addRunToTarget adds a run to its target, but not to its task.
func (p *Planner) addRunToTarget(t *target, r *run) {
	t.runs[r] = struct{}{}
	t.used = t.used.plus(r.resources)
	p.usageByWorkspace = nil
}

// available returns the resources that are left beside claims and the runs that are not
// being stopped. They may be negative, for example after the capacity of the worker has
// shrunk.
func (t *target) available() resources {
	return t.capacity.minus(t.used).plus(t.stopping).minus(t.reserved)
}

// unused returns the resources that are left beside all runs, including those that are
// being stopped. It disregards claims.
func (t *target) unused() resources { return t.capacity.minus(t.used) }

// incarnation returns the current incarnation of the target's worker.
func (t *target) incarnation() job.Incarnation {
	l := t.worker.GetLife()
	return job.Incarnation{Target: t.name, Worker: l.GetWorker(), Born: l.GetBorn()}
}

// SetConnected records whether the agent of a target can be reached.
func (p *Planner) SetConnected(name string, connected bool) {
	t := p.targetNamed(name)
	p.needsPass = p.needsPass || t.connected != connected
	t.connected = connected
}

// acceptsWork reports whether a target may run new work, whatever its kind.
func (t *target) acceptsWork(now time.Time) bool {
	return t.acceptsWorkDespitePause(now) && !t.health.isPaused(now)
}

// acceptsWorkDespitePause is acceptsWork for work that ignores the pause after failures.
func (t *target) acceptsWorkDespitePause(now time.Time) bool {
	return t.connected && t.runsKnown && !t.worker.GetDraining() && len(t.foreign) == 0 && !now.Before(t.refusalPauseUntil) &&
		t.silentFor <= maxSilence
}

// Report handles a report of a target's agent. It ignores reports before SetLoaded is
// called.
func (p *Planner) Report(name string, in *agentrpc.WatchReply, now time.Time) {
	if !p.jobsLoaded {
		return
	}
	p.latest = now
	t := p.targetNamed(name)
	oldWorker, oldCapacity, acceptedBefore := t.worker, t.capacity, t.acceptsWork(now)
	// A pass is needed if the report changes what may be placed on the target.
	defer func() {
		p.needsPass = p.needsPass || t.acceptsWork(now) != acceptedBefore || t.capacity != oldCapacity || t.worker.GetPool() != oldWorker.GetPool() ||
			!agentrpc.SameLife(t.worker.GetLife(), oldWorker.GetLife())
	}()
	t.connected = true
	if in.GetBoot() != t.agentBoot {
		t.agentBoot, p.needsPass = in.GetBoot(), true
		t.resetPolls()
	}
	w := in.GetWorker()
	if w == nil {
		t.runsKnown = false
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
	if cold := w.GetColdLeftMillis(); cold > 0 {
		t.coldUntil = now.Add(time.Duration(cold) * time.Millisecond)
	}
	t.runsKnown = in.GetListed() && !w.GetGone()
	if w.GetGone() {
		p.LoseRuns(name, "the worker has left", now)
	}
	p.recordCrashes(t, in, now)
	p.resolveFormerRuns(t, in, now)
	if !t.runsKnown {
		return
	}
	newPoll := in.GetLook() != t.poll
	t.poll = in.GetLook()
	// The end of one member of a gang stops the others, and a run that is not known to run may
	// count as never started then.
	p.confirmListed(t, in.GetRunning(), now)
	p.handleEnds(t, in, now)
	if t.awaitsLapse {
		t.runsKnown = false
		return
	}
	p.reconcile(t, in.GetRunning(), newPoll, now)
}

// resetPolls forgets the poll numbers of the agent and lets all stops be resent. A new
// agent numbers its polls of the worker from the beginning, so the old numbers can't show
// the effect of a stop.
func (t *target) resetPolls() {
	t.poll = 0
	for r := range t.runs {
		r.stopPoll, r.stopQueuedAt = 0, time.Time{}
	}
}

// replaceIncarnation replaces the worker of a target with a new incarnation and forgets
// the state of the former one, except its runs and the refused starts with their pause.
func (p *Planner) replaceIncarnation(t *target, w *agentrpc.Worker) {
	p.log.Info().Int("Event", EventTargetLife).Str("Target", t.name).Str("Worker", w.GetLife().GetWorker()).
		Int64("Born", w.GetLife().GetBorn()).Str("Pool", w.GetPool()).Str("Rack", w.GetRack()).Msg("worker registered")
	if t.worker != nil {
		t.health = health{}
	}
	t.worker, t.lastEnd, t.awaitsLapse, t.unrecordedEnds, t.leavesAt, t.coldUntil = w, 0, false, nil, time.Time{}, time.Time{}
	delete(p.unackedEnds, t)
	t.resetPolls()
	clear(t.foreign)
}

// resolveFormerRuns removes the runs of former incarnations of a worker, which have ended
// with them. It is called for each report, because such runs may be restored from rows
// after the new incarnation was first reported.
//
// A start order that was in flight when a worker restarted under the same ID can reach the
// new incarnation. Such a run is removed only once the new incarnation has confirmed a
// higher fencing token and has returned all ends, and does not list the run. If it lists the
// run, the run has started there.
func (p *Planner) resolveFormerRuns(t *target, in *agentrpc.WatchReply, now time.Time) {
	current := t.incarnation()
	for r := range t.runs {
		switch {
		case r.incarnation == current:
		case r.incarnation.Worker != current.Worker:
			p.loseRun(r, "worker started again", now)
		case !t.runsKnown:
		case listsRun(in, r):
			p.log.Info().Int("Event", EventRunFollowed).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Int64("Born", current.Born).Msg("run was started in the next incarnation of its worker")
			r.incarnation = current
			p.confirm(r, now)
			p.markDirty(r.task.step.occ)
			if !p.meetsRequirement(t, unit{step: r.task.step, kind: p.kindOf(r.task.step.occ.job)}) {
				p.stopGang(r, "the next incarnation of its worker may not run it")
			}
		case in.GetLook() == 0:
			// The run may have an end that is not listed yet.
		default:
			p.loseRun(r, "worker started again under its ID", now)
		}
	}
}

// listsRun reports whether a report lists a run as running or ended.
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

// LoseRuns gives up all runs on a target. They have ended, because the lease of its
// worker was not renewed for longer than a lease lasts, or because the worker is gone.
func (p *Planner) LoseRuns(name, reason string, now time.Time) {
	t := p.targetNamed(name)
	for r := range t.runs {
		p.loseRun(r, reason, now)
	}
	t.runsKnown = false
}

// loseRun removes a run that is over but whose end the worker has not listed.
func (p *Planner) loseRun(r *run, reason string, now time.Time) {
	lostCoreSeconds := p.endLoss(r, now)
	p.measureLoss(lostCoreSeconds)
	p.count(`medlargrade_runs_lost_total`)
	p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.incarnation.Target).
		Str("Reason", reason).Float64("LostCoreSeconds", lostCoreSeconds).Int("Crashes", len(r.task.crashes)).Msg("run lost")
	p.removeRun(r)
	r.task.step.resetIncompleteGang()
	p.loseAtMostOnce(r, now)
	p.stopGang(r, "another member of the gang is lost")
}

// removeRun removes a run from its task and target, and marks its row to be written at once.
func (p *Planner) removeRun(r *run) {
	p.detachRun(r)
	p.markDirty(r.task.step.occ)
}

// detachRun removes a run from its task and target.
func (p *Planner) detachRun(r *run) {
	t := r.task
	t.idleSince = p.latest
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
			break
		}
	}
	tg := p.targetNamed(r.incarnation.Target)
	if _, ok := tg.runs[r]; ok {
		delete(tg.runs, r)
		tg.used = tg.used.minus(r.resources)
		if r.stopReason != "" {
			tg.stopping = tg.stopping.minus(r.resources)
		}
	}
	p.usageByWorkspace, p.needsPass = nil, true
}

// confirmListed confirms the runs that the worker of a target lists as running.
func (p *Planner) confirmListed(t *target, running []*agentrpc.RunStatus, now time.Time) {
	current := t.incarnation()
	for r := range t.runs {
		if r.confirmedAt.IsZero() && r.incarnation == current && slices.ContainsFunc(running, func(s *agentrpc.RunStatus) bool {
			return s.GetTask() == r.task.name && int(s.GetRun()) == r.number
		}) {
			p.confirm(r, now)
		}
	}
}

// reconcile compares the runs on a target with those that its worker lists as running.
// newPoll is set unless the list is from the same poll as the last one.
func (p *Planner) reconcile(t *target, running []*agentrpc.RunStatus, newPoll bool, now time.Time) {
	current := t.incarnation()
	known := make(map[runKey]*run, len(t.runs))
	for r := range t.runs {
		if r.incarnation == current {
			known[runKey{r.task.name, r.number}] = r
		}
	}
	listed := make(map[runKey]struct{}, len(running))
	for _, s := range running {
		key := runKey{s.GetTask(), int(s.GetRun())}
		listed[key] = struct{}{}
		r := known[key]
		if r == nil {
			if _, ok := t.foreign[key]; !ok {
				t.foreign[key] = time.Time{}
				p.log.Warn().Int("Event", EventForeignRun).Str("Task", key.task).Int("Run", key.run).Str("Target", t.name).
					Msg("worker lists a run that no row names")
			}
			continue
		}
		p.updateProgress(r, s, now)
		if newPoll {
			r.lastListedAt = now
		}
	}
	for key := range t.foreign {
		if _, ok := listed[key]; !ok {
			delete(t.foreign, key)
		}
	}
	for key, r := range known {
		// The stop reached the worker before the start, so the run was never started.
		if _, ok := listed[key]; !ok && r.stopPoll > 0 && t.poll >= r.stopPoll {
			p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
				Str("Reason", "stopped before it started").Send()
			p.removeRun(r)
		}
	}
}

// updateProgress updates a run from its status in the list of its worker.
func (p *Planner) updateProgress(r *run, s *agentrpc.RunStatus, now time.Time) {
	p.confirm(r, now)
	if r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	if r.firstListedAt.IsZero() {
		r.firstListedAt, r.firstPercent = now, s.GetPercent()
	}
	if s.GetPercent() != r.percent {
		r.percent, r.progressedAt = s.GetPercent(), now
		p.percentReported = true
	}
	p.observePace(r, s.GetPercent(), now)
	p.observeNeighbours(r, s.GetPercent(), now)
	r.load = s.GetLoad()
	if c := s.GetCheckpoint(); c != "" {
		r.task.setCheckpoint(c, now)
	}
}

// setCheckpoint sets the checkpoint from which the task starts next. A checkpoint of one
// member of a gang is valid for all members, which must start from the same one.
func (t *task) setCheckpoint(c string, now time.Time) {
	if t.checkpoint == c {
		return
	}
	for _, o := range t.withGang() {
		o.checkpoint, o.checkpointAt = c, now
	}
}

// withGang returns the tasks that start and stop together with t, and t itself.
func (t *task) withGang() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}
