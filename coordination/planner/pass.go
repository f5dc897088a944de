package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// lateFactor is the multiple of its objective after which a job is worth nothing.
	lateFactor = 3
	// maxBatchRows bounds the rows of a batch. A transaction holds table.MaxEntries entries,
	// and the owner uses two of them.
	maxBatchRows = 90
	// maxBatchBytes bounds the total size of the rows of occurrences in a batch. The rows of the
	// speeds and of the load may come with them.
	maxBatchBytes = table.MaxTxBytes - 2*table.MaxValueBytes
)

// unit is a set of tasks that are placed together: a whole gang or a single task. The
// waiting tasks of a step that is not a gang are collected as one unit, which placeTasks
// splits.
type unit struct {
	step         *step
	tasks        []*task
	kind         *operator.Kind
	resources    resources // of each task
	objectiveEnd time.Time // when the occurrence should have ended, by the objective of its kind
	tier         int       // one of the tier constants
	waitingSince time.Time // waitingSince of the step
}

// Tiers of units, in the order in which they are placed within a priority. They are
// predicted from the run time of the unit's step alone.
const (
	tierOnTime    = iota // can still meet its objective
	tierLate             // can still end before it is worth nothing
	tierWorthless        // will end too late to be worth anything
)

// Plan makes a pass if one is due and returns the pending decisions. The planner's state
// already includes everything in the batch, so the owner must carry it out or give up
// the shard.
func (p *Planner) Plan(now time.Time) Batch {
	p.latest = now
	if p.config != nil && (p.needsPass || now.Sub(p.lastPass) >= maxPassInterval) {
		p.lastPass = now
		p.learnSpeeds(now)
		p.detectInterference(now)
		p.addDueOccurrences(now)
		p.expireJobs(now)
		p.removeOldJobs(now)
		p.evacuate(now)
		p.withdrawStarts()
		p.handleStalledRuns(now)
		p.checkSuspects(now)
		p.eligibleCache, p.room = make(map[requirement]*eligibleTargets), roomState{}
		if !p.startsWithheld() {
			p.processClaims(now)
			p.updateReservations(now)
			p.updateShares(now)
			for _, u := range p.units(now) {
				p.placeTasks(u, now)
			}
		}
		p.checkRuns(now)
		// Stopping a run sets needsPass, but frees no capacity before the run ends.
		p.needsPass = false
	}
	return p.takeBatch(now)
}

// maxPassInterval is the time after which Plan makes a pass although no change has been
// noted: delays that expire and orders that must be resent do not set needsPass. It is a
// fifteenth of the 3 s for which a job may wait while there is free capacity for it.
const maxPassInterval = 200 * time.Millisecond

// addDueOccurrences adds the occurrences of jobs whose time has come.
func (p *Planner) addDueOccurrences(now time.Time) {
	for _, js := range p.jobs {
		if js.givenUp {
			// An earlier planner may not have recorded the end of all occurrences.
			p.failOccurrences(js, now)
		}
		if js.cancelled || js.givenUp {
			continue
		}
		for len(js.occurrences) < js.job.Occurrences() {
			if due, timed := js.job.Due(len(js.occurrences)); timed && due.After(now) {
				break
			}
			o := p.addOccurrence(js, now)
			if js.job.Times > 0 {
				p.markDirty(o)
			}
		}
	}
}

// units returns the units that wait to be placed, in the order in which they are placed.
func (p *Planner) units(now time.Time) []unit {
	var out []unit
	for _, js := range p.jobs {
		k := p.kindOf(js)
		for _, o := range js.occurrences {
			if !o.state.Final() && !js.cancelled {
				out = p.appendUnits(out, o, k, now)
			}
		}
	}
	slices.SortFunc(out, func(x, y unit) int {
		return cmp.Or(
			cmp.Compare(x.kind.Priority(), y.kind.Priority()),
			cmp.Compare(x.tier, y.tier),
			p.compareShares(x, y),
			x.objectiveEnd.Compare(y.objectiveEnd),
			cmp.Compare(x.step.occ.key, y.step.occ.key),
			cmp.Compare(x.step.index, y.step.index),
		)
	})
	return out
}

// appendUnits appends the units of an occurrence that wait to be placed. A gang is added
// only if all its tasks are waiting.
func (p *Planner) appendUnits(out []unit, o *occurrence, k *operator.Kind, now time.Time) []unit {
	for _, s := range o.steps {
		if !s.isReady() {
			continue
		}
		if s.waitingSince.IsZero() {
			s.waitingSince = now
			p.observeArrival(s, k, now)
		}
		tasks := s.waitingTasks(now)
		if len(tasks) == 0 || s.spec.Gang && len(tasks) < len(s.tasks) {
			continue
		}
		u := unit{step: s, tasks: tasks, kind: k, resources: taskResources(s.spec), waitingSince: s.waitingSince}
		u.objectiveEnd, u.tier = p.objectiveEndAndTier(s, k, now)
		out = append(out, u)
	}
	return out
}

// waitingTasks returns the tasks that can be placed now.
func (s *step) waitingTasks(now time.Time) []*task {
	var out []*task
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && !t.claimed && !now.Before(t.retryAt) {
			out = append(out, t)
		}
	}
	return out
}

// isReady reports whether all steps that it depends on are done.
func (s *step) isReady() bool {
	for _, a := range s.spec.After {
		if !s.occ.steps[a].done() {
			return false
		}
	}
	return true
}

