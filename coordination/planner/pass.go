package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// lateFactor times the objective is when the worth of a job ends.
	lateFactor = 3
	// maxBatchRows bounds the rows of one batch: a transaction has 100 entries, of
	// which the owner needs two.
	maxBatchRows = 90
	// maxBatchBytes bounds the values of one batch.
	maxBatchBytes = table.MaxTxBytes
)

// unit is what is placed at once: a whole gang or a single task. In a pass, the
// waiting tasks of a step that are placed one by one begin as one unit.
type unit struct {
	step       *step
	tasks      []*task
	kind       *operator.Kind
	resources  resources // of each task
	deadline   time.Time
	tier       int
	readySince time.Time // when it could first start
}

// Tiers of units, from the most urgent.
const (
	tierOnTime = iota // can still meet its objective
	tierLate          // can still end before it is worth nothing
	tierWorthless
)

// Plan decides what to do now and returns it. Everything in the batch is part of
// the planner's state already; the owner must carry it out or give up the shard.
func (p *Planner) Plan(now time.Time) Batch {
	if p.snapshot != nil && (p.needsPass || now.Sub(p.lastPass) >= maxPassInterval) {
		p.lastPass = now
		p.addDueOccurrences(now)
		p.expireJobs(now)
		p.removeOldJobs(now)
		p.evacuate(now)
		p.handleStalledRuns(now)
		p.eligibleCache = make(map[requirement]*eligibleTargets)
		p.processClaims(now)
		for _, u := range p.units(now) {
			p.placeTasks(u, now)
		}
		p.checkRuns(now)
		// What was stopped in this pass is news only when it has ended.
		p.needsPass = false
	}
	return p.takeBatch()
}

// maxPassInterval is the longest time between two whole passes: delays that are over and
// orders that must be repeated are not news. It is a fifteenth of the 3 s for which a
// job may stand still while there is room.
const maxPassInterval = 200 * time.Millisecond

// addDueOccurrences adds the occurrences that are due.
func (p *Planner) addDueOccurrences(now time.Time) {
	for _, js := range p.jobs {
		if js.cancelled {
			continue
		}
		for len(js.occurrences) < js.job.Occurrences() {
			if due, timed := js.job.Due(len(js.occurrences)); timed && due.After(now) {
				break
			}
			o := p.addOccurrence(js, now)
			if js.job.Times > 0 {
				p.dirty[o] = struct{}{}
			}
		}
	}
}

// units returns what waits for a place, the most urgent first.
func (p *Planner) units(now time.Time) []unit {
	var out []unit
	for _, js := range p.jobs {
		k := p.kind(js)
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
			x.deadline.Compare(y.deadline),
			cmp.Compare(x.step.occ.key, y.step.occ.key),
			cmp.Compare(x.step.index, y.step.index),
		)
	})
	return out
}

func (p *Planner) appendUnits(out []unit, o *occurrence, k *operator.Kind, now time.Time) []unit {
	for _, s := range o.steps {
		if !s.isReady() {
			continue
		}
		if s.readyAt.IsZero() {
			s.readyAt = now
		}
		tasks := s.waitingTasks(now)
		if len(tasks) == 0 || s.spec.Gang && len(tasks) < len(s.tasks) {
			continue
		}
		u := unit{step: s, tasks: tasks, kind: k, resources: taskResources(s.spec), readySince: s.readyAt}
		u.deadline, u.tier = p.urgency(s, k, now)
		out = append(out, u)
	}
	return out
}

// waitingTasks returns the tasks that wait for a place.
func (s *step) waitingTasks(now time.Time) []*task {
	var out []*task
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && !t.claimed && !now.Before(t.retryAt) {
			out = append(out, t)
		}
	}
	return out
}

// isReady reports whether all steps before it are done.
func (s *step) isReady() bool {
	for _, a := range s.spec.After {
		if !s.occ.steps[a].done() {
			return false
		}
	}
	return true
}

