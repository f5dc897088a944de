// Package budget decides whether long-running tasks may be stopped, given the disruption budget
// of their step.
//
// The budget of a step, job.Step.MayMiss, is the number of its tasks that may be away at once
// because of scheduling decisions: no order may remove a task that is at work while as many others
// are away. A task is away if such an order has ended it, and it is not at work again, or if it has
// not been at work for 5.5 s, for any reason. A budget of 0 allows no such order.
//
// What a planner knows of a task is seconds old and can be wrong after a change of the planner. The
// package therefore counts each task as away that is not certainly at work, from its first moment
// on, and each task that is stopped as at work if it may be. It has no state: what it needs to know
// is in the lists of the workers, so that a new planner decides as its predecessor.
//
// # Usage
//
//	b := budget.Budget{MayMiss: step.MayMiss, StopTime: stopTime}
//	if b.Allows(stopped, others) {
//		stop(stopped)
//	}
package budget

import "time"

const (
	// maxListAge is the age from which a list no longer shows that a task is at work. Lists are
	// up to 1.5 s old if the agent and the worker answer. With it, a task that has not been at work
	// for 5.5 s counts as away.
	maxListAge = 2500 * time.Millisecond
	// settleMargin is the time, beyond that of a stop, for which a planner must have listed a task
	// until it is certainly at work. A stop that a former planner has ordered takes effect by then:
	// a poll of the worker takes up to 1 s.
	settleMargin = time.Second
)

// Task is what a planner knows of a long-running task.
type Task struct {
	MayWork   bool          // it has a run that may be at work
	FullPace  bool          // the run worked at full pace by the last list
	Stopping  bool          // the run is being stopped
	ListedFor time.Duration // since this planner has first seen the run in a list
	ListAge   time.Duration // since the last list with the run
}

// Budget is the disruption budget of a step.
type Budget struct {
	MayMiss  int           // tasks of the step that may be away because of scheduling decisions
	StopTime time.Duration // time that a worker takes to stop a run
}

// Allows reports whether an order may stop the given tasks of a step at once. others are all other
// tasks of the step.
func (b Budget) Allows(stopped, others []Task) bool {
	removed := 0
	for _, t := range stopped {
		if t.MayWork {
			removed++
		}
	}
	if removed == 0 {
		return true
	}
	away := len(stopped) - removed + b.away(others)
	return away+removed <= b.MayMiss
}

// Left returns how many tasks of a step may be stopped at once, of which tasks is known.
func (b Budget) Left(tasks []Task) int { return max(b.MayMiss-b.away(tasks), 0) }

// away returns how many tasks are not certainly at work.
func (b Budget) away(tasks []Task) int {
	n := 0
	for _, t := range tasks {
		if !b.isAtWork(t) {
			n++
		}
	}
	return n
}

// isAtWork reports whether a task is certainly at work.
func (b Budget) isAtWork(t Task) bool {
	return t.MayWork && t.FullPace && !t.Stopping && t.ListedFor >= b.StopTime+settleMargin && t.ListAge <= maxListAge
}