// objectiveEndAndTier returns when the occurrence should have ended, by the objective of its
// kind, and the tier of a unit of the step.
func (p *Planner) objectiveEndAndTier(s *step, k *operator.Kind, now time.Time) (time.Time, int) {
	js := s.occ.job
	start := s.occ.releaseTime()
	objective := p.objective(js, k)
	objectiveEnd := start.Add(objective)
	end := now.Add(p.bestRunTime(js.job.Kind, s.spec))
	switch {
	case !end.After(objectiveEnd):
		return objectiveEnd, tierOnTime
	case !end.After(start.Add(lateFactor * objective)):
		return objectiveEnd, tierLate
	}
	return objectiveEnd, tierWorthless
}

// startRuns records a run of each task on its target and orders the starts. The runs get
// the same number, which is higher than that of any earlier run of these tasks.
func (p *Planner) startRuns(tasks []*task, targets []*target, now time.Time) {
	number := 0
	for _, t := range tasks {
		number = max(number, t.lastRun)
	}
	number++
	o := tasks[0].step.occ
	for i, t := range tasks {
		t.lastRun = number
		r := &run{task: t, number: number, incarnation: targets[i].incarnation(), resources: taskResources(t.step.spec), progressedAt: now}
		t.runs = append(t.runs, r)
		p.addRunToTarget(targets[i], r)
		if p.isSuspect(t) {
			p.isolate(t, targets[i])
		}
		p.orderStart(r, now)
		p.log.Info().Int("Event", EventRunPlanned).Str("Task", t.name).Int("Run", number).Str("Target", targets[i].name).
			Str("Worker", r.incarnation.Worker).Dur("Waited", now.Sub(t.step.waitingSince)).Str("Checkpoint", t.checkpoint).Send()
		p.count(`medlargrade_runs_planned_total`)
	}
	if !o.begun {
		p.measureStart(o, now)
	}
	o.state = job.Running
	o.begun = true
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	p.markDirty(o)
}

// takeBatch returns the decisions that are in no earlier batch and are due, up to the limits of
// a transaction. The rest stays pending.
func (p *Planner) takeBatch(now time.Time) Batch {
	b := Batch{EndAcks: make(map[string]EndAck)}
	bytes := 0
	occurrences := make([]*occurrence, 0, len(p.dirty))
	for o, due := range p.dirty {
		if !due.After(now) {
			occurrences = append(occurrences, o)
		}
	}
	slices.SortFunc(occurrences, func(x, y *occurrence) int { return cmp.Compare(x.key, y.key) })
	deferred := make(map[*occurrence]struct{})
	for _, o := range occurrences {
		w := p.recordWithin(o, now)
		// Writes get half of the rows, since each may come with a deletion.
		if len(b.Writes) >= maxBatchRows/2 || bytes+len(w.Value) > maxBatchBytes && len(b.Writes) > 0 {
			deferred[o] = struct{}{}
			continue
		}
		bytes += len(w.Value)
		b.Writes = append(b.Writes, w)
		delete(p.dirty, o)
		if o.job.hasWaitingRow && (o.begun || o.state.Final()) {
			o.job.hasWaitingRow = false
			b.Deletions = append(b.Deletions, table.Deletion{Table: job.TableWaiting, Key: o.job.job.WaitingKey()})
		}
	}
	for len(p.toDelete) > 0 {
		d := p.toDelete[0].deletions()
		if len(b.Writes)+len(b.Deletions)+len(d) > maxBatchRows {
			break
		}
		b.Deletions = append(b.Deletions, d...)
		p.toDelete = p.toDelete[1:]
	}
	p.batchSpeeds(&b, now)
	p.batchOrders(&b, deferred)
	p.batchEndAcks(&b)
	return b
}

// batchEndAcks moves the run ends that are recorded by the batch, or before, to it. Ends are
// acknowledged by the highest number, so that one which isn't recorded yet holds back those after
// it on the same target.
func (p *Planner) batchEndAcks(b *Batch) {
	for t := range p.unackedEnds {
		recorded := 0
		for recorded < len(t.unrecordedEnds) {
			if _, dirty := p.dirty[t.unrecordedEnds[recorded].occ]; dirty {
				break
			}
			recorded++
		}
		end := t.lastEnd
		if t.unrecordedEnds = t.unrecordedEnds[recorded:]; len(t.unrecordedEnds) > 0 {
			end = t.unrecordedEnds[0].number - 1
		} else {
			delete(p.unackedEnds, t)
		}
		b.EndAcks[t.name] = EndAck{Incarnation: t.worker.GetLife(), End: end}
	}
}

// batchOrders moves the pending orders to the batch, except those whose rows are
// deferred. Orders that are out of date are dropped.
func (p *Planner) batchOrders(b *Batch, deferred map[*occurrence]struct{}) {
	for name, list := range p.orders {
		t := p.targets[name]
		o := TargetOrders{Target: name, Incarnation: t.worker.GetLife()}
		var kept []Order
		for _, ord := range list {
			if ord.run != nil {
				if !p.OrderValid(name, ord) {
					continue
				}
				if _, isDeferred := deferred[ord.run.task.step.occ]; isDeferred {
					kept = append(kept, ord)
					continue
				}
			}
			o.Orders = append(o.Orders, ord)
		}
		if len(kept) > 0 {
			p.orders[name] = kept
		} else {
			delete(p.orders, name)
		}
		if len(o.Orders) > 0 {
			b.Orders = append(b.Orders, o)
		}
	}
	slices.SortFunc(b.Orders, func(x, y TargetOrders) int { return cmp.Compare(x.Target, y.Target) })
}
