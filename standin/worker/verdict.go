package worker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// endOf returns the end of a run, or now if it has not ended.
func (r Record) endOf(now time.Time) time.Time {
	if r.Ended.IsZero() {
		return now
	}
	return r.Ended
}

// job returns the ID of the run's job.
func (r Record) job() string {
	id, _, _ := strings.Cut(r.Task, ".")
	return id
}

// Life names the life of the worker on which the run was started.
func (r Record) Life() string { return fmt.Sprintf("%s@%d", r.Worker, r.Born) }

// CheckOnce returns each pair of runs of one task that overlap, and each run that
// began after another one had done the task, unless that end was void before.
func CheckOnce(records []Record, now time.Time) []string {
	byTask := make(map[string][]Record)
	for _, r := range records {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var bad []string
	for task, list := range byTask {
		slices.SortFunc(list, func(a, b Record) int { return a.Arrived.Compare(b.Arrived) })
		for i, x := range list {
			for _, y := range list[i+1:] {
				if y.Arrived.Before(x.endOf(now)) {
					bad = append(bad, fmt.Sprintf("run %d of %s on %s began while run %d ran on %s", y.Run, task, y.Life(), x.Run, x.Life()))
				}
				if x.How == EndDone && !isVoid(records, x, y.Arrived) {
					bad = append(bad, fmt.Sprintf("run %d of %s began on %s after run %d was done on %s", y.Run, task, y.Life(), x.Run, x.Life()))
				}
			}
		}
	}
	slices.Sort(bad)
	return bad
}

// isVoid reports whether the end of a run no longer bound the planner at a time: its
// worker's lease had lapsed, or its life had ended, while the worker still listed the
// end. That of one member of a gang counts for all, since each has a result.
func isVoid(records []Record, x Record, at time.Time) bool {
	return slices.ContainsFunc(records, func(y Record) bool {
		return y.job() == x.job() && y.Run == x.Run && !y.Void.IsZero() && !y.Void.After(at)
	})
}

// CheckGangs returns the gangs of which a member worked before all were there, or
// worked on after another had ended. size returns the members of a step's gang, or 1.
func CheckGangs(records []Record, size func(n job.TaskName) int, now time.Time) []string {
	gangs := make(map[string][]Record)
	sizes := make(map[string]int)
	for _, r := range records {
		n, err := job.ParseTaskName(r.Task)
		if err != nil {
			continue
		}
		if s := size(n); s > 1 {
			id := fmt.Sprintf("%s.%d.%d run %d", n.Job, n.Occurrence, n.Step, r.Run)
			gangs[id] = append(gangs[id], r)
			sizes[id] = s
		}
	}
	var bad []string
	for id, members := range gangs {
		bad = append(bad, checkGang(id, members, sizes[id], now)...)
	}
	slices.Sort(bad)
	return bad
}

func checkGang(id string, members []Record, size int, now time.Time) []string {
	var bad []string
	var began, ended time.Time
	for _, r := range members {
		if !r.Began.IsZero() && (began.IsZero() || r.Began.Before(began)) {
			began = r.Began
		}
		if !r.Ended.IsZero() && (ended.IsZero() || r.Ended.Before(ended)) {
			ended = r.Ended
		}
	}
	if began.IsZero() {
		return nil
	}
	there := 0
	for _, r := range members {
		if !r.Arrived.After(began) {
			there++
		}
		if !ended.IsZero() && !r.Began.IsZero() && r.endOf(now).After(ended) {
			bad = append(bad, fmt.Sprintf("%s of gang %s worked %v after another had ended", r.Task, id, r.endOf(now).Sub(ended)))
		}
	}
	if there < size {
		bad = append(bad, fmt.Sprintf("gang %s began with %d of %d members", id, there, size))
	}
	return bad
}
