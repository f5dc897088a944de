package worker

import (
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// endOr returns the time when the run ended, or now if it has not.
func (r Record) endOr(now time.Time) time.Time {
	if r.Ended.IsZero() {
		return now
	}
	return r.Ended
}

// Incarnation identifies the worker's incarnation on which the run was started.
func (r Record) Incarnation() string { return fmt.Sprintf("%s@%d", r.Worker, r.Born) }

// CheckOnce returns the violations of at-most-once execution: pairs of overlapping runs
// of a task, and runs that were started after another run of the task was done, unless
// the end of that run was void by then. size is as in CheckGangs.
func CheckOnce(records []Record, size func(n job.TaskName) int, now time.Time) []string {
	byTask := make(map[string][]Record)
	for _, r := range records {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var violations []string
	for task, list := range byTask {
		slices.SortFunc(list, func(a, b Record) int { return a.Arrived.Compare(b.Arrived) })
		for i, earlier := range list {
			for _, later := range list[i+1:] {
				if later.Arrived.Before(earlier.endOr(now)) {
					violations = append(violations, fmt.Sprintf("run %d of %s on %s was started while run %d ran on %s", later.Run, task, later.Incarnation(), earlier.Run, earlier.Incarnation()))
				}
				if earlier.How == EndDone && !isVoid(records, earlier, size, later.Arrived) {
					violations = append(violations, fmt.Sprintf("run %d of %s was started on %s after run %d was done on %s", later.Run, task, later.Incarnation(), earlier.Run, earlier.Incarnation()))
				}
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// isVoid reports whether the end of a run was void at a time, so that the planner could
// run the task again: the worker's lease had expired, or its incarnation had ended,
// while the worker still listed the end. A void end of one member of a gang makes the
// ends of all members void, since each has a result.
func isVoid(records []Record, record Record, size func(n job.TaskName) int, at time.Time) bool {
	gang, isGang := gangRunOf(record, size)
	return slices.ContainsFunc(records, func(r Record) bool {
		if r.Void.IsZero() || r.Void.After(at) || r.Run != record.Run {
			return false
		}
		if r.Task == record.Task {
			return true
		}
		other, otherIsGang := gangRunOf(r, size)
		return isGang && otherIsGang && gang == other
	})
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job              string
	occurrence, step int
	run              int64
}

// gangRunOf returns the run of the gang that a record belongs to, and false if the task
// belongs to no gang.
func gangRunOf(r Record, size func(n job.TaskName) int) (gangRun, bool) {
	n, err := job.ParseTaskName(r.Task)
	if err != nil || size(n) <= 1 {
		return gangRun{}, false
	}
	return gangRun{n.Job, n.Occurrence, n.Step, r.Run}, true
}

// CheckGangs returns the gangs that began before all members had started, and the
// members that worked after another member of their gang had ended. size returns the
// number of members of a step's gang, or 1 if it is none.
func CheckGangs(records []Record, size func(n job.TaskName) int, now time.Time) []string {
	gangs := make(map[gangRun][]Record)
	for _, r := range records {
		if g, ok := gangRunOf(r, size); ok {
			gangs[g] = append(gangs[g], r)
		}
	}
	var violations []string
	for g, members := range gangs {
		id := fmt.Sprintf("%s.%d.%d run %d", g.job, g.occurrence, g.step, g.run)
		n := size(job.TaskName{Job: g.job, Occurrence: g.occurrence, Step: g.step})
		violations = append(violations, checkGang(id, members, n, now)...)
	}
	slices.Sort(violations)
	return violations
}

// checkGang checks a run of a gang, given the records of its members.
func checkGang(id string, members []Record, size int, now time.Time) []string {
	var violations []string
	var firstBegan, firstEnded time.Time
	for _, r := range members {
		if !r.Began.IsZero() && (firstBegan.IsZero() || r.Began.Before(firstBegan)) {
			firstBegan = r.Began
		}
		if !r.Ended.IsZero() && (firstEnded.IsZero() || r.Ended.Before(firstEnded)) {
			firstEnded = r.Ended
		}
	}
	if firstBegan.IsZero() {
		return nil
	}
	arrived := 0
	for _, r := range members {
		if !r.Arrived.After(firstBegan) {
			arrived++
		}
		if !firstEnded.IsZero() && !r.Began.IsZero() && r.endOr(now).After(firstEnded) {
			violations = append(violations, fmt.Sprintf("%s of gang %s worked %v after another had ended", r.Task, id, r.endOr(now).Sub(firstEnded)))
		}
	}
	if arrived < size {
		violations = append(violations, fmt.Sprintf("gang %s began with %d of %d members", id, arrived, size))
	}
	return violations
}

const (
	// budgetCrashes is the number of workers that a task may crash before further starts count,
	// and budgetStarts the number of further starts that are too many.
	budgetCrashes = 3
	budgetStarts  = 3
)

// CheckCrashBudget returns the tasks that were started budgetStarts times after they had
// crashed budgetCrashes workers.
func CheckCrashBudget(records []Record) []string {
	byTask := make(map[string][]Record)
	for _, r := range records {
		if r.CrashesWorker {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var violations []string
	for task, list := range byTask {
		slices.SortFunc(list, func(a, b Record) int { return a.Arrived.Compare(b.Arrived) })
		further := 0
		for i, r := range list {
			crashes := 0
			for _, earlier := range list[:i] {
				if earlier.How == EndCrashed && !earlier.Ended.After(r.Arrived) {
					crashes++
				}
			}
			if crashes >= budgetCrashes {
				further++
			}
		}
		if further >= budgetStarts {
			violations = append(violations, fmt.Sprintf("%s was started %d times after it had crashed %d workers", task, further, budgetCrashes))
		}
	}
	slices.Sort(violations)
	return violations
}

// Crashed reports whether two workers have crashed under one task of a job, so that the job
// may be given up.
func Crashed(records []Record, id string) bool {
	crashes := make(map[string]int)
	for _, r := range records {
		if n, err := job.ParseTaskName(r.Task); err == nil && n.Job == id && r.How == EndCrashed {
			if crashes[r.Task]++; crashes[r.Task] == 2 {
				return true
			}
		}
	}
	return false
}

// CheckCapacity returns the starts that brought a worker over a capacity that it had reported
// for longer than settle.
func CheckCapacity(records []Record, settle time.Duration) []string {
	var violations []string
	for _, r := range records {
		if r.Excess && r.CapacityAge > settle {
			violations = append(violations, fmt.Sprintf("run %d of %s brought %s over the capacity that it had reported for %v", r.Run, r.Task, r.Incarnation(), r.CapacityAge))
		}
	}
	return violations
}

// CheckLabels returns the starts on workers without the label that the step requires.
func CheckLabels(records []Record) []string {
	var violations []string
	for _, r := range records {
		if r.LacksLabel {
			violations = append(violations, fmt.Sprintf("run %d of %s was started on %s, which lacks the required label", r.Run, r.Task, r.Incarnation()))
		}
	}
	return violations
}
