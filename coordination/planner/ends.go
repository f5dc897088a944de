package planner

import (
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// How a run ended, in the words of the workers.
const (
	endDone    = "done"
	endFailed  = "failed"  // through a fault of the task or the worker
	endStopped = "stopped" // by a stop order
	endLapsed  = "lapsed"  // the lease of the worker lapsed
	endBroken  = "broken"  // another member of the gang ended
	endAlone   = "alone"   // the other members of the gang did not start in time
)

// handleEnds handles the ends that a report lists and that have not been handled, up to the first one
// that may be acknowledged only after the worker's lease has lapsed.
func (p *Planner) handleEnds(t *target, in *agentrpc.WatchReply, now time.Time) {
	p.unackedEnds[t] = struct{}{}
	awaitedLapse := t.awaitsLapse
	t.awaitsLapse = false
	for _, e := range in.GetEnded() {
		if e.GetNumber() <= t.lastEnd {
			continue
		}
		if in.GetUncertainEnds() && !hasLapsedSince(in, e) && p.isOfGivenUpRun(t, e) {
			t.awaitsLapse = true
			if !awaitedLapse {
				p.log.Warn().Int("Event", EventEndUncertain).Str("Task", e.GetTask()).Int64("Run", e.GetRun()).Str("Target", t.name).
					Int64("End", e.GetNumber()).Msg("a run that was given up has done its task; its end is not acknowledged before the worker's lease has lapsed")
			}
			return
		}
		p.handleEnd(t, e, now)
		t.lastEnd = e.GetNumber()
	}
}

// isOfGivenUpRun reports whether an end shows that a run has done its task that was given up before,
// so that the task has been started again, or may be. The end of such a run is void if the worker's
// lease has lapsed since, as the planner has assumed. Otherwise it must not be acknowledged: the task
// would count as done and as started again after that.
func (p *Planner) isOfGivenUpRun(t *target, e *agentrpc.RunEnd) bool {
	number := int(e.GetRun())
	if e.GetHow() != endDone || p.findRun(t, e.GetTask(), number) != nil {
		return false
	}
	k := p.taskNamed(e.GetTask())
	switch {
	case k == nil: // of a job that has been removed
		return true
	case k.step.spec.LongRunning, k.step.spec.Speculative:
		return false
	case k.lastRun == number:
		// A former planner may have recorded this end. After the end of the occurrence nothing is
		// started.
		return !k.done && !k.step.occ.state.Final()
	}
	return true
}

// hasLapsedSince reports whether the lists of a worker show that its lease has lapsed since an end.
func hasLapsedSince(in *agentrpc.WatchReply, end *agentrpc.RunEnd) bool {
	return slices.ContainsFunc(in.GetEnded(), func(e *agentrpc.RunEnd) bool {
		return e.GetHow() == endLapsed && e.GetNumber() > end.GetNumber()
	})
}

// AwaitsLapse reports whether a target lists an end that may be acknowledged only after the lease of
// its worker has lapsed.
func (p *Planner) AwaitsLapse(name string) bool {
	t := p.targets[name]
	return t != nil && t.awaitsLapse
}

// handleEnd handles the end of a run that a worker lists.
func (p *Planner) handleEnd(t *target, e *agentrpc.RunEnd, now time.Time) {
	r := p.findRun(t, e.GetTask(), int(e.GetRun()))
	lostCoreSeconds := p.lostCoreSeconds(r, e.GetHow(), now)
	p.measureLoss(lostCoreSeconds)
	p.count(`medlargrade_runs_ended_total{how="` + e.GetHow() + `"}`)
	p.log.Info().Int("Event", EventRunEnded).Str("Task", e.GetTask()).Int64("Run", e.GetRun()).Str("Target", t.name).
		Str("How", e.GetHow()).Int64("End", e.GetNumber()).Bool("Known", r != nil).
		Float64("LostCoreSeconds", lostCoreSeconds).Str("Stop", r.stopReasonOf()).Send()
	if r == nil {
		// The run was removed before, for example because the worker's lease had lapsed.
		return
	}
	if c := e.GetCheckpoint(); c != "" {
		r.task.setCheckpoint(c, now)
	}
	p.recordRunEnd(t, r, e.GetHow(), now)
	o := r.task.step.occ
	p.detachRun(r)
	t.unrecordedEnds = append(t.unrecordedEnds, unrecordedEnd{e.GetNumber(), o})
	if e.GetHow() == endDone && !o.job.job.AtMostOnce {
		// If this end completes the occurrence, handleDone marks the row to be written at once.
		p.markDirtyBy(o, now.Add(endRecordDelay))
	} else {
		p.markDirty(o)
	}
	switch e.GetHow() {
	case endDone:
		r.task.result, r.task.resultObject = e.GetResult(), e.GetResultObject()
		p.handleDone(r, now)
	case endFailed:
		r.task.err = string(e.GetResult())
		p.handleFailure(t, r, now)
	default:
		r.task.step.waitingSince = time.Time{}
		r.task.step.resetIncompleteGang()
		p.loseAtMostOnce(r, now)
		p.stopGang(r, "another member of the gang has ended")
	}
}

// lostCoreSeconds returns the core-seconds of work that are lost with the end of a run: none
// if the run is unknown or has done its task.
func (p *Planner) lostCoreSeconds(r *run, how string, now time.Time) float64 {
	switch {
	case r == nil || how == endDone:
		return 0
	case how == endStopped:
		return p.runLoss(r, now)
	}
	return p.endLoss(r, now)
}

// stopReasonOf returns why the run was stopped, or "" if it was not or r is nil.
func (r *run) stopReasonOf() string {
	if r == nil {
		return ""
	}
	return r.stopReason
}

// findRun returns a run of a task on the current incarnation of a target's worker, or nil.
func (p *Planner) findRun(t *target, name string, number int) *run {
	current := t.incarnation()
	for r := range t.runs {
		if r.number == number && r.incarnation == current && r.task.name == name {
			return r
		}
	}
	return nil
}

// handleDone handles a run that has done its task.
func (p *Planner) handleDone(r *run, now time.Time) {
	s := r.task.step
	if s.spec.LongRunning {
		// A long-running task that ends is started again.
		return
	}
	if s.spec.Gang && !s.needsResults() {
		// Without results, the end of one member is enough to complete the whole gang.
		for _, t := range s.tasks {
			t.done = true
		}
	}
	r.task.done, r.task.crashes = true, nil
	s.resetIncompleteGang()
	// A task is started only while it has no runs, but a restored row may list several.
	for _, other := range r.task.runs {
		if !s.spec.Gang {
			p.stopRun(other, "another copy is done")
		}
	}
	p.completeIfDone(s.occ, now)
}

// needsResults reports whether the caller of the job gets the results of its tasks.
func (s *step) needsResults() bool { return s.occ.job.job.Key != "" }

// resetIncompleteGang makes all members of a gang run again if the gang has no runs left and
// not all members are done. This happens if the result of one member is lost after others
// were done.
func (s *step) resetIncompleteGang() {
	if !s.spec.Gang || s.done() {
		return
	}
	for _, t := range s.tasks {
		if len(t.runs) > 0 {
			return
		}
	}
	for _, t := range s.tasks {
		t.done, t.result, t.resultObject = false, nil, ""
	}
}

// completeIfDone completes an occurrence whose tasks are all done.
func (p *Planner) completeIfDone(o *occurrence, now time.Time) {
	if o.state.Final() {
		return
	}
	for _, s := range o.steps {
		if !s.done() {
			return
		}
	}
	p.finishOccurrence(o, job.Completed, now)
}

// loseAtMostOnce ends the occurrence of an at-most-once job as lost after a run of it is over
// that is neither done nor failed: the run may have had effects, so it must not be repeated.
func (p *Planner) loseAtMostOnce(r *run, now time.Time) {
	if o := r.task.step.occ; o.job.job.AtMostOnce && !o.state.Final() {
		p.finishOccurrence(o, job.Lost, now)
	}
}

// handleFailure handles a run that has failed. The kind of the job limits how often a task,
// or a gang as a whole, may fail. There is no limit for long-running tasks.
func (p *Planner) handleFailure(t *target, r *run, now time.Time) {
	s := r.task.step
	r.task.avoidTarget(t.name)
	n := 0
	if s.spec.Gang {
		if s.lastFailedRun != r.number {
			s.lastFailedRun = r.number
			s.failures++
		}
		n = s.failures
	} else {
		r.task.failures++
		n = r.task.failures
	}
	s.waitingSince = time.Time{}
	p.stopGang(r, "another member of the gang has failed")
	if s.occ.state.Final() || s.spec.LongRunning {
		return
	}
	if n >= maxAttempts(p.kindOf(s.occ.job)) || s.occ.job.job.AtMostOnce {
		p.finishOccurrence(s.occ, job.Failed, now)
	}
}

// avoidTarget makes a task avoid a target while mayAvoid allows that. Gangs of several tasks
// ignore it, and it is not recorded, so a new planner does not know it.
func (t *task) avoidTarget(name string) {
	if t.avoidedTargets == nil {
		t.avoidedTargets = make(map[string]struct{})
	}
	t.avoidedTargets[name] = struct{}{}
}

// recordRunEnd updates the health of the target and the observed run times after an end.
func (p *Planner) recordRunEnd(t *target, r *run, how string, now time.Time) {
	switch how {
	case endDone:
		t.health.recordSuccess()
		p.observeEnd(r, now)
		// Only a first run without a checkpoint does the whole task.
		if !r.confirmedAt.IsZero() && r.task.lastRun == 1 && r.task.checkpoint == "" {
			p.runTimeRatios.observe(r.task.step.occ.job.job.Kind, r.task.step.spec.Estimate(), p.nominalTime(r, now.Sub(r.confirmedAt)))
		}
	case endFailed:
		t.health.recordFailure(r.task.name, now)
		p.log.Info().Int("Event", EventRunFailed).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
			Int("TargetFailures", t.health.failureStreak).Send()
	}
}
