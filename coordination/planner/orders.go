package planner

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// resendAfter is the time after which an order whose effect is unknown is queued again.
	resendAfter = time.Second
	// refusalPause is the time after a refused start in which the target gets no new
	// work and the task is not started again. For the target it doubles with each
	// refusal, up to maxRefusalPause.
	refusalPause    = 300 * time.Millisecond
	maxRefusalPause = 8 * time.Second
	// reasonStaleRun is the reason with which a worker refuses a run if this run, or a later
	// one of the task, has been stopped or has ended.
	reasonStaleRun = "old"
	// reasonNoPayload and reasonNotSent are the reasons with which an agent refuses a start
	// that it did not send, because it could not read the payload or reach the worker.
	reasonNoPayload = "no payload"
	reasonNotSent   = "not sent"
)

// orderStart queues the order to start a run.
func (p *Planner) orderStart(r *run, now time.Time) {
	r.startQueuedAt = now
	r.startOrders++
	js := r.task.step.occ.job
	p.orders[r.incarnation.Target] = append(p.orders[r.incarnation.Target], Order{
		Task: r.task.name, Run: r.number, run: r,
		Message: &agentrpc.Order{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{
			Task: r.task.name, Run: int64(r.number), Payload: js.job.Payload, Checkpoint: r.task.checkpoint,
			PayloadObject: js.job.PayloadObject,
		}}},
	})
}

// stopRun marks a run as to be stopped, unless it has ended or is marked already.
// checkRuns queues the order.
func (p *Planner) stopRun(r *run, reason string) {
	t := p.targetNamed(r.incarnation.Target)
	if _, active := t.runs[r]; !active || r.stopReason != "" {
		return
	}
	if p.neverStarted(t, r) {
		p.log.Info().Int("Event", EventRunLost).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.incarnation.Target).
			Str("Reason", "never started: "+reason).Send()
		p.removeRun(r)
		return
	}
	r.stopReason = reason
	t.stopping = t.stopping.plus(r.resources)
	p.usageByWorkspace, p.needsPass = nil, true
	p.count(`medlargrade_runs_stopped_total`)
	p.log.Info().Int("Event", EventRunStopped).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.incarnation.Target).
		Str("Reason", reason).Send()
}

// neverStarted reports whether a run that a former planner has recorded has certainly not
// started and never will: the worker has confirmed this planner's fencing token and does not
// list the run, with all its ends, and this planner has not ordered it.
func (p *Planner) neverStarted(t *target, r *run) bool {
	return r.startQueuedAt.IsZero() && r.confirmedAt.IsZero() && r.firstListedAt.IsZero() &&
		t.runsKnown && t.poll > 0 && r.incarnation == t.incarnation()
}

// stopGang stops a run and, if it is a member of a gang, the other members.
func (p *Planner) stopGang(r *run, reason string) {
	if !r.task.step.spec.Gang {
		p.stopRun(r, reason)
		return
	}
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			p.stopRun(o, reason)
		}
	}
}

// orderStop queues the order to stop a run; r is nil if the run is not in any row.
func (p *Planner) orderStop(target, task string, number int, r *run) {
	p.orders[target] = append(p.orders[target], Order{
		Task: task, Run: number, Stop: true, run: r,
		Message: &agentrpc.Order{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: task, Run: int64(number)}}},
	})
}

// checkRuns stops the runs of ended jobs, enforces the time limits of jobs, and queues the
// orders that are due: stops that have not been queued, and starts and stops whose effect is
// unknown. The members of a completed gang get Settings.GangWait to end on their own.
// Targets that are not connected, or whose runs are not known, are skipped.
func (p *Planner) checkRuns(now time.Time) {
	for _, t := range p.targets {
		if !t.connected || !t.runsKnown {
			continue
		}
		current := t.incarnation()
		for r := range t.runs {
			if r.incarnation != current {
				continue
			}
			if o := r.task.step.occ; o.state.Final() && (o.state != job.Completed || now.Sub(o.finalAt) > p.settings.GangWait) {
				p.stopRun(r, "job "+string(r.task.step.occ.state))
			}
			p.checkLimit(r, now)
			switch {
			case r.stopReason != "":
				if now.Sub(r.stopQueuedAt) >= resendAfter {
					r.stopQueuedAt = now
					p.orderStop(t.name, r.task.name, r.number, r)
				}
			case r.confirmedAt.IsZero() && now.Sub(r.startQueuedAt) >= resendAfter:
				p.repeatStart(t, r, now)
			}
		}
		for key, queuedAt := range t.foreign {
			if now.Sub(queuedAt) >= resendAfter {
				t.foreign[key] = now
				p.orderStop(t.name, key.task, key.run, nil)
			}
		}
	}
}

