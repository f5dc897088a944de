package planner

import (
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/budget"
)

// fullPace is the percentage that a worker reports of a long-running task that is at work.
const fullPace = 100

// disruptGang stops a run as stopGang does, because of a scheduling decision, unless this takes
// more long-running tasks of a step away than its disruption budget allows.
func (p *Planner) disruptGang(r *run, reason string, now time.Time) {
	if !p.mayDisrupt(r, now) {
		p.withhold(r, reason)
		return
	}
	r.disruption = r.task.step.spec.LongRunning
	if r.task.step.spec.Gang {
		for _, t := range r.task.step.tasks {
			for _, o := range t.runs {
				o.disruption = r.disruption
			}
		}
	}
	p.stopGang(r, reason)
}

// withhold logs that a stop is withheld, once for a run.
func (p *Planner) withhold(r *run, reason string) {
	if r.withheld {
		return
	}
	r.withheld = true
	p.count(`medlargrade_stops_withheld_total`)
	p.log.Info().Int("Event", EventStopWithheld).Str("Task", r.task.name).Int("Run", r.number).Str("Target", r.incarnation.Target).
		Int("MayMiss", r.task.step.spec.MayMiss).Str("Reason", reason).Msg("stop withheld by the disruption budget")
}

// mayDisrupt reports whether the disruption budget allows a scheduling decision to stop a run, and
// with it the other members of its gang. The run itself may be in the course of being stopped.
func (p *Planner) mayDisrupt(r *run, now time.Time) bool {
	s := r.task.step
	if !s.spec.LongRunning || s.occ.state.Final() {
		return true
	}
	var stopped, others []budget.Task
	for _, t := range s.tasks {
		known := budget.Task{}
		for _, o := range t.runs {
			known = p.budgetTask(o, now)
		}
		if t == r.task || s.spec.Gang {
			stopped = append(stopped, known)
		} else {
			others = append(others, known)
		}
	}
	return budget.Budget{MayMiss: s.spec.MayMiss, StopTime: p.settings.StopTime}.Allows(stopped, others)
}

// reclaimable returns the runs of a long-running step that may be stopped at once for a unit within a
// guarantee that may be placed on the given targets: as many as the disruption budget of the step
// allows, those of the first tasks. The guarantee of a workspace comes before the work of a step
// without a budget.
func (p *Planner) reclaimable(s *step, targets []*target, now time.Time) map[*run]struct{} {
	var known []budget.Task
	var runs []*run
	for _, t := range s.tasks {
		k := budget.Task{}
		for _, r := range t.runs {
			k = p.budgetTask(r, now)
			if s.spec.Gang || slices.Contains(targets, p.targetNamed(r.incarnation.Target)) {
				runs = append(runs, r)
			}
		}
		known = append(known, k)
	}
	left := len(runs)
	if s.spec.MayMiss > 0 {
		left = min(left, budget.Budget{MayMiss: s.spec.MayMiss, StopTime: p.settings.StopTime}.Left(known))
	}
	if s.spec.Gang && left < len(runs) {
		left = 0
	}
	out := make(map[*run]struct{}, left)
	for _, r := range runs[:left] {
		out[r] = struct{}{}
	}
	return out
}

// reclaim stops a run because a unit within a guarantee, or an urgent one, needs its capacity.
func (p *Planner) reclaim(r *run, reason string, now time.Time) {
	if s := r.task.step.spec; s.LongRunning && s.MayMiss > 0 {
		p.disruptGang(r, reason, now)
		return
	}
	p.stopRun(r, reason)
}

// budgetTask returns what is known of the task of a run. A run that was not listed yet may be at
// work unless the lists of its worker are known.
func (p *Planner) budgetTask(r *run, now time.Time) budget.Task {
	if r.firstListedAt.IsZero() {
		t := p.targetNamed(r.incarnation.Target)
		return budget.Task{MayWork: !t.connected || !t.runsKnown || r.incarnation != t.incarnation()}
	}
	return budget.Task{
		MayWork: true, FullPace: r.percent == fullPace, Stopping: r.stopReason != "",
		ListedFor: now.Sub(r.firstListedAt), ListAge: now.Sub(r.lastListedAt),
	}
}

// movesInTurn reports whether a run moves as soon as its worker begins to leave: a long-running
// task with a disruption budget does not end by itself, and the tasks of its step must move one
// after the other.
func (p *Planner) movesInTurn(r *run, from *target, now time.Time) bool {
	s := r.task.step.spec
	return s.LongRunning && s.MayMiss > 0 && p.fitsElsewhere(r, from, now)
}

// withholdsStop reports whether a stop that a scheduling decision has caused may not be sent now:
// other tasks may have gone away since it was decided, while the rows were written or an earlier
// order was not answered.
func (p *Planner) withholdsStop(r *run) bool { return r.disruption && !p.mayDisrupt(r, p.latest) }