// urgency returns when the job should end and whether that is still possible.
func (p *Planner) urgency(s *step, k *operator.Kind, now time.Time) (time.Time, int) {
	js := s.occ.job
	start := s.occ.releaseTime()
	objective := p.objective(js, k)
	deadline := start.Add(objective)
	end := now.Add(p.runTime(js.job.Kind, s.spec))
	switch {
	case !end.After(deadline):
		return deadline, tierOnTime
	case !end.After(start.Add(lateFactor * objective)):
		return deadline, tierLate
	}
	return deadline, tierWorthless
}

// startRuns records a run of each task on its target and orders the starts.
func (p *Planner) startRuns(tasks []*task, on []*target, now time.Time) {
	number := 0
	for _, t := range tasks {
		number = max(number, t.lastRun)
	}
	number++
	o := tasks[0].step.occ
	for i, t := range tasks {
		t.lastRun = number
		r := &run{task: t, number: number, place: on[i].place(), resources: taskResources(t.step.spec), progressedAt: now}
		t.runs = append(t.runs, r)
		p.addRun(on[i], r)
		p.orderStart(r, now)
		p.log.Info().Int("Event", EventRunPlanned).Str("Task", t.name).Int("Run", number).Str("Target", on[i].name).
			Str("Worker", r.place.Worker).Dur("Waited", now.Sub(t.step.readyAt)).Str("Checkpoint", t.checkpoint).Send()
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
	if o.job.hasWaitingRow {
		o.job.hasWaitingRow = false
		p.waitingRowKeys = append(p.waitingRowKeys, o.job.job.WaitingKey())
	}
	p.dirty[o] = struct{}{}
}

// takeBatch returns what has been decided since the last one.
func (p *Planner) takeBatch() Batch {
	b := Batch{Seen: make(map[string]Seen)}
	bytes := 0
	occurrences := make([]*occurrence, 0, len(p.dirty))
	for o := range p.dirty {
		occurrences = append(occurrences, o)
	}
	slices.SortFunc(occurrences, func(x, y *occurrence) int { return cmp.Compare(x.key, y.key) })
	held := make(map[*occurrence]struct{})
	for _, o := range occurrences {
		w := o.record()
		if len(b.Writes) >= maxBatchRows/2 || bytes+len(w.Value) > maxBatchBytes && len(b.Writes) > 0 {
			held[o] = struct{}{}
			continue
		}
		bytes += len(w.Value)
		b.Writes = append(b.Writes, w)
		delete(p.dirty, o)
	}
	for len(p.waitingRowKeys) > 0 && len(b.Writes)+len(b.Deletions) < maxBatchRows {
		b.Deletions = append(b.Deletions, table.Deletion{Table: job.TableWaiting, Key: p.waitingRowKeys[0]})
		p.waitingRowKeys = p.waitingRowKeys[1:]
	}
	for len(p.toDelete) > 0 {
		d := p.toDelete[0].deletions()
		if len(b.Writes)+len(b.Deletions)+len(d) > maxBatchRows {
			break
		}
		b.Deletions = append(b.Deletions, d...)
		p.toDelete = p.toDelete[1:]
	}
	p.batchOrders(&b, held)
	if len(held) > 0 {
		// Rows that did not fit may hold the ends, so nothing is forgotten yet.
		return b
	}
	maps.Copy(b.Seen, p.endAcks)
	clear(p.endAcks)
	return b
}

// batchOrders moves the orders whose rows are in the batch into it.
func (p *Planner) batchOrders(b *Batch, held map[*occurrence]struct{}) {
	for name, list := range p.orders {
		t := p.targets[name]
		o := TargetOrders{Target: name, Life: t.worker.GetLife()}
		var keep []Order
		for _, ord := range list {
			if ord.run != nil {
				if !p.Stands(name, ord) {
					continue
				}
				if _, wait := held[ord.run.task.step.occ]; wait {
					keep = append(keep, ord)
					continue
				}
			}
			o.Orders = append(o.Orders, ord)
		}
		if len(keep) > 0 {
			p.orders[name] = keep
		} else {
			delete(p.orders, name)
		}
		if len(o.Orders) > 0 {
			b.Orders = append(b.Orders, o)
		}
	}
	slices.SortFunc(b.Orders, func(x, y TargetOrders) int { return cmp.Compare(x.Target, y.Target) })
}