// repeatStart queues another order to start a run, unless the capacity of the worker has shrunk
// below what it may run: not every worker refuses a start for which it has no capacity. The
// run is then stopped, if the stops in progress don't free enough capacity for it.
func (p *Planner) repeatStart(t *target, r *run, now time.Time) {
	switch {
	case !p.mayStartOn(t):
		// withdrawStarts stops the run, or the start waits until the requests to evacuate are known.
	case !t.unused().isNegative():
		p.orderStart(r, now)
	case t.unused().plus(t.stopping).isNegative():
		p.disruptGang(r, "the capacity of the worker has shrunk", now)
	}
}

// checkLimit fails the job of a run that has run for longer than the job's limit.
func (p *Planner) checkLimit(r *run, now time.Time) {
	o := r.task.step.occ
	limit := time.Duration(o.job.job.LimitMillis) * time.Millisecond
	if limit <= 0 || r.confirmedAt.IsZero() || now.Sub(r.confirmedAt) <= limit || o.state.Final() {
		return
	}
	r.task.err = fmt.Sprintf("the task ran longer than its limit of %v", limit)
	p.finishOccurrence(o, job.Failed, now)
}

// OrderValid reports whether an order must still be carried out. Its run may have
// been removed or stopped while its row was being committed, the capacity of the worker may
// have shrunk, and its data centre may be evacuated.
func (p *Planner) OrderValid(target string, o Order) bool {
	if o.run == nil {
		return true
	}
	t := p.targetNamed(target)
	_, ok := t.runs[o.run]
	if !ok || o.run.incarnation != t.incarnation() {
		return false
	}
	if o.Stop {
		return !p.withholdsStop(o.run)
	}
	return o.run.stopReason == "" && p.mayStartOn(t) && !t.unused().isNegative()
}

// HandleOrderResult handles the result of an order; res is nil if there was no
// answer.
func (p *Planner) HandleOrderResult(name string, incarnation *agentrpc.Life, o Order, res *agentrpc.OrderResult, now time.Time) {
	t := p.targetNamed(name)
	r := o.run
	if r == nil || !agentrpc.SameLife(t.worker.GetLife(), incarnation) {
		return
	}
	if _, ok := t.runs[r]; !ok {
		return
	}
	switch {
	case o.Stop && res.GetOutcome() == agentrpc.Outcome_DONE:
		// The result of a resent stop must not replace the poll that confirms the
		// first one: if each resend postponed it, the stop might never be confirmed.
		if r.stopPoll == 0 {
			r.stopPoll = res.GetLook()
		}
	case o.Stop:
	case res.GetReason() == reasonStaleRun && r.confirmedAt.IsZero():
		// Either the run has ended, which a list shows, perhaps not the next one, or it was stopped before
		// it started, which the stop confirms.
		p.stopGang(r, "the worker has seen this run before")
	case res.GetOutcome() == agentrpc.Outcome_DONE:
		t.refusals = 0
		p.confirm(r, now)
	case res.GetOutcome() == agentrpc.Outcome_REFUSED:
		p.startRefused(t, r, res.GetReason(), now)
	}
}

// confirm records that a run is known to run. The time is written at once only if a limit
// counts from it.
func (p *Planner) confirm(r *run, now time.Time) {
	if !r.confirmedAt.IsZero() {
		return
	}
	r.confirmedAt, r.progressedAt = now, now
	if o := r.task.step.occ; o.job.job.LimitMillis > 0 {
		p.markDirty(o)
	}
}

// startRefused handles the refusal of a start order, other than with reasonStaleRun: the order has
// not started the run and never will.
func (p *Planner) startRefused(t *target, r *run, reason string, now time.Time) {
	if !r.confirmedAt.IsZero() {
		// An earlier order has started the run, and only the resent one was refused.
		return
	}
	if r.startOrders > 1 && (reason == reasonNoPayload || reason == reasonNotSent) {
		// An earlier order may have started the run, and this one says nothing of it.
		return
	}
	p.log.Info().Int("Event", EventStartRefused).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
		Str("Reason", reason).Msg("start refused")
	if reason != reasonNoPayload {
		t.refusals++
		// The bound of 8 keeps the shift from overflowing.
		t.refusalPauseUntil = now.Add(min(refusalPause<<min(t.refusals-1, 8), maxRefusalPause))
	}
	r.task.retryAt = now.Add(refusalPause)
	p.stopGang(r, "a start of it was refused")
	if r.startOrders == 1 {
		p.removeRun(r)
	}
	// If the start was ordered several times, an earlier order may have started the run,
	// which may even have ended. The stop shows whether it did.
}
