package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// noticeTime is the time without work after which a task counts as away, whatever the cause.
const noticeTime = 5500 * time.Millisecond

// budgetObserver judges the stops of the tasks of job j1 by what its workers run.
type budgetObserver struct {
	h         *harness
	mayMiss   int
	tasks     int
	removed   map[string]bool      // by a stop, and not at work since
	idleSince map[string]time.Time // of tasks that are not at work
	removals  int
	bad       []string
}

func newBudgetObserver(h *harness, tasks, mayMiss int) *budgetObserver {
	return &budgetObserver{h: h, tasks: tasks, mayMiss: mayMiss, removed: make(map[string]bool), idleSince: make(map[string]time.Time)}
}

func (o *budgetObserver) task(i int) string { return fmt.Sprintf("j1.0.0.%d", i) }

// isAtWork reports whether a worker runs a task at full pace.
func (o *budgetObserver) isAtWork(task string) bool {
	t := o.h.targetOf(task)
	return t != "" && o.h.workers[t].running[task].GetPercent() == fullPace
}

// tick lets tasks come to work that have started a second before, reports to the planner and makes
// a pass, all of whose stops are carried out at once.
func (o *budgetObserver) tick(reported ...string) {
	h := o.h
	h.now = h.now.Add(200 * time.Millisecond)
	atWork := make(map[string]bool)
	for i := range o.tasks {
		task := o.task(i)
		if t := h.targetOf(task); t != "" && h.now.Sub(h.workers[t].startedAt[task]) >= time.Second {
			h.workers[t].running[task].Percent = fullPace
		}
		if atWork[task] = o.isAtWork(task); atWork[task] {
			o.removed[task] = false
			delete(o.idleSince, task)
		} else if _, ok := o.idleSince[task]; !ok {
			o.idleSince[task] = h.now
		}
	}
	h.report(reported...)
	h.runPass()
	for i := range o.tasks {
		if task := o.task(i); atWork[task] && !o.isAtWork(task) {
			o.recordRemoval(task)
		}
	}
}

func (o *budgetObserver) recordRemoval(task string) {
	away := 0
	for i := range o.tasks {
		other := o.task(i)
		since, idle := o.idleSince[other]
		if other != task && (o.removed[other] || idle && o.h.now.Sub(since) >= noticeTime) {
			away++
		}
	}
	if away >= o.mayMiss {
		o.bad = append(o.bad, fmt.Sprintf("%s was stopped while %d others were away, budget %d", task, away, o.mayMiss))
	}
	o.removed[task], o.idleSince[task] = true, o.h.now
	o.removals++
}

// Guards against an order of the planner that takes a long-running task away while as many others
// are away as the budget of the step allows: workers leave at the same time, crash and are silent,
// and the planner changes.
func TestStopsKeepWithinDisruptionBudget(t *testing.T) {
	removals := 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // reproducible draws
		h := newHarness(t, 8)
		const tasks = 5
		mayMiss := r.IntN(4)
		j := newJob("j1", "long", job.Step{Tasks: tasks, Accelerators: 4, LongRunning: true, MayMiss: mayMiss, EstimateMillis: 3000})
		h.addJob(j)
		o := newBudgetObserver(h, tasks, mayMiss)
		silentUntil := make(map[string]int)
		leavesAt := make(map[string]int)
		born := int64(1)
		for i := range 300 {
			n := h.names[r.IntN(len(h.names))]
			switch r.IntN(30) {
			case 0, 1:
				if leavesAt[n] == 0 {
					leavesAt[n] = i + 10 + r.IntN(60)
					h.workers[n].worker.Draining = true
				}
			case 2:
				born++
				h.workers[n], leavesAt[n] = newSimWorker(n, born, "r0"), 0
			case 3:
				h.takeOver(j)
			case 4:
				silentUntil[n] = i + r.IntN(40)
				h.p.SetConnected(n, false)
			}
			var reported []string
			for _, n := range h.names {
				if at := leavesAt[n]; at > 0 {
					h.workers[n].worker.RemainingMillis = int64(at-i) * 200
					if at <= i {
						born++
						h.workers[n], leavesAt[n] = newSimWorker(n, born, "r0"), 0
					}
				}
				h.workers[n].dropsOrders = silentUntil[n] > i
				if silentUntil[n] <= i {
					reported = append(reported, n)
				}
			}
			o.tick(reported...)
		}
		removals += o.removals
		qt.Check(t, o.bad, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
	qt.Check(t, removals > 150, qt.IsTrue, qt.Commentf("%d tasks stopped", removals))
}

// Guards against tasks that stay on leaving workers although the budget allows them to move one
// after the other, and against moves without a budget.
func TestTasksLeaveInTurn(t *testing.T) {
	tests := []struct {
		name    string
		mayMiss int
		gang    bool
		want    int // tasks that have moved before the workers leave
	}{
		{name: "no budget"},
		{name: "one at a time", mayMiss: 1, want: 3},
		{name: "all at once", mayMiss: 3, want: 3},
		{name: "gang beyond the budget", mayMiss: 2, gang: true},
		{name: "gang", mayMiss: 3, gang: true, want: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 6)
			h.addJob(newJob("j1", "long", job.Step{Tasks: 3, Accelerators: 8, LongRunning: true, Gang: tt.gang, MayMiss: tt.mayMiss, EstimateMillis: 3000}))
			o := newBudgetObserver(h, 3, tt.mayMiss)
			for range 20 {
				o.tick(h.names...)
			}
			for i := range 3 {
				w := h.workers[h.targetOf(o.task(i))].worker
				w.Draining = true
			}
			for left := 12 * time.Second; left > time.Second; left -= 200 * time.Millisecond {
				for _, w := range h.workers {
					w.worker.RemainingMillis = left.Milliseconds()
				}
				o.tick(h.names...)
			}
			qt.Check(t, o.bad, qt.HasLen, 0)
			qt.Check(t, o.removals, qt.Equals, tt.want)
		})
	}
}

// Guards against a stop that is sent, or sent again, after another task has gone away since it was
// decided: the rows are written late, or the first order got no answer.
func TestStopIsWithheldWhenItIsSent(t *testing.T) {
	h := newHarness(t, 6)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 3, Accelerators: 8, LongRunning: true, MayMiss: 1, EstimateMillis: 3000}))
	o := newBudgetObserver(h, 3, 1)
	for range 20 {
		o.tick(h.names...)
	}
	leaving, other := h.targetOf(o.task(0)), h.targetOf(o.task(1))
	h.workers[leaving].worker.Draining, h.workers[leaving].worker.RemainingMillis = true, 10_000
	h.now = h.now.Add(maxPassInterval)
	h.report(h.names...)
	b := h.p.Plan(h.now)
	qt.Assert(t, b.Orders, qt.HasLen, 1)
	stop := b.Orders[0].Orders[0]
	qt.Assert(t, stop.Stop, qt.IsTrue)
	qt.Check(t, h.p.OrderValid(leaving, stop), qt.IsTrue)
	h.workers[other] = newSimWorker(other, 9, "r0")
	h.report(h.names...)
	qt.Check(t, h.p.OrderValid(leaving, stop), qt.IsFalse)
	for range 25 { // The stop is due again, and the other task comes back.
		o.tick(h.names...)
	}
	qt.Check(t, o.bad, qt.HasLen, 0)
	qt.Check(t, o.removals, qt.Equals, 1)
}

// Guards against long-running tasks that are stopped for other work, or because the capacity of
// their worker has shrunk.
func TestLongRunningTasksAreKept(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(newJob("j1", "fill", job.Step{Tasks: 2, Accelerators: 4, LongRunning: true, MayMiss: 2, EstimateMillis: 3000}))
	o := newBudgetObserver(h, 2, 2)
	for range 10 {
		o.tick(h.names...)
	}
	h.addJob(newJob("j2", "urgent", job.Step{Tasks: 1, Accelerators: 8}))
	h.setAccelerators(4)
	for range 20 {
		o.tick(h.names...)
	}
	qt.Check(t, o.removals, qt.Equals, 0)
}

// Guards against a new planner that stops a task on a leaving worker before it knows whether it is
// at work.
func TestUnlistedTaskIsKept(t *testing.T) {
	h := newHarness(t, 2)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, LongRunning: true, EstimateMillis: 60_000})
	h.addJob(j)
	h.advance(time.Second)
	name := h.targetOf("j1.0.0.0")
	h.restartPlanner()
	h.p.AddJob(j, []job.Progress{h.rows["j1/0"]}, h.now)
	h.p.SetLoaded()
	w := h.workers[name].worker
	w.Draining, w.RemainingMillis = true, 500
	h.p.Report(name, &agentrpc.WatchReply{Worker: w}, h.now)
	h.runPass()
	qt.Check(t, h.p.State(h.now).Jobs[0].Runs[0].Stop, qt.Equals, "")
}
